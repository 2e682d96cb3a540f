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

TargetId MakeTargetId(int n) { return TargetId(absl::StrCat("t", n)); }

// A selector in zone z1 for a pool with `local` targets in zone z1 and `remote`
// targets in zone z2.
class SelectorFixture {
 public:
  SelectorFixture(int local, int remote, PoolKind kind = PoolKind::kModel)
      : snapshot_(std::make_shared<StaticSnapshot>()) {
    snapshot_->Add(
        Pool{.id = kPool, .kind = kind, .max_in_flight_per_target = kLimit});
    for (int i = 0; i < local + remote; ++i) {
      snapshot_->Add(Target{.id = MakeTargetId(i),
                            .pool = kPool,
                            .zone = ZoneId(i < local ? "z1" : "z2")});
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

  // Returns the id of the selected target, or an empty string if there is none.
  std::string Pick(std::uint64_t prefix = 0) {
    LastReason reason;
    const auto picked = selector->Pick({.pool = kPool, .prefix_hash = prefix},
                                       clock.Now(), &reason);
    return picked ? picked->id.value() : "";
  }

  void Finish(const std::string& target, bool failed = false) {
    selector->FinishAttempt(
        kPool, {.target = TargetId(target), .failed = failed}, clock.Now());
  }

  SteppingClock clock;
  ScriptedMembership membership;
  std::unique_ptr<RandomSource> random = MakeSeededRandom(7);
  std::unique_ptr<StaticConfig> config;
  std::unique_ptr<FleetSelector> selector;

 private:
  std::shared_ptr<StaticSnapshot> snapshot_;
};

TEST(FleetSelectorTest, LeavingTargetGetsNoNewRequests) {
  SelectorFixture fixture(2, 0);
  fixture.membership.SetLeaving(MakeTargetId(0));
  for (int i = 0; i < kLimit; ++i) EXPECT_EQ(fixture.Pick(), "t1");
  EXPECT_EQ(fixture.Pick(), "") << "the only other target is full";
  const auto same = fixture.selector->PickById(kPool, MakeTargetId(0));
  EXPECT_TRUE(same.has_value()) << "a stream must be able to resume";
}

TEST(FleetSelectorTest, SpillsOverOnlyWhenZoneIsSaturated) {
  SelectorFixture fixture(2, 2);
  std::map<std::string, int> picks;
  for (int i = 0; i < 2 * kLimit; ++i) ++picks[fixture.Pick()];
  EXPECT_GE(picks["t0"] + picks["t1"], 2 * kLimit * 8 / 10);
  for (int i = 0; i < 2 * kLimit; ++i) ++picks[fixture.Pick()];
  EXPECT_EQ(picks["t2"] + picks["t3"], 2 * kLimit);
  EXPECT_EQ(fixture.Pick(), "");
}

TEST(FleetSelectorTest, InstancesAgreeOnTargetOfPrefix) {
  SelectorFixture fixture(8, 0);
  std::set<std::string> used;
  for (std::uint64_t prefix = 1; prefix <= 50; ++prefix) {
    const auto other = fixture.MakeSelector("i2");
    LastReason reason;
    const std::string first = fixture.Pick(prefix);
    EXPECT_EQ(other
                  ->Pick({.pool = kPool, .prefix_hash = prefix},
                         fixture.clock.Now(), &reason)
                  ->id.value(),
              first);
    fixture.Finish(first);
    used.insert(first);
  }
  EXPECT_EQ(used.size(), 8u);
}

TEST(FleetSelectorTest, BoundsLoadOfHotPrefix) {
  SelectorFixture fixture(8, 0);
  std::map<std::string, int> picks;
  for (int i = 0; i < 40; ++i) ++picks[fixture.Pick(1)];
  for (const auto& [target, n] : picks) EXPECT_LE(n, 8) << target;
}

TEST(FleetSelectorTest, FollowsCacheEventsUntilExpiryOrGap) {
  SelectorFixture fixture(8, 0);
  const std::string original = fixture.Pick(1);
  fixture.Finish(original);
  const TargetId hinted = MakeTargetId(original == "t3" ? 4 : 3);
  const auto send_event = [&](std::uint64_t sequence, std::uint64_t prefix) {
    fixture.clock.Advance(absl::Milliseconds(1));
    fixture.selector->OnCacheEvent(
        {.target = hinted, .sequence = sequence, .prefix_hash = prefix},
        fixture.clock.Now());
  };
  const auto pick = [&] {
    std::string target = fixture.Pick(1);
    fixture.Finish(target);
    return target;
  };
  send_event(1, 1);
  EXPECT_EQ(pick(), hinted.value());
  send_event(3, 99);
  EXPECT_EQ(pick(), original) << "an eviction event may be lost in the gap";
  send_event(4, 1);
  EXPECT_EQ(pick(), hinted.value());
  fixture.clock.Advance(absl::Minutes(2));
  EXPECT_EQ(pick(), original) << "the hint must expire";
}

TEST(FleetSelectorTest, ReadmittedTargetStartsSlowly) {
  SelectorFixture fixture(4, 0, PoolKind::kService);
  // Only the attempts at t0 fail.
  for (int i = 0; i < 400; ++i) {
    const std::string target = fixture.Pick();
    fixture.Finish(target, target == "t0");
  }
  std::map<std::string, int> ejected;
  for (int i = 0; i < 8; ++i) ++ejected[fixture.Pick()];
  EXPECT_EQ(ejected.count("t0"), 0u);
  for (const auto& [target, n] : ejected) {
    for (int i = 0; i < n; ++i) fixture.Finish(target);
  }
  fixture.clock.Advance(absl::Seconds(11));
  std::map<std::string, int> early;
  for (int i = 0; i < 20; ++i) ++early[fixture.Pick()];
  EXPECT_LE(early["t0"], 2);
}

TEST(FleetSelectorTest, EjectsAtMostHalfOfAPool) {
  SelectorFixture fixture(4, 0, PoolKind::kService);
  for (int i = 0; i < 200; ++i) fixture.Finish(fixture.Pick(), true);
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) {
    const std::string target = fixture.Pick();
    fixture.Finish(target);
    used.insert(target);
  }
  EXPECT_EQ(used.size(), 2u);
}

// Failures and ejections must not exclude the last target that is not leaving.
RC_GTEST_PROP(FleetSelectorPropertyTest, AlwaysFindsTargetThatIsNotLeaving,
              ()) {
  const int size = *rc::gen::inRange(1, 6);
  SelectorFixture fixture(size, 0);
  const int leaving = *rc::gen::inRange(0, size + 1);
  if (size > 1) fixture.membership.SetLeaving(MakeTargetId(leaving));
  const auto outcomes =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
  for (const int outcome : outcomes) {
    const std::string target =
        fixture.Pick(static_cast<std::uint64_t>(outcome));
    RC_ASSERT(!target.empty());
    RC_ASSERT(size == 1 || target != MakeTargetId(leaving).value());
    fixture.Finish(target, outcome > 0);
    if (outcome == 7) fixture.clock.Advance(absl::Seconds(5));
  }
}

constexpr int kInstances = 8;
constexpr int kTargets = 12;
// In ticks of 100 ms.
constexpr int kTicks = 200;
constexpr int kRequestTicks = 10;
constexpr int kReportDelayTicks = 20;

// Simulates instances that get the load of the others only from reports with a
// delay of two seconds. Returns the highest load of a target relative to the
// mean.
double MaxImbalance(bool follow_lowest_report) {
  SelectorFixture fixture(kTargets, 0, PoolKind::kService);
  std::vector<std::unique_ptr<FleetSelector>> selectors;
  selectors.reserve(kInstances);
  for (int i = 0; i < kInstances; ++i) {
    selectors.push_back(fixture.MakeSelector(absl::StrCat("i", i)));
  }
  struct RunningRequest {
    int until;
    int selector;
    TargetId target;
  };
  std::vector<RunningRequest> requests;
  std::vector<std::map<TargetId, int>> loads(kTicks);
  double max_imbalance = 0;
  for (int tick = 0; tick < kTicks; ++tick) {
    fixture.clock.Advance(absl::Milliseconds(100));
    const absl::Time now = fixture.clock.Now();
    std::vector<RunningRequest> still_running;
    for (const RunningRequest& request : requests) {
      if (request.until > tick) {
        still_running.push_back(request);
        continue;
      }
      selectors[request.selector]->FinishAttempt(
          kPool, {.target = request.target, .duration = absl::Seconds(1)}, now);
    }
    requests = still_running;
    const std::map<TargetId, int> reported_loads =
        tick < kReportDelayTicks ? std::map<TargetId, int>()
                                 : loads[tick - kReportDelayTicks];
    const absl::Time measured =
        now - absl::Milliseconds(100) * kReportDelayTicks;
    for (int i = 0; i < kInstances; ++i) {
      for (int t = 0; t < kTargets && tick >= kReportDelayTicks; ++t) {
        const auto it = reported_loads.find(MakeTargetId(t));
        selectors[i]->OnLoadReport(
            {.target = MakeTargetId(t),
             .requests = it == reported_loads.end() ? 0 : it->second,
             .measured = measured});
      }
      LastReason reason;
      TargetId target;
      if (follow_lowest_report) {
        int lowest = 1'000;
        for (int t = 0; t < kTargets; ++t) {
          const auto it = reported_loads.find(MakeTargetId(t));
          const int load = it == reported_loads.end() ? 0 : it->second;
          if (load < lowest) target = MakeTargetId(t);
          lowest = std::min(lowest, load);
        }
        if (!selectors[i]->PickById(kPool, target)) continue;
      } else {
        const auto picked = selectors[i]->Pick({.pool = kPool}, now, &reason);
        if (!picked) continue;
        target = picked->id;
      }
      requests.push_back({tick + kRequestTicks, i, target});
    }
    for (const RunningRequest& request : requests)
      ++loads[tick][request.target];
    if (tick < kReportDelayTicks) continue;
    int highest = 0;
    for (const auto& [target, n] : loads[tick]) highest = std::max(highest, n);
    max_imbalance =
        std::max(max_imbalance, highest * double{kTargets} /
                                    static_cast<double>(requests.size()));
  }
  return max_imbalance;
}

// The load bound of 1.25 and the variance of two random choices allow a load of
// twice the mean. Choosing by the lowest report sends all instances to one
// target.
TEST(HerdingTest, DelayedReportsDoNotSendAllInstancesToOneTarget) {
  EXPECT_LE(MaxImbalance(false), 2.0);
  EXPECT_GE(MaxImbalance(true), 4.0);
}

constexpr int kZoneInstances = 20;
constexpr int kZoneTargets = 430;
constexpr int kAllTargets = 12'000;

TEST(WatchedTargetsTest, InstancesTogetherCoverZone) {
  std::vector<Target> targets(kAllTargets);
  std::vector<const Target*> pool;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    targets[i].id = MakeTargetId(static_cast<int>(i));
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
    EXPECT_LE(watched.size(),
              2 * scope.max_zone_targets + scope.max_other_zone_targets);
    for (const Target* target : watched) {
      if (target->zone == scope.zone) ++watchers[target->id];
    }
  }
  EXPECT_EQ(watchers.size(), std::size_t{kZoneTargets});
}

}  // namespace
}  // namespace wisteriareel
