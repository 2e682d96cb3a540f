#ifndef WISTERIAREEL_SRC_HTTP_CALLER_SERVER_H_
#define WISTERIAREEL_SRC_HTTP_CALLER_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "src/http/http_listener.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/request_handler.h"

namespace wisteriareel {

// Request headers that callers may set.
inline constexpr char kTimeoutHeader[] = "X-Request-Timeout-Ms";
inline constexpr char kCallerPriorityHeader[] = "X-Request-Priority";

struct CallerServerOptions {
  HttpListenerOptions listener;
  // Timeout of a request without the timeout header, and the upper bound on
  // the header's value.
  absl::Duration default_timeout = absl::Minutes(10);
  absl::Duration max_timeout = absl::Hours(1);
  // Retry-After value of a refusal that specifies none.
  absl::Duration default_retry_after = absl::Seconds(1);
};

// Dependencies of the server. The objects pointed to must outlive it.
struct CallerServerDependencies {
  const ConfigView* config = nullptr;
  RequestHandler* handler = nullptr;
  Clock* clock = SystemClock();
  RandomSource* random = nullptr;
  // Generates request ids. Null for random ids, from which a stored record
  // can't be located.
  std::function<RequestId()> next_request_id;
  Counters* counters = DiscardCounters();
  // Returns whether the load balancer may send requests. Null for always.
  std::function<bool()> ready;
  // Returns the body of the metrics page. Null for no such page.
  std::function<std::string()> metrics;
};

// Accepts callers' requests over HTTP: authenticates the customer's key, parses
// the call, passes it to the RequestHandler and writes the response. Refused
// requests never reach the handler. Thread-safe except for Start and Stop.
class CallerServer final : public HttpExchangeHandler {
 public:
  CallerServer(CallerServerOptions options,
               CallerServerDependencies dependencies);
  ~CallerServer() override;

  // See HttpListener.
  bool Start(LastReason* reason) { return listener_->Start(reason); }
  int port() const { return listener_->port(); }
  void BeginDrain() { listener_->BeginDrain(); }
  std::size_t Stop(absl::Duration grace) { return listener_->Stop(grace); }
  bool ReloadTls(LastReason* reason) { return listener_->ReloadTls(reason); }
  std::size_t connections() const { return listener_->connections(); }

  std::optional<HttpRefusal> CheckHead(const httplib::Request& request,
                                       const HttpExchange& exchange) override;
  void Serve(const httplib::Request& request, HttpExchange* exchange,
             httplib::Response* response) override;
  void Refuse(const HttpRefusal& refusal, httplib::Response* response) override;

 private:
  bool ServeMonitoringPath(const HttpExchange& exchange,
                           httplib::Response* response);
  std::optional<CallerRequest> MakeRequest(const httplib::Request& request,
                                           const HttpExchange& exchange,
                                           HttpRefusal* refusal);
  RequestId NextRequestId();
  void AddRetryAfter(const CallResult& result, httplib::Response* response);

  const CallerServerOptions options_;
  const CallerServerDependencies dependencies_;
  std::unique_ptr<HttpListener> listener_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_CALLER_SERVER_H_
