#ifndef WISTERIAREEL_SRC_HTTP_LISTENER_TLS_H_
#define WISTERIAREEL_SRC_HTTP_LISTENER_TLS_H_

#include <openssl/ssl.h>

#include <memory>
#include <mutex>
#include <string>

#include "src/security/tls_files.h"
#include "wisteriareel/reason.h"

namespace wisteriareel {

// Holds a listener's TLS context made from files and makes it anew on Reload;
// connections that are open keep the context that they began with.
// Thread-safe. Clients need none of it: each new connection reads its files.
class ListenerTls {
 public:
  explicit ListenerTls(TlsFiles options);

  // Reads the files. Returns false, and keeps the former context, if they
  // don't fit together.
  bool Reload(LastReason* reason);

  // Returns the newest context, or null if none was read yet.
  std::shared_ptr<SSL_CTX> Current() const;

 private:
  const TlsFiles options_;
  mutable std::mutex mutex_;
  std::shared_ptr<SSL_CTX> current_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_LISTENER_TLS_H_
