#ifndef WISTERIAREEL_SRC_ROUTER_SCHEDULER_H_
#define WISTERIAREEL_SRC_ROUTER_SCHEDULER_H_

#include <functional>

#include "absl/time/time.h"

namespace wisteriareel {

// Runs functions after a delay, on the thread of the event loop.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  virtual absl::Time Now() const = 0;

  // Runs `run` once after `delay`, never from within the call.
  virtual void After(absl::Duration delay, std::function<void()> run) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_SCHEDULER_H_
