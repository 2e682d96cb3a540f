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

// Headers between callers and an instance.
inline constexpr char kTimeoutHeader[] = "X-Request-Timeout-Ms";
inline constexpr char kCallerPriorityHeader[] = "X-Request-Priority";

struct CallerServerOptions {
  HttpListenerOptions listener;
  // Deadline of a request that names none, and the longest that one may name.
  absl::Duration default_timeout = absl::Minutes(10);
  absl::Duration max_timeout = absl::Hours(1);
  // What a caller is told to wait after a refusal that names no time.
  absl::Duration default_retry_after = absl::Seconds(1);
};

// What the server works with; all but the functions must outlive it.
struct CallerServerDependencies {
  const ConfigView* config = nullptr;
  RequestHandler* handler = nullptr;
  Clock* clock = SystemClock();
  RandomSource* random = nullptr;
  // Makes the ids of requests. Null for random ones, by which no record can be
  // found again.
  std::function<RequestId()> next_request_id;
  Counters* counters = DiscardCounters();
  // Returns whether the balancer may send requests. Null for always.
  std::function<bool()> ready;
  // Returns the metrics page. Null for none.
  std::function<std::string()> metrics;
};

// Takes callers' requests over HTTP: authenticates the customer's key, parses
// the call, hands it to the RequestHandler and writes the answer. A request
// that it refuses never reaches the handler. Thread-safe but for Start and
// Stop.
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
