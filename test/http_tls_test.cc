#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <atomic>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

#include "gtest/gtest.h"
#include "src/http/http_listener.h"
#include "src/http/http_target_client.h"
#include "test/raw_connection.h"

namespace wisteriareel {
namespace {

// Writes a self-signed certificate for 127.0.0.1 and its key.
void WriteCertificate(const std::string& cert_file,
                      const std::string& key_file) {
  const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
      EVP_EC_gen("P-256"), EVP_PKEY_free);
  const std::unique_ptr<X509, decltype(&X509_free)> cert(X509_new(), X509_free);
  X509_set_version(cert.get(), 2);
  ASN1_INTEGER_set(X509_get_serialNumber(cert.get()), 1);
  X509_gmtime_adj(X509_getm_notBefore(cert.get()), -60);
  X509_gmtime_adj(X509_getm_notAfter(cert.get()), 3600);
  X509_set_pubkey(cert.get(), key.get());
  X509_NAME* name = X509_get_subject_name(cert.get());
  X509_NAME_add_entry_by_txt(
      name, "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>("127.0.0.1"), -1, -1, 0);
  X509_set_issuer_name(cert.get(), name);
  X509_EXTENSION* names = X509V3_EXT_conf_nid(
      nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
  X509_add_ext(cert.get(), names, -1);
  X509_EXTENSION_free(names);
  X509_sign(cert.get(), key.get(), EVP_sha256());
  std::FILE* out = std::fopen(cert_file.c_str(), "w");
  PEM_write_X509(out, cert.get());
  std::fclose(out);
  out = std::fopen(key_file.c_str(), "w");
  PEM_write_PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(out);
}

class GreetingHandler final : public HttpExchangeHandler {
 public:
  void Serve(const httplib::Request&, HttpExchange*,
             httplib::Response* response) override {
    ++served_;
    response->set_content("hello", "text/plain");
  }
  void Refuse(const HttpRefusal& refusal,
              httplib::Response* response) override {
    response->status = refusal.status;
    response->set_content(refusal.detail, "text/plain");
  }
  int served() const { return served_; }

 private:
  std::atomic<int> served_{0};
};

class DiscardingSink final : public ResponseSink {
 public:
  void OnHead(int, std::string_view) override {}
  bool OnData(std::uint64_t, std::string_view) override { return true; }
};

class HttpTlsTest : public testing::Test {
 protected:
  void SetUp() override {
    const testing::TestInfo* info =
        testing::UnitTest::GetInstance()->current_test_info();
    folder_ = testing::TempDir() + "http_tls_" + info->name() + "/";
    std::filesystem::create_directories(folder_);
    WriteCertificate(Cert("a"), Key("a"));
    WriteCertificate(Cert("b"), Key("b"));
    Install("a");
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }

  std::string Cert(const std::string& name) const {
    return folder_ + name + ".crt";
  }
  std::string Key(const std::string& name) const {
    return folder_ + name + ".key";
  }

  // Copies the certificate and key `name` to the listener's files.
  void Install(const std::string& name) {
    const auto overwrite = std::filesystem::copy_options::overwrite_existing;
    std::filesystem::copy_file(Cert(name), Cert("own"), overwrite);
    std::filesystem::copy_file(Key(name), Key("own"), overwrite);
  }

  void Start(const std::string& client_ca = "") {
    HttpListenerOptions options;
    options.endpoint = {"127.0.0.1", 0};
    options.tls = {.certificate_file = Cert("own"),
                   .key_file = Key("own"),
                   .ca_file = client_ca,
                   .reload = absl::Hours(1)};
    listener_ = std::make_unique<HttpListener>(options, &handler_);
    LastReason reason;
    ASSERT_TRUE(listener_->Start(&reason)) << reason.detail();
  }

  TargetOutcome Call(const TlsFiles& tls) const {
    HttpTargetClient client({.connections = {.tls = tls}});
    DiscardingSink sink;
    const std::atomic<bool> never{false};
    return client.Send({.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(
                                                      listener_->port())},
                        .method = "GET",
                        .path = "/",
                        .connect_timeout = absl::Seconds(10),
                        .progress_timeout = absl::Seconds(10)},
                       &sink, never);
  }

  std::string folder_;
  GreetingHandler handler_;
  std::unique_ptr<HttpListener> listener_;
};

TEST_F(HttpTlsTest, ServesAClientThatTrustsItsCertificate) {
  Start();
  EXPECT_TRUE(Call({.ca_file = Cert("a")}).complete);
}

TEST_F(HttpTlsTest, SendsNoRequestToAnUntrustedServer) {
  Start();
  const TargetOutcome outcome = Call({.ca_file = Cert("b")});
  EXPECT_EQ(outcome.verdict, Verdict::kNotRun);
  EXPECT_EQ(outcome.reason, Reason::kTargetUnreachable);
  EXPECT_EQ(handler_.served(), 0);
}

TEST_F(HttpTlsTest, RefusesPlainTextConnections) {
  Start();
  RawConnection connection(listener_->port());
  connection.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  connection.ReadAll();
  EXPECT_EQ(handler_.served(), 0);
}

TEST_F(HttpTlsTest, ServesOnlyClientsWithATrustedCertificate) {
  Start(/*client_ca=*/Cert("b"));
  EXPECT_FALSE(Call({.ca_file = Cert("a")}).complete);
  EXPECT_FALSE(Call({.certificate_file = Cert("a"),
                     .key_file = Key("a"),
                     .ca_file = Cert("a")})
                   .complete);
  EXPECT_EQ(handler_.served(), 0);
  EXPECT_TRUE(Call({.certificate_file = Cert("b"),
                    .key_file = Key("b"),
                    .ca_file = Cert("a")})
                  .complete);
}

TEST_F(HttpTlsTest, ReloadsTheCertificateWithoutARestart) {
  Start();
  Install("b");
  LastReason reason;
  ASSERT_TRUE(listener_->ReloadTls(&reason)) << reason.detail();
  EXPECT_FALSE(Call({.ca_file = Cert("a")}).complete);
  EXPECT_TRUE(Call({.ca_file = Cert("b")}).complete);
}

TEST_F(HttpTlsTest, KeepsTheCurrentCertificateIfTheNewKeyDoesNotMatch) {
  Start();
  std::filesystem::copy_file(Key("b"), Key("own"),
                             std::filesystem::copy_options::overwrite_existing);
  LastReason reason;
  EXPECT_FALSE(listener_->ReloadTls(&reason));
  EXPECT_EQ(reason.reason(), Reason::kMalformed);
  EXPECT_TRUE(Call({.ca_file = Cert("a")}).complete);
}

TEST_F(HttpTlsTest, DoesNotStartWithoutACertificate) {
  HttpListenerOptions options;
  options.endpoint = {"127.0.0.1", 0};
  options.tls = {.certificate_file = Cert("missing"),
                 .key_file = Key("missing")};
  listener_ = std::make_unique<HttpListener>(options, &handler_);
  LastReason reason;
  EXPECT_FALSE(listener_->Start(&reason));
}

}  // namespace
}  // namespace wisteriareel
