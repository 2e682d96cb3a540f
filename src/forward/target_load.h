#ifndef WISTERIAREEL_SRC_FORWARD_TARGET_LOAD_H_
#define WISTERIAREEL_SRC_FORWARD_TARGET_LOAD_H_

#include "wisteriareel/types.h"

namespace wisteriareel {

// A recent report of a model engine on its load.
struct TargetLoad {
  // Requests waiting for admission.
  int queued = 0;
  // Admitted requests.
  int running = 0;
  // Admitted requests in the prefill phase.
  int prefilling = 0;
  // Cache in use that can't be evicted, and total cache.
  Tokens cache_used;
  Tokens cache_total;

  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_TARGET_LOAD_H_
