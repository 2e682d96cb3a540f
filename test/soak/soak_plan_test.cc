#include "test/soak/soak_plan.h"

#include <map>

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace wisteriareel::soak {
namespace {

using ::testing::IsEmpty;
using ::testing::Not;

PlanOptions OptionsWithSeed(std::uint64_t seed) {
  return {.seed = seed,
          .length = absl::Seconds(60),
          .kinds = {FaultKind::kStop, FaultKind::kKill, FaultKind::kFreeze}};
}

TEST(SoakPlanTest, TheSameSeedGivesTheSamePlan) {
  EXPECT_THAT(MakePlan(OptionsWithSeed(1)), Not(IsEmpty()));
  EXPECT_EQ(MakePlan(OptionsWithSeed(1)), MakePlan(OptionsWithSeed(1)));
  EXPECT_NE(MakePlan(OptionsWithSeed(1)), MakePlan(OptionsWithSeed(2)));
}

TEST(SoakPlanTest, StopsOfOneInstanceDoNotOverlap) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::map<int, absl::Duration> last;
    for (const PlannedFault& fault : MakePlan(OptionsWithSeed(seed))) {
      if (fault.kind != FaultKind::kStop) continue;
      const auto it = last.find(fault.instance);
      if (it != last.end()) {
        EXPECT_GE(fault.at - it->second, absl::Seconds(10));
      }
      last[fault.instance] = fault.at;
    }
  }
}

TEST(SoakPlanTest, KindsHaveNames) {
  for (const FaultKind kind :
       {FaultKind::kStop, FaultKind::kReload, FaultKind::kFreeze,
        FaultKind::kKill, FaultKind::kPauseLog, FaultKind::kStoreAway}) {
    EXPECT_EQ(ParseFaultName(FaultName(kind)), kind);
  }
  EXPECT_EQ(ParseFaultName("unknown"), std::nullopt);
}

}  // namespace
}  // namespace wisteriareel::soak
