#ifndef WISTERIAREEL_SRC_RUNTIME_ASYNC_HTTP_SERVER_H_
#define WISTERIAREEL_SRC_RUNTIME_ASYNC_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/steady_timer.hpp"
#include "src/forward/connection_limiter.h"
#include "src/runtime/async_http_client.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Serves short HTTP requests for readiness, metrics and other instances.
// Connections beyond the limits are closed. Not thread-safe.
class AsyncHttpServer {
 public:
  // Returns the response to a request. Must not block.
  using Handler = std::function<HttpResponse(const std::string& method,
                                             const std::string& target,
                                             const std::string& body)>;

  static constexpr ConnectionLimiterOptions kDefaultLimits{
      .max_bytes = 8 << 20, .max_connections = 256, .max_closing = 32};

  // `io` must outlive the server.
  AsyncHttpServer(boost::asio::io_context* io, Handler handler,
                  const ConnectionLimiterOptions& limits = kDefaultLimits);
  ~AsyncHttpServer();

  // Starts serving on `endpoint`. Returns false with a reason if that fails.
  bool Listen(const Endpoint& endpoint, LastReason* reason);

 private:
  class Session;
  // Outlives the server while a session does.
  struct Shared;
  void Accept();

  boost::asio::io_context* const io_;
  const std::shared_ptr<Shared> shared_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
};

// Binds `acceptor` to `endpoint` and listens. The kernel keeps at most
// kReceiveBufferBytes and kSendBufferBytes for each connection. Returns false
// with a reason if that fails.
bool OpenListener(const Endpoint& endpoint,
                  boost::asio::ip::tcp::acceptor* acceptor, LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_ASYNC_HTTP_SERVER_H_
