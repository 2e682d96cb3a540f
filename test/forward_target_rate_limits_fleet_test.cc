#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "gtest/gtest.h"
#include "test/rate_limit_fleet.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kS = absl::Seconds(1);

// A simulated fleet whose target names a limit from 12 s on.
struct FleetCase {
  std::string name;
  RateLimitFleetOptions options;
};

void PrintTo(const FleetCase& fleet, std::ostream* out) { *out << fleet.name; }

RateLimitFleetOptions Fleet(int instances, double limit) {
  RateLimitFleetOptions options;
  options.instances = instances;
  options.changes = {{.at = absl::Seconds(12), .per_second = limit}};
  options.requests_per_s = limit < 1 ? 5 : 5 * limit;
  // Long enough for some instances to be told.
  if (limit < 1) options.length = 400 * kS;
  return options;
}

std::vector<FleetCase> FleetCases() {
  using Kind = RateLimitFault::Kind;
  std::vector<FleetCase> cases;
  for (const int instances : {2, 6, 12, 95}) {
    for (const double limit : {0.1, 1.2, 2.0, 10.0}) {
      cases.push_back(
          {absl::StrCat(instances, "Instances", limit * 10, "In10s"),
           Fleet(instances, limit)});
    }
  }
  cases.push_back({"300Instances", Fleet(300, 20)});
  cases.push_back({"HighLimit", Fleet(8, 200)});
  cases.push_back({"SixInstances", Fleet(6, 1.2)});
  cases.back().options.requests_per_s = 11;
  for (const double limit : {1.2, 10.0}) {
    const auto add = [&](const std::string& name) -> RateLimitFleetOptions& {
      cases.push_back(
          {absl::StrCat(name, limit * 10, "In10s"), Fleet(9, limit)});
      return cases.back().options;
    };
    add("NoNotices").notice_delay = absl::InfiniteDuration();
    add("RequestsWait").patience = absl::Seconds(3);
    RateLimitFleetOptions& burst = add("BurstAfterAPause");
    burst.pause_at = 20 * kS;
    burst.pause_end = 45 * kS;
    burst.burst = 200;
    add("OneHasHalf").shape = DemandShape::kOneHasHalf;
    add("HalfHaveNone").shape = DemandShape::kHalfHaveNone;
    add("Killed").faults = {{Kind::kKilled, 20 * kS, 3 * kS, 0.34},
                            {Kind::kKilled, 40 * kS, 8 * kS, 0.34}};
    add("AllKilled").faults = {{Kind::kKilled, 30 * kS, 1 * kS, 1}};
    add("Joined").faults = {{Kind::kJoined, 18 * kS, 0 * kS, 0.34},
                            {Kind::kJoined, 30 * kS, 0 * kS, 0.34}};
    add("Cut").faults = {{Kind::kCut, 20 * kS, 12 * kS, 0.34}};
    add("AllCut").faults = {{Kind::kCut, 20 * kS, 12 * kS, 1}};
    add("LimitChanges").changes = {{12 * kS, limit},
                                   {25 * kS, 2 * limit},
                                   {35 * kS, limit / 2},
                                   {45 * kS, limit}};
    add("LimitEnds").changes = {
        {12 * kS, limit}, {25 * kS, std::nullopt}, {35 * kS, limit}};
  }
  return cases;
}

class TargetRateLimitsFleetTest : public ::testing::TestWithParam<FleetCase> {};

// The bound counts all instances that were told, also killed and cut ones.
TEST_P(TargetRateLimitsFleetTest, ALimitIsKeptByAllInstancesTogether) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    RateLimitFleetOptions options = GetParam().options;
    options.seed = seed;
    const RateLimitFleetResult result = RunRateLimitFleet(options);
    ASSERT_GT(result.worst_bound, 0);
    EXPECT_LE(result.worst_arrivals, result.worst_bound) << "seed " << seed;
    EXPECT_LE(result.worst_unaffected_arrivals, result.worst_unaffected_bound)
        << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, TargetRateLimitsFleetTest,
                         ::testing::ValuesIn(FleetCases()),
                         [](const auto& info) { return info.param.name; });

TEST(TargetRateLimitsUseTest, EightInstancesUseFourFifthsOfALimit) {
  for (const double limit : {1.0, 1.2, 2.0, 10.0, 50.0}) {
    double used_share = 0;
    constexpr int seeds = 5;
    for (int seed = 1; seed <= seeds; ++seed) {
      RateLimitFleetOptions options = Fleet(8, limit);
      options.seed = static_cast<std::uint64_t>(seed);
      used_share += RunRateLimitFleet(options).used_share / seeds;
    }
    EXPECT_GE(used_share, 0.8) << limit;
  }
}

// The simulation shows what equal parts of a limit lead to.
TEST(RateLimitFleetTest, EqualPartsExceedALimit) {
  RateLimitFleetOptions options = Fleet(95, 10);
  options.way = RateLimitWay::kEqualSplit;
  options.pause_at = 20 * kS;
  options.pause_end = 45 * kS;
  options.burst = 2000;
  EXPECT_FALSE(RunRateLimitFleet(options).KeepsLimit());
}

}  // namespace
}  // namespace wisteriareel
