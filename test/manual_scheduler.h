#ifndef WISTERIAREEL_TEST_MANUAL_SCHEDULER_H_
#define WISTERIAREEL_TEST_MANUAL_SCHEDULER_H_

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "absl/time/time.h"
#include "src/router/scheduler.h"

namespace wisteriareel {

// Runs scheduled functions when the test advances the clock.
class ManualScheduler final : public Scheduler {
 public:
  absl::Time Now() const override { return now_; }
  void After(absl::Duration delay, std::function<void()> run) override {
    due_.emplace(now_ + delay, std::move(run));
  }
  void Advance(absl::Duration duration) {
    const absl::Time end = now_ + duration;
    while (!due_.empty() && due_.begin()->first <= end) {
      auto node = due_.extract(due_.begin());
      now_ = std::max(now_, node.key());
      node.mapped()();
    }
    now_ = end;
  }

 private:
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::multimap<absl::Time, std::function<void()>> due_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_MANUAL_SCHEDULER_H_
