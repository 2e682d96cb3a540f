#include "gtest/gtest.h"
#include "src/forward/overload_guard.h"

namespace wisteriareel {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

// Seen on a played day: one of 25 instances of a zone got 25 times the load of
// the others behind a link of 10 Mbit/s, and its connections to targets took
// hundreds of milliseconds.
TEST(OverloadGuardTest, AQueueBeforeTheLinkSendsPartOfTheCallersElsewhere) {
  OverloadGuard guard;
  for (int n = 0; n < 40; ++n) {
    guard.RecordConnect(absl::Milliseconds(250), kStart);
  }
  EXPECT_GT(guard.ShedShare(kStart), 0.5);
  EXPECT_LT(guard.ShedShare(kStart), 1.0);
  EXPECT_TRUE(guard.IsOverloaded(kStart));
}

TEST(OverloadGuardTest, OrdinaryConnectionsShedNothing) {
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

TEST(OverloadGuardTest, WithoutNewSignsTheOverloadIsForgotten) {
  OverloadGuard guard;
  for (int n = 0; n < 40; ++n) {
    guard.RecordConnect(absl::Milliseconds(250), kStart);
  }
  EXPECT_EQ(guard.ShedShare(kStart + absl::Seconds(3)), 0.0);
  EXPECT_FALSE(guard.IsOverloaded(kStart + absl::Seconds(3)));
}

// 10 Mbit/s.
constexpr OverloadGuardOptions kWeakLink{.link_bytes_per_s = 1.25e6};

// Has requests of 6 kB come in and go out to targets for five seconds.
void Load(OverloadGuard* guard, int requests_per_s) {
  for (int n = 0; n < 5 * requests_per_s; ++n) {
    guard->RecordTraffic(6000, 6000,
                         kStart + absl::Seconds(n) / requests_per_s);
  }
}

TEST(OverloadGuardTest, AWeakLinkThatFillsUpSendsItsCallersElsewhere) {
  OverloadGuard guard(kWeakLink);
  Load(&guard, 120);
  const absl::Time now = kStart + absl::Seconds(5);
  EXPECT_TRUE(guard.IsOverloaded(now));
  EXPECT_TRUE(guard.IsLinkBusy(now));
  EXPECT_EQ(guard.ShedShare(now), 0.0);
  Load(&guard, 240);
  EXPECT_GT(guard.ShedShare(now), 0.3);
}

TEST(OverloadGuardTest, AfterAFullLinkTheInstanceRestsAWhile) {
  OverloadGuard guard(kWeakLink);
  Load(&guard, 120);
  const absl::Time now = kStart + absl::Seconds(5);
  EXPECT_TRUE(guard.IsOverloaded(now + absl::Seconds(4)));
  EXPECT_FALSE(guard.IsLinkBusy(now + absl::Seconds(4)));
  EXPECT_FALSE(guard.IsOverloaded(now + absl::Seconds(6)));
}

TEST(OverloadGuardTest, AStrongOrUnknownLinkCarriesTheSame) {
  OverloadGuard strong({.link_bytes_per_s = 25e6});
  OverloadGuard unknown;
  Load(&strong, 120);
  Load(&unknown, 120);
  const absl::Time now = kStart + absl::Seconds(5);
  EXPECT_FALSE(strong.IsOverloaded(now));
  EXPECT_FALSE(unknown.IsOverloaded(now));
}

}  // namespace
}  // namespace wisteriareel
