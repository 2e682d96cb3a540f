#include "src/http/listener_tls.h"

#include <openssl/err.h>

#include <utility>

namespace wisteriareel {
namespace {

bool Fail(const char* what, const std::string& file, LastReason* reason) {
  ERR_clear_error();
  reason->Set(Reason::kMalformed, std::string(what) + " " + file);
  return false;
}

bool LoadFiles(const TlsFiles& options, SSL_CTX* context, LastReason* reason) {
  if (!options.certificate_file.empty()) {
    if (SSL_CTX_use_certificate_chain_file(
            context, options.certificate_file.c_str()) != 1) {
      return Fail("cannot load certificate chain", options.certificate_file,
                  reason);
    }
    if (SSL_CTX_use_PrivateKey_file(context, options.key_file.c_str(),
                                    SSL_FILETYPE_PEM) != 1) {
      return Fail("cannot load private key", options.key_file, reason);
    }
    if (SSL_CTX_check_private_key(context) != 1) {
      return Fail("private key does not match the certificate:",
                  options.key_file, reason);
    }
  }
  if (options.ca_file.empty()) return true;
  if (SSL_CTX_load_verify_locations(context, options.ca_file.c_str(),
                                    nullptr) != 1) {
    return Fail("cannot load certificate authorities", options.ca_file, reason);
  }
  return true;
}

}  // namespace

ListenerTls::ListenerTls(TlsFiles options) : options_(std::move(options)) {}

bool ListenerTls::Reload(LastReason* reason) {
  std::shared_ptr<SSL_CTX> next(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
  if (next == nullptr) return Fail("cannot create a TLS context", "", reason);
  SSL_CTX_set_min_proto_version(next.get(), TLS1_2_VERSION);
  SSL_CTX_set_mode(next.get(), SSL_MODE_ENABLE_PARTIAL_WRITE |
                                   SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
  if (!LoadFiles(options_, next.get(), reason)) return false;
  if (!options_.ca_file.empty()) {
    SSL_CTX_set_verify(
        next.get(), SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
  }
  std::lock_guard<std::mutex> lock(mutex_);
  current_ = std::move(next);
  return true;
}

std::shared_ptr<SSL_CTX> ListenerTls::Current() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return current_;
}

}  // namespace wisteriareel
