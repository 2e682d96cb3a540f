#ifndef WISTERIAREEL_TEST_TLS_TEST_FILES_H_
#define WISTERIAREEL_TEST_TLS_TEST_FILES_H_

#include <unistd.h>

#include <cstdio>
#include <memory>
#include <string>

#include "gtest/gtest.h"
#include "openssl/evp.h"
#include "openssl/pem.h"
#include "openssl/x509v3.h"
#include "src/security/tls_files.h"

namespace wisteriareel {

// Generates a certificate authority and a certificate for 127.0.0.1 signed by
// it, and writes them to temporary files.
class TlsTestFiles {
 public:
  // Overwrites files created earlier with the same `name`.
  explicit TlsTestFiles(const std::string& name) {
    const std::string base =
        testing::TempDir() + "wisteriareel-" + std::to_string(getpid()) + name;
    files_ = {.certificate_file = base + "-certificate.pem",
              .key_file = base + "-key.pem",
              .ca_file = base + "-ca.pem",
              .reload = absl::Seconds(1)};
    const Key ca_key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const Key key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const Certificate ca = Make("authority", ca_key, nullptr, ca_key);
    const Certificate leaf = Make("instance", key, ca.get(), ca_key);
    Write(files_.ca_file, [&](FILE* it) { PEM_write_X509(it, ca.get()); });
    Write(files_.key_file, [&](FILE* it) {
      PEM_write_PrivateKey(it, key.get(), nullptr, nullptr, 0, nullptr,
                           nullptr);
    });
    Write(files_.certificate_file,
          [&](FILE* it) { PEM_write_X509(it, leaf.get()); });
  }

  // Returns the files for mutual authentication.
  const TlsFiles& mutual() const { return files_; }

  // Returns the files for a listener that requires no client certificate.
  TlsFiles listener() const {
    TlsFiles files = files_;
    files.ca_file.clear();
    return files;
  }

  // Returns the files for a client that presents no certificate.
  TlsFiles client() const { return {.ca_file = files_.ca_file}; }

 private:
  using Key = std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY*)>;
  using Certificate = std::unique_ptr<X509, void (*)(X509*)>;

  static constexpr int kValidSeconds = 3600;

  static void AddExtension(X509* it, X509* issuer, int nid, const char* value) {
    X509V3_CTX context;
    X509V3_set_ctx(&context, issuer, it, nullptr, nullptr, 0);
    X509_EXTENSION* extension =
        X509V3_EXT_conf_nid(nullptr, &context, nid, value);
    X509_add_ext(it, extension, -1);
    X509_EXTENSION_free(extension);
  }

  // Creates a certificate signed by `issuer`, or a self-signed authority if
  // `issuer` is null.
  static Certificate Make(const std::string& name, const Key& key, X509* issuer,
                          const Key& issuer_key) {
    Certificate it(X509_new(), X509_free);
    X509_set_version(it.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(it.get()),
                     issuer == nullptr ? 1 : 2);
    X509_gmtime_adj(X509_getm_notBefore(it.get()), -kValidSeconds);
    X509_gmtime_adj(X509_getm_notAfter(it.get()), kValidSeconds);
    X509_set_pubkey(it.get(), key.get());
    X509_NAME_add_entry_by_txt(
        X509_get_subject_name(it.get()), "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509* signer = issuer == nullptr ? it.get() : issuer;
    X509_set_issuer_name(it.get(), X509_get_subject_name(signer));
    if (issuer == nullptr) {
      AddExtension(it.get(), signer, NID_basic_constraints, "critical,CA:TRUE");
    } else {
      AddExtension(it.get(), signer, NID_subject_alt_name, "IP:127.0.0.1");
    }
    X509_sign(it.get(), issuer_key.get(), EVP_sha256());
    return it;
  }

  template <typename Fill>
  static void Write(const std::string& path, const Fill& fill) {
    FILE* file = fopen(path.c_str(), "w");
    ASSERT_NE(file, nullptr) << path;
    fill(file);
    fclose(file);
  }

  TlsFiles files_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_TLS_TEST_FILES_H_
