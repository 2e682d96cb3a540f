#ifndef WISTERIAREEL_POOL_RECONCILER_H_
#define WISTERIAREEL_POOL_RECONCILER_H_

#include <cstddef>
#include <memory>

#include "absl/time/time.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/lease_manager.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/target_order_client.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Brings the targets of one pool to the state that operators want, while this
// instance holds the pool's duty. Orders carry the lease's fencing number. At
// targets that ignore it, a new holder waits until all that the old one may
// have in flight has ended. Step runs on one thread at a time.
class PoolReconciler {
 public:
  static constexpr absl::Duration kDefaultOrderTimeout = absl::Seconds(5);
  static constexpr absl::Duration kDefaultReadTimeout = absl::Seconds(2);
  static constexpr absl::Duration kDefaultMargin = absl::Seconds(1);
  static constexpr absl::Duration kDefaultIdleRead = absl::Seconds(30);
  static constexpr absl::Duration kDefaultBusyRead = absl::Seconds(2);
  static constexpr absl::Duration kDefaultSettle = absl::Minutes(5);
  // Of so many targets one may be in change at a time.
  static constexpr std::size_t kDefaultTargetsPerChange = 4;
  // Loads that all pools together may begin in a second.
  static constexpr double kDefaultLoadsPerSecond = 2;

  struct Options {
    PoolId pool;
    // None is owned; all must outlive the reconciler.
    Clock* clock = SystemClock();
    const ConfigView* config = nullptr;
    const LeaseView* lease = nullptr;
    TargetOrderClient* client = nullptr;
    // Null where nothing is known of leaving targets.
    const MembershipView* membership = nullptr;
    Counters* counters = DiscardCounters();
    EventLog* events = DiscardEvents();
    absl::Duration order_timeout = kDefaultOrderTimeout;
    absl::Duration read_timeout = kDefaultReadTimeout;
    absl::Duration margin = kDefaultMargin;
    absl::Duration idle_read = kDefaultIdleRead;
    absl::Duration busy_read = kDefaultBusyRead;
    absl::Duration settle = kDefaultSettle;
    std::size_t targets_per_change = kDefaultTargetsPerChange;
    // Each pool with a plan takes an equal share.
    double loads_per_second = kDefaultLoadsPerSecond;
  };

  explicit PoolReconciler(Options options);
  ~PoolReconciler();

  // Reads a target or gives an order, if one is due and this instance holds
  // the duty. Returns how long to wait before the next step.
  absl::Duration Step();

  // Returns whether all targets were in the wanted state at the last step.
  bool converged() const;

 private:
  class Worker;
  const std::unique_ptr<Worker> worker_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_POOL_RECONCILER_H_
