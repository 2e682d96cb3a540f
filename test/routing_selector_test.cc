#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "src/routing/fleet_selector.h"
#include "standin/fakes/static_config.h"
#include "standin/fakes/stepping_clock.h"
#include "test/request_fleet.h"

namespace wisteriareel {
namespace {

constexpr int kLimit = 10;
const PoolId kPool = PoolId("p");

TargetId TargetName(int n) { return TargetId(absl::StrCat("t", n)); }

// A pool of `near` targets in zone z1 and `far` ones in z2, with a selector.
class Router {
 public:
  Router(int near, int far, PoolKind kind = PoolKind::kModel)
      : snapshot_(std::make_shared<StaticSnapshot>()) {
    snapshot_->Add(
        Pool{.id = kPool, .kind = kind, .max_in_flight_per_target = kLimit});
    for (int i = 0; i < near + far; ++i) {
      snapshot_->Add(Target{.id = TargetName(i),
                            .pool = kPool,
                            .zone = ZoneId(i < near ? "z1" : "z2")});
    }
    snapshot_->IndexTargets();
    config = std::make_unique<StaticConfig>(snapshot_);
    selector = MakeSelector("i1");
  }

  std::unique_ptr<FleetSelector> MakeSelector(const std::string& instance) {
    return std::make_unique<FleetSelector>(
        FleetSelectorOptions{.instance = InstanceId(instance),
                             .zone = ZoneId("z1"),
                             .config = config.get(),
                             .membership = &membership,
                             .clock = &clock,
                             .random = random.get()});
  }

  // Returns the chosen target's id; empty if there is none.
  std::string Pick(std::uint64_t prefix = 0) {
    LastReason reason;
    const auto picked = selector->Pick({.pool = kPool, .prefix_hash = prefix},
                                       clock.Now(), &reason);
    return picked ? picked->id.value() : "";
  }

  void Finish(const std::string& target, bool failed = false) {
    selector->Finished(kPool, {.target = TargetId(target), .failed = failed},
                       clock.Now());
  }

  SteppingClock clock;
  ScriptedMembership membership;
  std::unique_ptr<RandomSource> random = MakeSeededRandom(7);
  std::unique_ptr<StaticConfig> config;
  std::unique_ptr<FleetSelector> selector;

