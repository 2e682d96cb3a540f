#ifndef WISTERIAREEL_SRC_LIFECYCLE_POOL_DECISION_H_
#define WISTERIAREEL_SRC_LIFECYCLE_POOL_DECISION_H_

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

// What the holder of a pool's duty does next.
struct PoolAction {
  PoolActionKind kind = PoolActionKind::kWait;
  TargetId target;
  TargetOrder order;
  absl::Duration wait;
};

// Returns the next order that brings a target from `state` towards `plan`, or
// nullopt if it is there. What is not wanted is unloaded first, for its
// memory; a role is changed last, when all that it needs is loaded.
std::optional<TargetOrder> NextOrder(const PoolPlan& plan,
                                     const TargetEngineState& state);

// Decides in which order a pool's targets are read and changed, within what
// the lease, the targets and the weight store allow. Not thread-safe; reads
// no clock.
class PoolDecision {
 public:
  struct Options {
    // Longest time that an order may be in flight.
    absl::Duration order_timeout;
    // Spare time before the lease ends and after an old holder's end.
    absl::Duration margin;
    // Pause between two reads of a target in the wanted state, and of one
    // that is being changed.
    absl::Duration idle_read;
    absl::Duration busy_read;
    // How long an accepted order may take before it is given again.
    absl::Duration settle;
    // Of so many targets one may be in change at a time.
    std::size_t targets_per_change;
  };

  explicit PoolDecision(const Options& options) : options_(options) {}

  // Returns what to do now. `targets` are those that are neither draining nor
  // leaving; `load_interval` is the least time between two orders that read
  // weights.
  PoolAction Next(const PoolPlan& plan,
                  const std::vector<const Target*>& targets,
                  const HeldLease& lease, absl::Duration load_interval,
                  absl::Time now);

  void OnState(const TargetId& target,
               const std::optional<TargetEngineState>& state, absl::Time now);

  // Takes the result of an order: accepted, refused for its fencing number,
  // or anything else.
  void OnSent(const TargetId& target, const TargetOrder& order, bool accepted,
              bool fencing_old, absl::Time now);

  // Returns whether all `targets` were read and are in the wanted state.
  bool Converged(const PoolPlan& plan,
                 const std::vector<const Target*>& targets) const;

 private:
  struct Progress {
    std::optional<TargetEngineState> state;
    absl::Time next_read = absl::InfinitePast();
    // The order given last, until its effect shows or it has taken too long.
    std::optional<TargetOrder> sent;
    absl::Time settled_by = absl::InfinitePast();
  };

  void BeginTerm(const HeldLease& lease, absl::Duration load_interval,
                 absl::Time now);
  std::size_t InChange(const std::vector<const Target*>& targets,
                       absl::Time now) const;

  const Options options_;
  FencingNumber term_;
  absl::Time term_began_ = absl::InfinitePast();
  // Set when a target knew of a newer holder.
  bool superseded_ = false;
  absl::Time next_load_ = absl::InfinitePast();
  // Where the search for the next order begins, so that a target that never
  // gets there does not keep the others waiting.
  std::size_t cursor_ = 0;
  std::map<TargetId, Progress> progress_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_LIFECYCLE_POOL_DECISION_H_
