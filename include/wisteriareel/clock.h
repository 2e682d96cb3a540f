#ifndef WISTERIAREEL_CLOCK_H_
#define WISTERIAREEL_CLOCK_H_

#include "absl/time/time.h"

namespace wisteriareel {

// Source of time. Implementations are thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;

  // Returns the current time. Readings at one instance never decrease and
  // include the time for which the system was suspended; readings of two
  // instances may differ.
  virtual absl::Time Now() const = 0;

  // Blocks the calling thread until this clock has advanced by `duration`.
  virtual void Sleep(absl::Duration duration) = 0;
};

// Returns the process-wide clock of the operating system. Never null; not
// owned by the caller.
Clock* SystemClock();

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CLOCK_H_
