#ifndef WISTERIAREEL_SRC_RUNTIME_SMALL_SERVER_H_
#define WISTERIAREEL_SRC_RUNTIME_SMALL_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "src/runtime/http_caller.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Serves short questions over HTTP: readiness, metrics, other instances. Not
// thread-safe.
class SmallServer {
 public:
  // Answers a request at once.
  using Handler = std::function<HttpReply(const std::string& method,
                                          const std::string& target,
                                          const std::string& body)>;

  // `io` outlives the server.
  SmallServer(boost::asio::io_context* io, Handler handler);
  ~SmallServer();

  // Returns false with a reason if the address can't be listened on.
  bool Listen(const Endpoint& endpoint, LastReason* reason);

 private:
  class Session;
  void Accept();

  boost::asio::io_context* const io_;
  const std::shared_ptr<const Handler> handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

// Opens `acceptor` on `endpoint`. Returns false with a reason if that fails.
bool OpenListener(const Endpoint& endpoint,
                  boost::asio::ip::tcp::acceptor* acceptor, LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_SMALL_SERVER_H_
