#ifndef WISTERIAREEL_SRC_ROUTING_TARGET_SELECTOR_H_
#define WISTERIAREEL_SRC_ROUTING_TARGET_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// What a request asks of a target.
struct TargetQuery {
  PoolId pool;
  // Stable hash of the prompt's beginning; zero for none.
  std::uint64_t prefix_hash = 0;
  // Targets that this request has given up on. Avoided, but used again when
  // no other is left.
  std::vector<TargetId> avoided;
};

struct PickedTarget {
  TargetId id;
  Endpoint endpoint;
  ZoneId zone;

  friend bool operator==(const PickedTarget&, const PickedTarget&) = default;
};

// How an attempt at a target went, for its health.
struct AttemptReport {
  TargetId target;
  bool failed = false;
  absl::Duration duration;
};

// Chooses targets and keeps count of what this instance has in flight at
// each. Thread-safe; Pick takes no lock shared by all pools.
class TargetSelector {
 public:
  virtual ~TargetSelector() = default;

  // Chooses a target and counts an attempt in flight there until Finished.
  // Returns nullopt with a 4xx reason.
  virtual std::optional<PickedTarget> Pick(const TargetQuery& query,
                                           absl::Time now,
                                           LastReason* reason) = 0;

  // Counts another attempt in flight at `target`, for a resumption. Returns
  // nullopt if the target is gone from the configuration.
  virtual std::optional<PickedTarget> PickById(const PoolId& pool,
                                               const TargetId& target) = 0;

  virtual void FinishAttempt(const PoolId& pool, const AttemptReport& report,
                             absl::Time now) = 0;

  // Returns how many targets of the pool may get new work.
  virtual int CountAvailable(const PoolId& pool) const = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_TARGET_SELECTOR_H_
