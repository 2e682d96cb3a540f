#ifndef WISTERIAREEL_SRC_RUNTIME_ASYNC_HTTP_SERVER_H_
#define WISTERIAREEL_SRC_RUNTIME_ASYNC_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/steady_timer.hpp"
#include "src/runtime/async_http_client.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Serves short HTTP requests for readiness, metrics and other instances. Not
// thread-safe.
class AsyncHttpServer {
 public:
  // Returns the response to a request. Must not block.
  using Handler = std::function<HttpResponse(const std::string& method,
                                             const std::string& target,
                                             const std::string& body)>;

  // `io` must outlive the server.
  AsyncHttpServer(boost::asio::io_context* io, Handler handler);
  ~AsyncHttpServer();

  // Starts serving on `endpoint`. Returns false with a reason if that fails.
  bool Listen(const Endpoint& endpoint, LastReason* reason);

 private:
  class Session;
  void Accept();

  boost::asio::io_context* const io_;
  const std::shared_ptr<const Handler> handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
};

// Binds `acceptor` to `endpoint` and listens. Returns false with a reason if
// that fails.
bool OpenListener(const Endpoint& endpoint,
                  boost::asio::ip::tcp::acceptor* acceptor, LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_ASYNC_HTTP_SERVER_H_
