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

// Brings the targets of one pool to the state that operators have configured,
// while this instance holds the lease of the pool's singleton task. Orders
// carry the fencing number of the lease. Before sending to a target that
// ignores fencing numbers, a new holder waits until no order of the previous
// holder can still be in flight. Step runs on one thread at a time.
class PoolReconciler {
 public:
  static constexpr absl::Duration kDefaultOrderTimeout = absl::Seconds(5);
  static constexpr absl::Duration kDefaultReadTimeout = absl::Seconds(2);
  static constexpr absl::Duration kDefaultMargin = absl::Seconds(1);
  static constexpr absl::Duration kDefaultIdleReadInterval = absl::Seconds(30);
  static constexpr absl::Duration kDefaultBusyReadInterval = absl::Seconds(2);
  static constexpr absl::Duration kDefaultEffectTimeout = absl::Minutes(5);
  // One change at a time is allowed per this many targets.
  static constexpr std::size_t kDefaultTargetsPerChange = 4;
  // Loads from the weight store per second, over all pools.
  static constexpr double kDefaultLoadsPerSecond = 2;

  struct Options {
    PoolId pool;
    // Not owned; must outlive the reconciler.
    Clock* clock = SystemClock();
    const ConfigView* config = nullptr;
    const LeaseView* lease = nullptr;
    TargetOrderClient* client = nullptr;
    // May be null; targets that are leaving are then not skipped.
    const MembershipView* membership = nullptr;
    Counters* counters = DiscardCounters();
    EventLog* events = DiscardEvents();
    absl::Duration order_timeout = kDefaultOrderTimeout;
    absl::Duration read_timeout = kDefaultReadTimeout;
    absl::Duration margin = kDefaultMargin;
    absl::Duration idle_read_interval = kDefaultIdleReadInterval;
    absl::Duration busy_read_interval = kDefaultBusyReadInterval;
    absl::Duration effect_timeout = kDefaultEffectTimeout;
    std::size_t targets_per_change = kDefaultTargetsPerChange;
    // Divided equally between the pools that have a plan.
    double loads_per_second = kDefaultLoadsPerSecond;
  };

  explicit PoolReconciler(Options options);
  ~PoolReconciler();

  // Reads the state of a target or sends an order, if one is due and this
  // instance holds the lease. Returns the delay before the next step.
  absl::Duration Step();

  // Returns whether all targets were in the configured state at the last step.
  bool converged() const;

 private:
  class Worker;
  const std::unique_ptr<Worker> worker_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_POOL_RECONCILER_H_
