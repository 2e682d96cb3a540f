#ifndef WISTERIAREEL_STANDIN_FAKES_MANUAL_CLOCK_H_
#define WISTERIAREEL_STANDIN_FAKES_MANUAL_CLOCK_H_

#include <condition_variable>
#include <mutex>

#include "absl/time/time.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {

// A clock that advances only when the test calls Advance. Thread-safe.
class ManualClock final : public Clock {
 public:
  explicit ManualClock(absl::Time start = absl::FromUnixSeconds(1'800'000'000))
      : now_(start) {}

  absl::Time Now() const override {
    std::lock_guard<std::mutex> lock(mutex_);
    return now_;
  }

  // Blocks until other threads have advanced the clock by `duration`.
  void Sleep(absl::Duration duration) override {
    std::unique_lock<std::mutex> lock(mutex_);
    const absl::Time wake = now_ + duration;
    advanced_.wait(lock, [&] { return now_ >= wake; });
  }

  void Advance(absl::Duration duration) {
    std::lock_guard<std::mutex> lock(mutex_);
    now_ += duration;
    advanced_.notify_all();
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable advanced_;
  absl::Time now_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_MANUAL_CLOCK_H_
