#ifndef WISTERIAREEL_SRC_HTTP_LISTENER_TLS_H_
#define WISTERIAREEL_SRC_HTTP_LISTENER_TLS_H_

#include <openssl/ssl.h>

#include <memory>
#include <mutex>
#include <string>

#include "src/security/tls_files.h"
#include "wisteriareel/reason.h"

namespace wisteriareel {

// Holds the TLS context of a listener and rebuilds it from the files on
// Reload(). Open connections keep the context that they started with. Clients
// don't use it, since each new client connection reads its files. Thread-safe.
class ListenerTls {
 public:
  explicit ListenerTls(TlsFiles options);

  // Reads the files. If they are unreadable or inconsistent, keeps the previous
  // context and returns false with kMalformed.
  bool Reload(LastReason* reason);

  // Returns the current context, or null if none was loaded yet.
  std::shared_ptr<SSL_CTX> Current() const;

 private:
  const TlsFiles options_;
  mutable std::mutex mutex_;
  std::shared_ptr<SSL_CTX> current_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_LISTENER_TLS_H_