 private:
  std::shared_ptr<StaticSnapshot> snapshot_;
};

TEST(FleetSelectorTest, GivesALeavingTargetNothingNewAtOnce) {
  Router router(2, 0);
  router.membership.SetLeaving(TargetName(0));
  for (int i = 0; i < kLimit; ++i) EXPECT_EQ(router.Pick(), "t1");
  EXPECT_EQ(router.Pick(), "") << "the only other target is full";
  const auto same = router.selector->PickSame(kPool, TargetName(0));
  EXPECT_TRUE(same.has_value()) << "a stream there may go on";
}

TEST(FleetSelectorTest, StaysInTheZoneUntilItIsSaturated) {
  Router router(2, 2);
  std::map<std::string, int> picks;
  for (int i = 0; i < 2 * kLimit; ++i) ++picks[router.Pick()];
  EXPECT_GE(picks["t0"] + picks["t1"], 2 * kLimit * 8 / 10);
  for (int i = 0; i < 2 * kLimit; ++i) ++picks[router.Pick()];
  EXPECT_EQ(picks["t2"] + picks["t3"], 2 * kLimit);
  EXPECT_EQ(router.Pick(), "");
}

TEST(FleetSelectorTest, AgreesOnAPrefixWithOtherInstances) {
  Router router(8, 0);
  std::set<std::string> used;
  for (std::uint64_t prefix = 1; prefix <= 50; ++prefix) {
    const auto other = router.MakeSelector("i2");
    LastReason reason;
    const std::string first = router.Pick(prefix);
    EXPECT_EQ(other
                  ->Pick({.pool = kPool, .prefix_hash = prefix},
                         router.clock.Now(), &reason)
                  ->id.value(),
              first);
    router.Finish(first);
    used.insert(first);
  }
  EXPECT_EQ(used.size(), 8u);
}

TEST(FleetSelectorTest, BoundsTheLoadThatAHotPrefixBrings) {
  Router router(8, 0);
  std::map<std::string, int> picks;
  for (int i = 0; i < 40; ++i) ++picks[router.Pick(1)];
  for (const auto& [target, n] : picks) EXPECT_LE(n, 8) << target;
}

TEST(FleetSelectorTest, FollowsCacheEventsUntilTheyDecayOrHaveGaps) {
  Router router(8, 0);
  const std::string own = router.Pick(1);
  router.Finish(own);
  const TargetId other = TargetName(own == "t3" ? 4 : 3);
  const auto tell = [&](std::uint64_t sequence, std::uint64_t prefix) {
    router.clock.Advance(absl::Milliseconds(1));
    router.selector->OnCacheEvent(
        {.target = other, .sequence = sequence, .prefix_hash = prefix},
        router.clock.Now());
  };
  const auto pick = [&] {
    std::string target = router.Pick(1);
    router.Finish(target);
    return target;
  };
  tell(1, 1);
  EXPECT_EQ(pick(), other.value());
  tell(3, 99);
  EXPECT_EQ(pick(), own) << "an eviction may be lost in the gap";
  tell(4, 1);
  EXPECT_EQ(pick(), other.value());
  router.clock.Advance(absl::Minutes(2));
  EXPECT_EQ(pick(), own) << "the hint is old";
}

TEST(FleetSelectorTest, GivesAReadmittedTargetASmallShareFirst) {
  Router router(4, 0, PoolKind::kService);
  // Only t0 fails; the other ends are successes.
  for (int i = 0; i < 400; ++i) {
    const std::string target = router.Pick();
    router.Finish(target, target == "t0");
  }
  std::map<std::string, int> ejected;
  for (int i = 0; i < 8; ++i) ++ejected[router.Pick()];
  EXPECT_EQ(ejected.count("t0"), 0u);
  for (const auto& [target, n] : ejected) {
    for (int i = 0; i < n; ++i) router.Finish(target);
  }
  router.clock.Advance(absl::Seconds(11));
  std::map<std::string, int> early;
  for (int i = 0; i < 20; ++i) ++early[router.Pick()];
  EXPECT_LE(early["t0"], 2);
}

TEST(FleetSelectorTest, EjectsAtMostHalfOfAPool) {
  Router router(4, 0, PoolKind::kService);
  for (int i = 0; i < 200; ++i) router.Finish(router.Pick(), true);
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) {
    const std::string target = router.Pick();
    router.Finish(target);
    used.insert(target);
  }
  EXPECT_EQ(used.size(), 2u);
}

// Whatever fails, whoever leaves: a target that isn't leaving is found.
RC_GTEST_PROP(FleetSelectorPropertyTest, NeverEmptiesAPool, ()) {
  const int size = *rc::gen::inRange(1, 6);
  Router router(size, 0);
  const int leaving = *rc::gen::inRange(0, size + 1);
  if (size > 1) router.membership.SetLeaving(TargetName(leaving));
  const auto outcomes =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
  for (const int outcome : outcomes) {
    const std::string target = router.Pick(static_cast<std::uint64_t>(outcome));
    RC_ASSERT(!target.empty());
    RC_ASSERT(size == 1 || target != TargetName(leaving).value());
    router.Finish(target, outcome > 0);
    if (outcome == 7) router.clock.Advance(absl::Seconds(5));
  }
}

constexpr int kInstances = 8;
constexpr int kTargets = 12;
// In steps of 100 ms.
constexpr int kTicks = 200;
constexpr int kStay = 10;
constexpr int kLag = 20;

// Many instances learn of each other's work only through reports that lag by
// two seconds. Returns the highest load of a target relative to the mean.
double WorstImbalance(bool follow_lowest_report) {
  Router router(kTargets, 0, PoolKind::kService);
  std::vector<std::unique_ptr<FleetSelector>> selectors;
  selectors.reserve(kInstances);
  for (int i = 0; i < kInstances; ++i) {
    selectors.push_back(router.MakeSelector(absl::StrCat("i", i)));
  }
  struct Stay {
    int until;
    int selector;
    TargetId target;
  };
  std::vector<Stay> stays;
  std::vector<std::map<TargetId, int>> loads(kTicks);
  double worst = 0;
  for (int tick = 0; tick < kTicks; ++tick) {
    router.clock.Advance(absl::Milliseconds(100));
    const absl::Time now = router.clock.Now();
    std::vector<Stay> left;
    for (const Stay& stay : stays) {
      if (stay.until > tick) {
        left.push_back(stay);
        continue;
      }
      selectors[stay.selector]->Finished(
          kPool, {.target = stay.target, .took = absl::Seconds(1)}, now);
    }
    stays = left;
    const std::map<TargetId, int> old =
        tick < kLag ? std::map<TargetId, int>() : loads[tick - kLag];
    const absl::Time measured = now - absl::Milliseconds(100) * kLag;
    for (int i = 0; i < kInstances; ++i) {
      for (int t = 0; t < kTargets && tick >= kLag; ++t) {
        const auto it = old.find(TargetName(t));
        selectors[i]->OnLoadReport(
            {.target = TargetName(t),
             .requests = it == old.end() ? 0 : it->second,
             .measured = measured});
      }
      LastReason reason;
      TargetId target;
      if (follow_lowest_report) {
        int lowest = 1'000;
        for (int t = 0; t < kTargets; ++t) {
          const auto it = old.find(TargetName(t));
          const int load = it == old.end() ? 0 : it->second;
          if (load < lowest) target = TargetName(t);
          lowest = std::min(lowest, load);
        }
        if (!selectors[i]->PickSame(kPool, target)) continue;
      } else {
        const auto picked = selectors[i]->Pick({.pool = kPool}, now, &reason);
        if (!picked) continue;
        target = picked->id;
      }
      stays.push_back({tick + kStay, i, target});
    }
    for (const Stay& stay : stays) ++loads[tick][stay.target];
    if (tick < kLag) continue;
    int highest = 0;
    for (const auto& [target, n] : loads[tick]) highest = std::max(highest, n);
    worst = std::max(
        worst, highest * double{kTargets} / static_cast<double>(stays.size()));
  }
  return worst;
}

// Twice the mean is what the load bound of 1.25 and the noise of two random
// choices may bring; following the reports sends every instance to one target.
TEST(HerdingTest, LaggedReportsDoNotDrawAllInstancesToOneTarget) {
  EXPECT_LE(WorstImbalance(false), 2.0);
  EXPECT_GE(WorstImbalance(true), 4.0);
}

constexpr int kZoneInstances = 20;
constexpr int kZoneTargets = 430;
constexpr int kAllTargets = 12'000;

TEST(WatchedTargetsTest, CoverTheZoneWithAShareEach) {
  std::vector<Target> targets(kAllTargets);
  std::vector<const Target*> pool;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    targets[i].id = TargetName(static_cast<int>(i));
    targets[i].zone = ZoneId(i < kZoneTargets ? "z1" : "z2");
    pool.push_back(&targets[i]);
  }
  RoutingScope scope{.zone = ZoneId("z1")};
  for (int i = 0; i < kZoneInstances; ++i) {
    scope.zone_instances.push_back(InstanceId(absl::StrCat("i", i)));
  }
  std::map<TargetId, int> watchers;
  for (const InstanceId& instance : scope.zone_instances) {
    scope.instance = instance;
    const auto watched = WatchedTargets(scope, pool);
    EXPECT_LE(watched.size(), 2 * scope.max_near + scope.max_far);
    for (const Target* target : watched) {
      if (target->zone == scope.zone) ++watchers[target->id];
    }
  }
  EXPECT_EQ(watchers.size(), std::size_t{kZoneTargets});
}

}  // namespace
}  // namespace wisteriareel
