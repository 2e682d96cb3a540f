#ifndef WISTERIAREEL_STANDIN_FAKES_STEPPING_CLOCK_H_
#define WISTERIAREEL_STANDIN_FAKES_STEPPING_CLOCK_H_

#include <mutex>

#include "absl/time/time.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {

// A clock whose Sleep advances the time instead of blocking, for tests that run
// a complete request on one thread. Thread-safe.
class SteppingClock final : public Clock {
 public:
  absl::Time Now() const override {
    std::lock_guard<std::mutex> lock(mutex_);
    return now_;
  }

  void Sleep(absl::Duration duration) override { Advance(duration); }

  void Advance(absl::Duration duration) {
    std::lock_guard<std::mutex> lock(mutex_);
    now_ += duration;
  }

 private:
  mutable std::mutex mutex_;
  absl::Time now_ = absl::FromUnixSeconds(1'800'000'000);
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_STEPPING_CLOCK_H_
