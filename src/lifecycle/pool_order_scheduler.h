#ifndef WISTERIAREEL_SRC_LIFECYCLE_POOL_ORDER_SCHEDULER_H_
#define WISTERIAREEL_SRC_LIFECYCLE_POOL_ORDER_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/target_order_client.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

enum class PoolActionKind : std::uint8_t { kWait, kReadState, kSendOrder };

// Next action of the lease holder of a pool.
struct PoolAction {
  PoolActionKind kind = PoolActionKind::kWait;
  TargetId target;
  TargetOrder order;
  absl::Duration wait;
};

// Returns the next order that brings a target from `state` towards `plan`, or
// nullopt if the plan is reached. Unwanted models and adapters are unloaded
// first, to free memory; the role is set last, when all that it needs is
// loaded.
std::optional<TargetOrder> NextOrder(const PoolPlan& plan,
                                     const TargetEngineState& state);

// Chooses the order in which the targets of a pool are read and changed, within
// the limits of the lease, the targets and the weight store. Not thread-safe;
// reads no clock.
class PoolOrderScheduler {
 public:
  struct Options {
    // Maximum time for which an order may be in flight.
    absl::Duration order_timeout;
    // Safety margin before the end of the lease, and after the last order of
    // the previous holder.
    absl::Duration margin;
    // Interval between reads of a target in the planned state, and of one with
    // an order in progress.
    absl::Duration idle_read_interval;
    absl::Duration busy_read_interval;
    // Time that an accepted order may take before it is sent again.
    absl::Duration effect_timeout;
    // One change at a time is allowed per this many targets.
    std::size_t targets_per_change;
  };

  explicit PoolOrderScheduler(const Options& options) : options_(options) {}

  // Returns the next action. `targets` are neither draining nor leaving;
  // `load_interval` is the minimum time between two orders that read from the
  // weight store.
  PoolAction ChooseAction(const PoolPlan& plan,
                          const std::vector<const Target*>& targets,
                          const HeldLease& lease, absl::Duration load_interval,
                          absl::Time now);

  void OnTargetState(const TargetId& target,
                     const std::optional<TargetEngineState>& state,
                     absl::Time now);

  // Records the result of an order: accepted, refused for its fencing number,
  // or failed otherwise.
  void OnOrderResult(const TargetId& target, const TargetOrder& order,
                     bool accepted, bool fencing_old, absl::Time now);

  // Returns whether all `targets` were read and are in the planned state.
  bool Converged(const PoolPlan& plan,
                 const std::vector<const Target*>& targets) const;

 private:
  struct Progress {
    std::optional<TargetEngineState> state;
    absl::Time next_read = absl::InfinitePast();
    // The last order, until its effect is observed or effect_deadline passes.
    std::optional<TargetOrder> sent;
    absl::Time effect_deadline = absl::InfinitePast();
  };

  void BeginTerm(const HeldLease& lease, absl::Duration load_interval,
                 absl::Time now);
  std::size_t CountInProgress(const std::vector<const Target*>& targets,
                              absl::Time now) const;

  const Options options_;
  FencingNumber term_;
  absl::Time term_began_ = absl::InfinitePast();
  // Set when a target has seen the fencing number of a newer holder.
  bool superseded_ = false;
  absl::Time next_load_ = absl::InfinitePast();
  // Index at which the search for the next order begins. It moves on after each
  // order, so that a target that never reaches its state does not block the
  // others.
  std::size_t cursor_ = 0;
  std::map<TargetId, Progress> progress_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_LIFECYCLE_POOL_ORDER_SCHEDULER_H_
