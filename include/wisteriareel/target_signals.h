#ifndef WISTERIAREEL_TARGET_SIGNALS_H_
#define WISTERIAREEL_TARGET_SIGNALS_H_

#include <cstdint>

#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// What a target says of its load. Reports arrive with a lag.
struct TargetLoadReport {
  TargetId target;
  // Requests that run or wait there, from all instances.
  int requests = 0;
  // When it was so, by this instance's clock.
  absl::Time measured;

  friend bool operator==(const TargetLoadReport&,
                         const TargetLoadReport&) = default;
};

// A target's word that it keeps a prompt's beginning in its cache, or no
// longer does. Events arrive late and with gaps.
struct CacheEvent {
  TargetId target;
  // Counts the target's events, without gaps where it sends them.
  std::uint64_t sequence = 0;
  std::uint64_t prefix_hash = 0;
  bool stored = true;

  friend bool operator==(const CacheEvent&, const CacheEvent&) = default;
};

// Receives what targets tell of themselves. Thread-safe.
class TargetSignals {
 public:
  virtual ~TargetSignals() = default;

  virtual void OnLoadReport(const TargetLoadReport& report) = 0;
  virtual void OnCacheEvent(const CacheEvent& event, absl::Time now) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TARGET_SIGNALS_H_
