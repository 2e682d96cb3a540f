#include "wisteriareel/clock.h"

#include <ctime>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace wisteriareel {
namespace {

absl::Duration SinceBoot() {
  timespec ts{};
  // Unlike CLOCK_MONOTONIC this one counts time spent suspended, during which
  // leases go on lapsing.
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return absl::DurationFromTimespec(ts);
}

// Adds the time since boot to one reading of the wall clock, so that a step
// of the wall clock never moves readings.
class BootTimeClock final : public Clock {
 public:
  BootTimeClock() : boot_time_(absl::Now() - SinceBoot()) {}

  absl::Time Now() const override { return boot_time_ + SinceBoot(); }
  void Sleep(absl::Duration duration) override { absl::SleepFor(duration); }

 private:
  const absl::Time boot_time_;
};

}  // namespace

Clock* SystemClock() {
  static BootTimeClock clock;
  return &clock;
}

}  // namespace wisteriareel
