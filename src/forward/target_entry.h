#ifndef WISTERIAREEL_SRC_FORWARD_TARGET_ENTRY_H_
#define WISTERIAREEL_SRC_FORWARD_TARGET_ENTRY_H_

#include <cstdint>

#include "absl/time/time.h"
#include "src/forward/route_config.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// What a target says of itself in the platform's list.
struct TargetEntry {
  TargetId id;
  ServiceId service;
  Endpoint address;
  ZoneId zone;
  // Requests that it works on at once.
  int slots = 1;
  // It takes no new requests.
  bool draining = false;
  // How much longer it is slow after its start.
  absl::Duration warm_up;
  // Tells two starts under the same id apart; zero if it doesn't say.
  std::int64_t started_ms = 0;

  friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_TARGET_ENTRY_H_
