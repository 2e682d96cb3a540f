#ifndef WISTERIAREEL_SRC_RUNTIME_ASYNC_HTTP_CLIENT_H_
#define WISTERIAREEL_SRC_RUNTIME_ASYNC_HTTP_CLIENT_H_

#include <cstddef>
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

// A complete response.
struct HttpResponse {
  int status = 0;
  std::string body;
  // Value of the field that AsyncHttpClient::Request::response_field names;
  // unset if the response doesn't have it.
  std::optional<std::string> field;
};

// Sends HTTP requests to one endpoint without blocking. A connection serves one
// request at a time and is reused; a request that times out closes its
// connection. Not thread-safe.
class AsyncHttpClient {
 public:
  // Called with the response, or nullopt if there was none.
  using Done = std::function<void(std::optional<HttpResponse>)>;

  struct Request {
    std::string method;
    std::string target;
    std::string body;
    // Longest time without data from the endpoint. A response that keeps
    // arriving isn't cut off: a large one takes seconds on a slow link.
    absl::Duration timeout;
    std::size_t max_response_bytes = 64 << 20;
    // Name of a field of the response to return; may be empty.
    std::string response_field;
  };

  // `io` must outlive the client.
  AsyncHttpClient(boost::asio::io_context* io, Endpoint endpoint);
  ~AsyncHttpClient();

  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  // Sends a request. `done` runs once, never from within the call, unless the
  // client is destroyed before.
  void Start(const Request& request, Done done);

  // Returns true while the callback of a request has yet to run.
  bool HasRequestInProgress() const;

 private:
  class Session;

  boost::asio::io_context* const io_;
  const Endpoint endpoint_;
  // Idle connections; shared with the sessions that return them.
  struct Idle;
  const std::shared_ptr<Idle> idle_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_ASYNC_HTTP_CLIENT_H_
