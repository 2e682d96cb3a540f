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
    guard.NoteConnect(absl::Milliseconds(250), kStart);
  }
  EXPECT_GT(guard.ShedShare(kStart), 0.5);
  EXPECT_LT(guard.ShedShare(kStart), 1.0);
  EXPECT_TRUE(guard.Overloaded(kStart));
}

TEST(OverloadGuardTest, OrdinaryConnectionsShedNothing) {
  OverloadGuard guard;
  for (int n = 0; n < 40; ++n) {
    guard.NoteConnect(absl::Milliseconds(n % 10 == 0 ? 30 : 3), kStart);
  }
  EXPECT_EQ(guard.ShedShare(kStart), 0.0);
}

TEST(OverloadGuardTest, OneSlowConnectionIsNoOverload) {
  OverloadGuard guard;
  guard.NoteConnect(absl::Milliseconds(3), kStart);
  guard.NoteConnect(absl::Milliseconds(200), kStart);
  EXPECT_EQ(guard.ShedShare(kStart), 0.0);
}

TEST(OverloadGuardTest, WithoutNewSignsTheOverloadIsForgotten) {
  OverloadGuard guard;
  for (int n = 0; n < 40; ++n) {
    guard.NoteConnect(absl::Milliseconds(250), kStart);
  }
  EXPECT_EQ(guard.ShedShare(kStart + absl::Seconds(3)), 0.0);
  EXPECT_FALSE(guard.Overloaded(kStart + absl::Seconds(3)));
}

}  // namespace
}  // namespace wisteriareel
