#ifndef WISTERIAREEL_SRC_RUNTIME_LOAD_PROBE_H_
#define WISTERIAREEL_SRC_RUNTIME_LOAD_PROBE_H_

#include <functional>
#include <vector>

#include "src/forward/target_pool.h"
#include "src/runtime/target_load_source.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {

// Queries targets for their load before a request is placed, and records it in
// the pool. The number of messages grows with the requests of this instance,
// not with the number of targets or instances. Not thread-safe.
class LoadProbe {
 public:
  // The pointers must outlive the probe.
  LoadProbe(TargetLoadSource* source, TargetPool* pool, Clock* clock);

  // `done` runs once, never from within the call, when every target has
  // responded or timed out.
  void QueryLoads(const std::vector<TargetEntry>& targets,
                  const std::function<void()>& done);

 private:
  TargetLoadSource* const source_;
  TargetPool* const pool_;
  Clock* const clock_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_LOAD_PROBE_H_
