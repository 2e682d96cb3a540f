#include "gtest/gtest.h"
#include "src/forward/body_deadline.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(3);

// Receives `bytes` in each interval. Returns how much arrived before the
// deadline, at most `limit`.
std::size_t Receive(std::size_t bytes, absl::Duration interval,
                    std::size_t limit) {
  BodyProgress progress{.began = absl::UnixEpoch()};
  absl::Time now = progress.began;
  while (progress.received < limit) {
    const absl::Time next = now + interval;
    if (next > GetBodyDeadline(progress, kTimeout, now)) break;
    now = next;
    progress.received += bytes;
  }
  return progress.received;
}

// Load pattern: a byte a second, for good.
TEST(BodyDeadlineTest, EndsABodyThatTrickles) {
  EXPECT_LE(Receive(1, absl::Seconds(1), 1 << 20), 10U);
}

// Load pattern: a large upload over a link of 10 Mbit/s that hundreds share.
TEST(BodyDeadlineTest, LeavesASlowBodyItsTime) {
  constexpr std::size_t body = 4 << 20;
  EXPECT_EQ(Receive(2048, absl::Milliseconds(500), body), body);
}

// Load pattern: bursts with pauses, as over a link that loses packets.
TEST(BodyDeadlineTest, LeavesPausesWithinTheTimeout) {
  constexpr std::size_t body = 1 << 20;
  EXPECT_EQ(Receive(16 << 10, absl::Seconds(2), body), body);
  EXPECT_EQ(Receive(16 << 10, absl::Seconds(4), body), 0U);
}

}  // namespace
}  // namespace wisteriareel
