#ifndef WISTERIAREEL_SRC_FORWARD_REQUEST_ROUTER_H_
#define WISTERIAREEL_SRC_FORWARD_REQUEST_ROUTER_H_

#include <memory>
#include <variant>

#include "absl/time/time.h"
#include "src/forward/exchange.h"
#include "src/forward/request_info.h"
#include "src/forward/route_config.h"

namespace wisteriareel {

struct RequestRouterOptions {
  // A configuration that was not confirmed for this long may be outdated, and
  // routes and keys that it lacks may exist. Equals the bound on the time in
  // which a new version reaches all instances.
  absl::Duration stale_after = absl::Seconds(2);
};

// Routes requests by the configuration in force, whose revision never
// decreases. Not thread-safe.
class RequestRouter {
 public:
  explicit RequestRouter(RequestRouterOptions options);

  // Replaces the configuration in force by `table` if its revision is newer.
  // Returns true if it was replaced.
  bool Apply(std::shared_ptr<const RouteTable> table, absl::Time now);

  // Records that the configuration in force was the newest one at `now`.
  void Confirm(absl::Time now) { confirmed_ = now; }

  // Returns the configuration in force, or null if there is none yet.
  const std::shared_ptr<const RouteTable>& table() const { return table_; }

  // Returns true if the configuration may be outdated.
  bool IsStale(absl::Time now) const {
    return now - confirmed_ > options_.stale_after;
  }

  // Admits a request to its route, or refuses it.
  std::variant<ExchangeRequest, Refusal> Admit(const RequestInfo& info,
                                               absl::Time now) const;

 private:
  Refusal RefuseUnknown(int status, Reason reason, absl::Time now) const;

  const RequestRouterOptions options_;
  std::shared_ptr<const RouteTable> table_;
  absl::Time confirmed_ = absl::InfinitePast();
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_REQUEST_ROUTER_H_
