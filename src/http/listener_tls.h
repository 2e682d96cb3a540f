#ifndef WISTERIAREEL_SRC_HTTP_LISTENER_TLS_H_
#define WISTERIAREEL_SRC_HTTP_LISTENER_TLS_H_

#include <openssl/ssl.h>

#include <memory>
#include <mutex>
#include <string>

#include "wisteriareel/reason.h"

namespace wisteriareel {

// Files that a TLS listener or client uses, in PEM. TLS is off if all are
// empty.
struct TlsOptions {
  // Certificate chain and private key; required for a listener.
  std::string cert;
  std::string key;
  // Authorities that the peer's certificate must come from. At a listener an
  // empty value asks callers for no certificate.
  std::string ca;

  bool enabled() const { return !cert.empty() || !ca.empty(); }

  friend bool operator==(const TlsOptions&, const TlsOptions&) = default;
};

// Holds a listener's TLS context made from files and makes it anew on Reload;
// connections that are open keep the context that they began with.
// Thread-safe. Clients need none of it: each new connection reads its files.
class ListenerTls {
 public:
  explicit ListenerTls(TlsOptions options);

  // Reads the files. Returns false, and keeps the former context, if they
  // don't fit together.
  bool Reload(LastReason* reason);

  // Returns the newest context, or null if none was read yet.
  std::shared_ptr<SSL_CTX> Current() const;

 private:
  const TlsOptions options_;
  mutable std::mutex mutex_;
  std::shared_ptr<SSL_CTX> current_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_LISTENER_TLS_H_
