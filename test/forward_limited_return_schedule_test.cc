#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/forward/limited_return_schedule.h"
#include "src/forward/target_pool.h"
#include "src/forward/target_rate_limits.h"

namespace wisteriareel {
namespace {

using ::testing::ElementsAre;

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

LimitedRequest MakeRequest(const std::string& customer, int urgency = 0) {
  return {.service = ServiceId("s"),
          .customer = CustomerId(customer),
          .urgency = urgency,
          .per_second = 10,
          .time_left = absl::Seconds(60)};
}

constexpr absl::Duration kInterval = absl::Milliseconds(100);

TEST(LimitedReturnScheduleTest, ABurstReturnsAtTheRateOfTheLimit) {
  LimitedReturnSchedule schedule({});
  for (int n = 1; n <= 50; ++n) {
    EXPECT_EQ(schedule.Schedule(MakeRequest("c"), kStart), n * kInterval);
  }
}

TEST(LimitedReturnScheduleTest, InstancesTogetherKeepToTheRate) {
  LimitedReturnSchedule schedule({});
  schedule.SetInstances(4);
  EXPECT_EQ(schedule.Schedule(MakeRequest("c"), kStart), 4 * kInterval);
  EXPECT_EQ(schedule.Schedule(MakeRequest("c"), kStart), 8 * kInterval);
}

TEST(LimitedReturnScheduleTest, AMoreUrgentRequestDoesNotWaitForOthers) {
  LimitedReturnSchedule schedule({});
  for (int n = 0; n < 20; ++n) schedule.Schedule(MakeRequest("c", 5), kStart);
  EXPECT_EQ(schedule.Schedule(MakeRequest("d", 2), kStart), kInterval);
  EXPECT_EQ(schedule.Schedule(MakeRequest("d", 2), kStart), 2 * kInterval);
  EXPECT_EQ(schedule.Schedule(MakeRequest("d", 9), kStart), 23 * kInterval);
}

TEST(LimitedReturnScheduleTest, TheNextShareIsKeptForAMoreUrgentCaller) {
  LimitedReturnSchedule schedule({});
  EXPECT_FALSE(schedule.IsMoreUrgentDue(MakeRequest("c", 5), kStart));
  for (int n = 0; n < 3; ++n) schedule.Schedule(MakeRequest("d", 2), kStart);
  EXPECT_TRUE(schedule.IsMoreUrgentDue(MakeRequest("c", 5), kStart));
  EXPECT_FALSE(schedule.IsMoreUrgentDue(MakeRequest("c", 2), kStart));
  EXPECT_FALSE(schedule.IsMoreUrgentDue(MakeRequest("c", 0), kStart));
  EXPECT_FALSE(
      schedule.IsMoreUrgentDue(MakeRequest("c", 5), kStart + absl::Seconds(1)));
}

TEST(LimitedReturnScheduleTest, NoShareIsKeptForACallerWhoReturnsMuchLater) {
  LimitedReturnSchedule schedule({});
  LimitedRequest urgent = MakeRequest("d", 2);
  urgent.per_second = 0;
  schedule.Schedule(urgent, kStart);
  LimitedRequest request = MakeRequest("c", 5);
  EXPECT_FALSE(schedule.IsMoreUrgentDue(request, kStart));
  request.per_second = 0.01;
  EXPECT_FALSE(schedule.IsMoreUrgentDue(request, kStart));
}

TEST(LimitedReturnScheduleTest, CustomersTakeTurns) {
  LimitedReturnSchedule schedule({});
  for (int n = 0; n < 20; ++n) schedule.Schedule(MakeRequest("c"), kStart);
  std::vector<absl::Duration> waits;
  waits.reserve(3);
  for (int n = 0; n < 3; ++n) {
    waits.push_back(schedule.Schedule(MakeRequest("d"), kStart));
  }
  EXPECT_THAT(waits, ElementsAre(2 * kInterval, 4 * kInterval, 6 * kInterval));
}

TEST(LimitedReturnScheduleTest, ServicesDoNotWaitForEachOther) {
  LimitedReturnSchedule schedule({});
  for (int n = 0; n < 20; ++n) schedule.Schedule(MakeRequest("c"), kStart);
  LimitedRequest request = MakeRequest("c");
  request.service = ServiceId("other");
  EXPECT_EQ(schedule.Schedule(request, kStart), kInterval);
}

TEST(LimitedReturnScheduleTest, PastReturnsTakeNoTime) {
  LimitedReturnSchedule schedule({});
  for (int n = 0; n < 20; ++n) schedule.Schedule(MakeRequest("c"), kStart);
  // The caller of the 15th return may be on its way.
  EXPECT_EQ(schedule.Schedule(MakeRequest("c"), kStart + 15 * kInterval),
            7 * kInterval);
  EXPECT_EQ(schedule.Schedule(MakeRequest("c"), kStart + absl::Minutes(1)),
            kInterval);
}

TEST(LimitedReturnScheduleTest, ReturnsAreSpreadWithinTheCallersTime) {
  for (const double per_second : {0.0, 0.1, 1.0}) {
    LimitedReturnSchedule schedule({});
    LimitedRequest request = MakeRequest("c");
    request.per_second = per_second;
    request.time_left = absl::Seconds(3);
    std::map<int, int> by_slice;
    for (int n = 0; n < 200; ++n) {
      const absl::Duration wait = schedule.Schedule(request, kStart);
      EXPECT_GT(wait, absl::ZeroDuration());
      EXPECT_LE(wait, absl::Seconds(1));
      ++by_slice[static_cast<int>(wait / absl::Milliseconds(100))];
    }
    for (const auto& [slice, count] : by_slice) EXPECT_LE(count, 45) << slice;
  }
}

TEST(LimitedReturnScheduleTest, WithoutTimeLeftACallerReturnsAtOnce) {
  LimitedReturnSchedule schedule({});
  LimitedRequest request = MakeRequest("c");
  request.time_left = absl::Seconds(-1);
  EXPECT_EQ(schedule.Schedule(request, kStart), absl::ZeroDuration());
}

// The burst, and the requests per second that the target accepts.
constexpr int kCallers = 40;
constexpr double kLimit = 5;

// Refused callers returned all at once, and got no more than the limit.
TEST(LimitedReturnScheduleTest, ABurstOfRefusedCallersIsServedMoreUrgentFirst) {
  TargetRateLimits limits({.self = InstanceId("i")});
  limits.SetPlatformEpoch(absl::UnixEpoch());
  limits.SetInstances({"i"}, /*confirmed=*/true, kStart - absl::Minutes(1));
  TargetPool pool({.zone = ZoneId("a")}, &limits);
  const TargetEntry target{
      .id = TargetId("t"), .service = ServiceId("s"), .slots = 64};
  pool.ApplyListing({target}, kStart);
  pool.RecordRateLimit(target, kLimit, kStart, kStart);
  LimitedReturnSchedule schedule({});
  // Callers by the time of their next attempt. Each fourth one is urgent, and
  // comes later than the others.
  std::multimap<absl::Time, int> attempts;
  for (int n = 0; n < kCallers; ++n) {
    const bool urgent = n % 4 == 0;
    attempts.emplace(
        kStart + (urgent ? absl::Milliseconds(20) : absl::Milliseconds(10)), n);
  }
  absl::Duration urgent_time;
  absl::Duration other_time;
  int sent = 0;
  absl::Time now = kStart;
  while (!attempts.empty()) {
    const auto first = attempts.begin();
    now = first->first;
    const int caller = first->second;
    attempts.erase(first);
    ++sent;
    ASSERT_LT(now, kStart + absl::Seconds(60));
    const bool urgent = caller % 4 == 0;
    const LimitedRequest request = {
        .service = target.service,
        .customer = CustomerId(absl::StrCat("c", caller % 3)),
        .urgency = urgent ? 0 : 3,
        .per_second = kLimit,
        .time_left = kStart + absl::Seconds(60) - now};
    if (!schedule.IsMoreUrgentDue(request, now) &&
        pool.Choose({.service = target.service}, now).has_value()) {
      (urgent ? urgent_time : other_time) += now - kStart;
      continue;
    }
    attempts.emplace(now + schedule.Schedule(request, now), caller);
  }
  EXPECT_LT(urgent_time / (kCallers / 4), other_time / (kCallers * 3 / 4) / 2);
  // The limit allows this many in 8 s, and some returns find no share.
  EXPECT_LT(now, kStart + absl::Seconds(2 * kCallers / kLimit));
  EXPECT_LT(sent, 4 * kCallers);
}

}  // namespace
}  // namespace wisteriareel
