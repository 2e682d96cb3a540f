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
  // A configuration not confirmed for this long may be outdated: what it
  // doesn't know may exist. The bound on roll-out, in which others have it.
  absl::Duration stale_after = absl::Seconds(2);
};

// Decides where a request goes by the configuration in force. Versions only
// rise. Not thread-safe.
class RequestRouter {
 public:
  explicit RequestRouter(RequestRouterOptions options);

  // Puts `table` in force unless it is older than the one that is. Returns
  // true if it is in force now and wasn't.
  bool Apply(std::shared_ptr<const RouteTable> table, absl::Time now);

  // The configuration in force was the newest at `now`.
  void Confirm(absl::Time now) { confirmed_ = now; }

  // Returns what is in force, or null.
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
