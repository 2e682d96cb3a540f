#ifndef WISTERIAREEL_TARGET_SIGNALS_H_
#define WISTERIAREEL_TARGET_SIGNALS_H_

#include <cstdint>

#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Load that a target reported. Reports arrive with a delay.
struct TargetLoadReport {
  TargetId target;
  // Requests of all instances that run or wait at the target.
  int requests = 0;
  // Time of the measurement, by this instance's clock.
  absl::Time measured;

  friend bool operator==(const TargetLoadReport&,
                         const TargetLoadReport&) = default;
};

// Reports that a target has stored a prompt prefix in its cache or evicted it.
// Events may arrive late or get lost.
struct CacheEvent {
  TargetId target;
  // Sequence number of the event; the target assigns them without gaps.
  std::uint64_t sequence = 0;
  std::uint64_t prefix_hash = 0;
  bool stored = true;

  friend bool operator==(const CacheEvent&, const CacheEvent&) = default;
};

// Receives load reports and cache events of targets. Thread-safe.
class TargetSignals {
 public:
  virtual ~TargetSignals() = default;

  virtual void OnLoadReport(const TargetLoadReport& report) = 0;
  virtual void OnCacheEvent(const CacheEvent& event, absl::Time now) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TARGET_SIGNALS_H_
