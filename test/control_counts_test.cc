// Checks counts of messages, bytes and table reads against the limits of the
// stated two-year target.

#include "bench/control_load.h"
#include "gtest/gtest.h"

namespace wisteriareel {
namespace {

TEST(ControlCounts, StayWithinTheTargetAtTargetSize) {
  ControlFleet fleet(kTargetZones, kTargetPerZone);
  fleet.Run(absl::Seconds(5));
  const ControlCounts counts =
      RunControlLoad(&fleet, absl::Seconds(20), kTargetChangesPerSecond);
  EXPECT_LE(counts.max_sent_bytes, kBytesPerSecondLimit);
  EXPECT_LE(counts.max_received_bytes, kBytesPerSecondLimit);
  EXPECT_LE(counts.table_rows, kTableReadsPerSecondLimit);
  EXPECT_LE(counts.slowest_rollout, absl::Seconds(9));
}

TEST(ControlCounts, RollOutInTwoSecondsAtTodaysSize) {
  ControlFleet fleet(4, 2);
  fleet.Run(absl::Seconds(5));
  const ControlCounts counts = RunControlLoad(&fleet, absl::Seconds(30), 0.5);
  EXPECT_LE(counts.slowest_rollout, absl::Seconds(2));
  EXPECT_LE(counts.max_sent_bytes, kBytesPerSecondLimit);
}

// The traffic of an instance does not depend on the number of zones, except for
// its share of one digest per zone.
TEST(ControlCounts, DoNotGrowWithTheFleet) {
  ControlFleet small(2, 16);
  ControlFleet large(32, 16);
  small.Run(absl::Seconds(5));
  large.Run(absl::Seconds(5));
  const ControlCounts a = RunControlLoad(&small, absl::Seconds(20), 0);
  const ControlCounts b = RunControlLoad(&large, absl::Seconds(20), 0);
  EXPECT_LE(b.mean_sent_bytes, 1.5 * a.mean_sent_bytes);
  EXPECT_LE(b.mean_messages, 1.5 * a.mean_messages);
}

}  // namespace
}  // namespace wisteriareel
