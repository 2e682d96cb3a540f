#include "gtest/gtest.h"
#include "src/forward/overload_guard.h"

namespace wisteriareel {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

// Regression test: one of 25 instances of a zone got 25 times the load of
// the others over a link of 10 Mbit/s, and its connections to targets took
// hundreds of milliseconds.
TEST(OverloadGuardTest, SlowConnectionsShedPartOfTheRequests) {
  OverloadGuard guard;
  for (int n = 0; n < 40; ++n) {
    guard.RecordConnect(absl::Milliseconds(250), kStart);
  }
  EXPECT_GT(guard.ShedShare(kStart), 0.5);
  EXPECT_LT(guard.ShedShare(kStart), 1.0);
  EXPECT_TRUE(guard.IsOverloaded(kStart));
}

TEST(OverloadGuardTest, FastConnectionsShedNothing) {
  OverloadGuard guard;
  for (int n = 0; n < 40; ++n) {
    guard.RecordConnect(absl::Milliseconds(n % 10 == 0 ? 30 : 3), kStart);
  }
  EXPECT_EQ(guard.ShedShare(kStart), 0.0);
}

TEST(OverloadGuardTest, OneSlowConnectionIsNoOverload) {
  OverloadGuard guard;
  guard.RecordConnect(absl::Milliseconds(3), kStart);
  guard.RecordConnect(absl::Milliseconds(200), kStart);
  EXPECT_EQ(guard.ShedShare(kStart), 0.0);
}

TEST(OverloadGuardTest, TheOverloadEndsWithoutNewSlowConnections) {
  OverloadGuard guard;
  for (int n = 0; n < 40; ++n) {
    guard.RecordConnect(absl::Milliseconds(250), kStart);
  }
  EXPECT_EQ(guard.ShedShare(kStart + absl::Seconds(3)), 0.0);
  EXPECT_FALSE(guard.IsOverloaded(kStart + absl::Seconds(3)));
}

// 10 Mbit/s.
constexpr OverloadGuardOptions kSlowLink{.link_bytes_per_s = 1.25e6};

// Records requests of 6 kB that are received and sent to targets for five
// seconds.
void RecordRequests(OverloadGuard* guard, int requests_per_s) {
  for (int n = 0; n < 5 * requests_per_s; ++n) {
    guard->RecordTraffic(6000, 6000,
                         kStart + absl::Seconds(n) / requests_per_s);
  }
}

TEST(OverloadGuardTest, ABusyLinkIsOverloadedBeforeRequestsAreShed) {
  OverloadGuard guard(kSlowLink);
  RecordRequests(&guard, 120);
  const absl::Time now = kStart + absl::Seconds(5);
  EXPECT_TRUE(guard.IsOverloaded(now));
  EXPECT_TRUE(guard.IsLinkBusy(now));
  EXPECT_EQ(guard.ShedShare(now), 0.0);
  RecordRequests(&guard, 240);
  EXPECT_GT(guard.ShedShare(now), 0.3);
}

TEST(OverloadGuardTest,
     TheInstanceStaysOverloadedForAWhileAfterItsLinkWasBusy) {
  OverloadGuard guard(kSlowLink);
  RecordRequests(&guard, 120);
  const absl::Time now = kStart + absl::Seconds(5);
  EXPECT_TRUE(guard.IsOverloaded(now + absl::Seconds(4)));
  EXPECT_FALSE(guard.IsLinkBusy(now + absl::Seconds(4)));
  EXPECT_FALSE(guard.IsOverloaded(now + absl::Seconds(6)));
}

TEST(OverloadGuardTest, AFastOrUnknownLinkIsNotOverloadedByTheSameTraffic) {
  OverloadGuard fast({.link_bytes_per_s = 25e6});
  OverloadGuard unknown;
  RecordRequests(&fast, 120);
  RecordRequests(&unknown, 120);
  const absl::Time now = kStart + absl::Seconds(5);
  EXPECT_FALSE(fast.IsOverloaded(now));
  EXPECT_FALSE(unknown.IsOverloaded(now));
}

}  // namespace
}  // namespace wisteriareel
