#ifndef WISTERIAREEL_SRC_RUNTIME_LOAD_PROBE_H_
#define WISTERIAREEL_SRC_RUNTIME_LOAD_PROBE_H_

#include <functional>
#include <vector>

#include "src/forward/target_pool.h"
#include "src/runtime/target_load_source.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {

// Asks targets for their load when a request is about to be placed, and tells
// the pool. Work and messages grow with the requests of this instance, not
// with the number of targets or instances. Not thread-safe.
class LoadProbe {
 public:
  // The pointers outlive the probe.
  LoadProbe(TargetLoadSource* source, TargetPool* pool, Clock* clock);

  // `done` runs once, never from within the call, when all targets have
  // answered or were waited for.
  void Ask(const std::vector<TargetEntry>& targets,
           const std::function<void()>& done);

 private:
  TargetLoadSource* const source_;
  TargetPool* const pool_;
  Clock* const clock_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_LOAD_PROBE_H_
