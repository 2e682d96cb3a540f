#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gtest/gtest.h"
#include "test/token_fleet.h"

// Regression tests: the store comes back from an older copy, which lacks what
// it had acknowledged since. Tokens were granted again that had been used.
namespace wisteriareel {
namespace {

constexpr int kSeeds = 12;

FleetFault At(FleetFaultKind kind, double at_s, double for_s, double share = 1,
              double factor = 1) {
  return {.kind = kind,
          .at = absl::Seconds(at_s),
          .duration = absl::Seconds(for_s),
          .share = share,
          .factor = factor};
}

// Half of what is asked for was paid for, so that tokens granted twice are
// used.
TokenFleetResult Simulate(int instances,
                          const std::vector<FleetFault>& faults) {
  TokenFleetResult sum;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    sum += SimulateTokenFleet({.instances = instances,
                               .zones = std::min(instances, 3),
                               .customers = 4,
                               .requests_per_s = 60,
                               .length = absl::Seconds(40),
                               .prepaid_factor = 0.5,
                               .faults = faults,
                               .seed = static_cast<std::uint64_t>(seed)});
  }
  return sum;
}

// The home instance drew again what its deputy had drawn and used.
TEST(TokenFleetRestoreTest, WhatADeputyDrewIsNotDrawnAgain) {
  const TokenFleetResult result =
      Simulate(3, {At(FleetFaultKind::kRestarted, 4, 6, 1),
                   At(FleetFaultKind::kStoreRestored, 16, 1, 1, 5)});
  EXPECT_EQ(result.overspent, 0);
}

// What only the instance knew that drew was lost with it.
TEST(TokenFleetRestoreTest, WhatAnInstanceDrewThatLeftIsNotDrawnAgain) {
  const TokenFleetResult result =
      Simulate(3, {At(FleetFaultKind::kRemoved, 8, 1, 0.34),
                   At(FleetFaultKind::kStoreRestored, 12.5, 1, 1, 8)});
  EXPECT_EQ(result.overspent, 0);
}

TEST(TokenFleetRestoreTest, WhatAKilledInstanceDrewIsNotDrawnAgain) {
  const TokenFleetResult result =
      Simulate(3, {At(FleetFaultKind::kKilled, 9, 6, 0.34),
                   At(FleetFaultKind::kStoreRestored, 9.05, 1, 1, 6)});
  EXPECT_EQ(result.overspent, 0);
}

TEST(TokenFleetRestoreTest, WhatHalfOfTheInstancesDrewIsNotDrawnAgain) {
  const TokenFleetResult result =
      Simulate(4, {At(FleetFaultKind::kKilled, 9, 3.5, 0.5),
                   At(FleetFaultKind::kStoreRestored, 9.05, 1, 1, 6)});
  EXPECT_EQ(result.overspent, 0);
}

TEST(TokenFleetRestoreTest, TwoRestoresInARowGrantNoTokensAgain) {
  const TokenFleetResult result =
      Simulate(5, {At(FleetFaultKind::kStoreRestored, 8, 1, 1, 4),
                   At(FleetFaultKind::kKilled, 9.5, 1, 0.4),
                   At(FleetFaultKind::kStoreRestored, 11, 2, 1, 10)});
  EXPECT_EQ(result.overspent, 0);
}

TEST(TokenFleetRestoreTest, ARestoreDuringAZoneCutGrantsNoTokensAgain) {
  const TokenFleetResult result =
      Simulate(6, {At(FleetFaultKind::kZoneCut, 8, 5),
                   At(FleetFaultKind::kStoreRestored, 9, 1, 1, 3)});
  EXPECT_EQ(result.overspent, 0);
}

}  // namespace
}  // namespace wisteriareel
