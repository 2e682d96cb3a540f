#ifndef WISTERIAREEL_SRC_ROUTING_TARGET_STATE_H_
#define WISTERIAREEL_SRC_ROUTING_TARGET_STATE_H_

#include <atomic>

namespace wisteriareel {

// What this instance has going on at one target. Shared by the routing
// tables that list the target. Thread-safe.
class TargetState {
 public:
  void Begin() { in_flight_.fetch_add(1, std::memory_order_relaxed); }
  void End() { in_flight_.fetch_sub(1, std::memory_order_relaxed); }

  // Returns the attempts in flight from this instance.
  int in_flight() const { return in_flight_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int> in_flight_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_TARGET_STATE_H_
