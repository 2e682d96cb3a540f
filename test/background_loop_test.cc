#include "wisteriareel/background_loop.h"

#include <atomic>

#include "absl/synchronization/notification.h"
#include "absl/time/time.h"
#include "gtest/gtest.h"

namespace wisteriareel {
namespace {

TEST(BackgroundLoopTest, WakeRunsTheNextStepWithoutWaiting) {
  std::atomic<int> steps = 0;
  absl::Notification first;
  absl::Notification second;
  BackgroundLoop loop([&] {
    const int n = ++steps;
    if (n == 1) first.Notify();
    if (n == 2) second.Notify();
    return absl::InfiniteDuration();
  });
  first.WaitForNotification();
  loop.Wake();
  second.WaitForNotification();
  loop.Stop();
  EXPECT_EQ(steps.load(), 2);
}

TEST(BackgroundLoopTest, StopEndsALoopThatWaitsForever) {
  BackgroundLoop loop([] { return absl::InfiniteDuration(); });
  loop.Stop();
  loop.Stop();
}

}  // namespace
}  // namespace wisteriareel
