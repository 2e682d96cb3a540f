#ifndef WISTERIAREEL_SRC_FORWARD_TARGET_LOAD_H_
#define WISTERIAREEL_SRC_FORWARD_TARGET_LOAD_H_

#include "wisteriareel/types.h"

namespace wisteriareel {

// What a model engine says of the work that it has, a moment ago.
struct TargetLoad {
  // Requests that wait to be admitted.
  int queued = 0;
  // Requests that are admitted.
  int running = 0;
  // Those of them whose prompt is still read.
  int prefilling = 0;
  // Cache that is in use and can't be evicted, and all of it.
  Tokens cache_used;
  Tokens cache_total;

  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_TARGET_LOAD_H_
