#include "wisteriareel/clock.h"

#include <ctime>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace wisteriareel {
namespace {

absl::Duration SinceBoot() {
  timespec ts{};
  // Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME includes the time for which the
  // system was suspended. Leases lapse during that time too.
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return absl::DurationFromTimespec(ts);
}

// Adds the time since boot to a single reading of the wall clock, so that later
// steps of the wall clock do not affect the time.
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
