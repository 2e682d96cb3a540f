#ifndef WISTERIAREEL_SRC_RPC_DRAIN_CONTROL_H_
#define WISTERIAREEL_SRC_RPC_DRAIN_CONTROL_H_

#include <cstdint>

namespace wisteriareel {

// How far the graceful shutdown of an instance has come.
struct DrainProgress {
  bool draining = false;
  std::uint64_t requests_in_flight = 0;
  // Records not yet in the object store.
  std::uint64_t records_unflushed = 0;

  friend bool operator==(const DrainProgress&, const DrainProgress&) = default;
};

// Starts and shows the graceful shutdown of this instance. Thread-safe;
// doesn't block.
class DrainControl {
 public:
  virtual ~DrainControl() = default;

  // Starts the shutdown. Idempotent.
  virtual void RequestDrain() = 0;

  virtual DrainProgress Progress() const = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_DRAIN_CONTROL_H_
