#ifndef WISTERIAREEL_SRC_FORWARD_TARGET_ENTRY_H_
#define WISTERIAREEL_SRC_FORWARD_TARGET_ENTRY_H_

#include <cstdint>

#include "absl/time/time.h"
#include "src/forward/route_config.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A target's entry in the platform's list of targets, written by the target.
struct TargetEntry {
  TargetId id;
  ServiceId service;
  Endpoint address;
  ZoneId zone;
  // Number of requests that the target runs concurrently.
  int slots = 1;
  // The target accepts no new requests.
  bool draining = false;
  // Remaining time for which the target is slow after its start.
  absl::Duration warm_up;
  // Start time, which tells restarts under the same id apart; zero if unknown.
  std::int64_t started_ms = 0;

  friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_TARGET_ENTRY_H_
