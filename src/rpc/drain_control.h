#ifndef WISTERIAREEL_SRC_RPC_DRAIN_CONTROL_H_
#define WISTERIAREEL_SRC_RPC_DRAIN_CONTROL_H_

#include <cstdint>

namespace wisteriareel {

// Progress of an instance's graceful shutdown.
struct DrainProgress {
  bool draining = false;
  std::uint64_t requests_in_flight = 0;
  // Request records that are not yet in the object store.
  std::uint64_t records_unflushed = 0;

  friend bool operator==(const DrainProgress&, const DrainProgress&) = default;
};

// Starts the graceful shutdown of this instance and reports its progress.
// Thread-safe; no call blocks.
class DrainControl {
 public:
  virtual ~DrainControl() = default;

  // Starts the shutdown and returns at once. Idempotent.
  virtual void RequestDrain() = 0;

  virtual DrainProgress Progress() const = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_DRAIN_CONTROL_H_
