#ifndef WISTERIAREEL_SRC_HTTP_BOUNDED_HTTP_SERVER_H_
#define WISTERIAREEL_SRC_HTTP_BOUNDED_HTTP_SERVER_H_

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <exception>
#include <memory>
#include <mutex>
#include <optional>

#include "absl/container/flat_hash_set.h"
#include "src/http/connection_threads.h"
#include "src/http/http_listener.h"
#include "src/http/listener_tls.h"

namespace wisteriareel {

// A cpp-httplib server with its own connection loop. The library's loop
// restarts its timeouts with each byte, polls idle connections 100 times per
// second, and requires the response status before the handler runs. Parsing
// and routing remain the library's. Thread-safe.
class BoundedHttpServer final : public httplib::Server {
 public:
  // `options` and `handler` must outlive the server.
  BoundedHttpServer(const HttpListenerOptions* options,
                    HttpExchangeHandler* handler);

  bool Bind(int* port, LastReason* reason);
  bool ReloadTls(LastReason* reason) { return tls_.Reload(reason); }
  void BeginDrain() { draining_.store(true); }

  // Waits up to `timeout` until no connection is open. Returns the number
  // still open.
  std::size_t WaitForConnections(absl::Duration timeout);
  // Shuts down all open connections, and accepted ones once a thread takes
  // them. Returns the number that were open.
  std::size_t AbortConnections();
  std::size_t connections() const;

 private:
  bool process_and_close_socket(socket_t sock) override;

  void ServeConnection(int fd, SSL* tls);
  bool ServeRequest(BoundedStream* stream, bool last);
  void PrepareRequest(httplib::Request* request, HttpExchange* exchange);
  void RefuseConnection(int fd);
  // Sends an error response to a request that exceeded a limit before it was
  // parsed.
  void RefuseBrokenRequest(BoundedStream* stream);
  void WriteRefusal(const HttpRefusal& refusal, BoundedStream* stream);
  void LogHandlerFailure(std::exception_ptr thrown) const;
  bool WaitForRequest(BoundedStream* stream) const;
  bool AllowsKeepAlive() const;
  bool Handshake(SSL* tls, int fd) const;

  const HttpListenerOptions& options_;
  HttpExchangeHandler* const handler_;
  ListenerTls tls_;
  std::atomic<bool> draining_{false};
  socket_t listening_fd_ = -1;
  // Owned by the library.
  std::atomic<ConnectionThreads*> threads_{nullptr};

  mutable std::mutex mutex_;
  std::condition_variable closed_;
  absl::flat_hash_set<int> open_;
  // Set by AbortConnections(). Connections accepted earlier but not yet served
  // are then closed unserved.
  bool aborted_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_BOUNDED_HTTP_SERVER_H_
