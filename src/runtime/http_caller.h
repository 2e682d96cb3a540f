#ifndef WISTERIAREEL_SRC_RUNTIME_HTTP_CALLER_H_
#define WISTERIAREEL_SRC_RUNTIME_HTTP_CALLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A whole answer.
struct HttpReply {
  int status = 0;
  std::string body;
};

// Calls one HTTP endpoint without blocking. A connection serves one call at a
// time and is kept for the next one; a call without an answer in time ends its
// connection. Not thread-safe.
class HttpCaller {
 public:
  // Receives the answer, or nullopt if there was none.
  using Done = std::function<void(std::optional<HttpReply>)>;

  struct Call {
    std::string method;
    std::string target;
    std::string body;
    // Longest silence of the endpoint. An answer that keeps arriving isn't
    // given up: a large one takes seconds on a slow link.
    absl::Duration timeout;
  };

  // `io` outlives the caller.
  HttpCaller(boost::asio::io_context* io, Endpoint endpoint);
  ~HttpCaller();

  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  // `done` runs once, never from within the call, unless the caller is
  // destroyed before.
  void Start(const Call& call, Done done);

 private:
  class Session;

  boost::asio::io_context* const io_;
  const Endpoint endpoint_;
  // Idle connections; shared with the sessions that return them.
  struct Idle;
  const std::shared_ptr<Idle> idle_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_HTTP_CALLER_H_
