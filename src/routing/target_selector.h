#ifndef WISTERIAREEL_SRC_ROUTING_TARGET_SELECTOR_H_
#define WISTERIAREEL_SRC_ROUTING_TARGET_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Requirements of a request on its target.
struct TargetQuery {
  PoolId pool;
  // Stable hash of the prompt prefix; zero for none.
  std::uint64_t prefix_hash = 0;
  // Targets that failed this request. They are selected only if no other target
  // is available.
  std::vector<TargetId> avoided;
};

// Target selected for an attempt.
struct PickedTarget {
  TargetId id;
  Endpoint endpoint;
  ZoneId zone;

  friend bool operator==(const PickedTarget&, const PickedTarget&) = default;
};

// Result of an attempt, for the health of its target.
struct AttemptReport {
  TargetId target;
  bool failed = false;
  absl::Duration duration;
};

// Selects targets and counts the attempts of this instance that are in flight
// at each target. Thread-safe; Pick takes no lock that all pools share.
class TargetSelector {
 public:
  virtual ~TargetSelector() = default;

  // Selects a target and counts an attempt in flight there until
  // FinishAttempt. Returns nullopt with a 4xx reason on failure.
  virtual std::optional<PickedTarget> Pick(const TargetQuery& query,
                                           absl::Time now,
                                           LastReason* reason) = 0;

  // Counts another attempt in flight at `target`, to resume a stream there.
  // Returns nullopt if the routing table does not list the target.
  virtual std::optional<PickedTarget> PickById(const PoolId& pool,
                                               const TargetId& target) = 0;

  virtual void FinishAttempt(const PoolId& pool, const AttemptReport& report,
                             absl::Time now) = 0;

  // Returns the number of targets of the pool that may get new requests.
  virtual int CountAvailable(const PoolId& pool) const = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_TARGET_SELECTOR_H_
