#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "test/config_test_support.h"
#include "test/control_fleet.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kTargetBound = absl::Seconds(9);
constexpr absl::Duration kTodayBound = absl::Seconds(2);

class ConfigFollowerTest : public testing::Test {
 protected:
  ConfigFollowerTest() { fleet_.Run(absl::Seconds(4)); }

  Revision Accept(std::size_t at, const ChangeOrder& order) {
    LastReason reason;
    const auto accepted =
        fleet_.instances[at]->store.Apply(order, kTestTimeout, &reason);
    EXPECT_TRUE(accepted) << reason.detail();
    return accepted ? accepted->revision : Revision();
  }

  void ExpectAllAt(Revision revision) {
    for (const auto& instance : fleet_.instances) {
      EXPECT_EQ(instance->revision().value(), revision.value())
          << instance->id.value();
    }
  }

  ControlFleet fleet_{3, 3};
};

TEST_F(ConfigFollowerTest, BringsAChangeIntoForceEverywhereWithinTwoSeconds) {
  const Revision revision = Accept(0, PutOrder("a", TestCustomer(1)));
  fleet_.Run(kTodayBound);
  ExpectAllAt(revision);
}

TEST_F(ConfigFollowerTest, ReachesAZoneThatIsCutOffFromThePlatform) {
  for (const auto& instance : fleet_.instances) {
    instance->link.SetUp(instance->zone != ZoneId("zone-1"));
  }
  const Revision revision = Accept(0, PutOrder("a", TestCustomer(1)));
  fleet_.Run(kTargetBound);
  ExpectAllAt(revision);
}

TEST_F(ConfigFollowerTest, RestartsFromAPeerWhileThePlatformIsAway) {
  for (int i = 0; i < 700; ++i) {
    Accept(0, PutOrder(absl::StrCat("o", i), TestCustomer(i)));
  }
  fleet_.Run(kTodayBound);
  fleet_.table.SetFaults({.outage = true});
  fleet_.Restart(4);
  fleet_.Run(kTargetBound);
  const auto& restarted = *fleet_.instances[4];
  EXPECT_EQ(restarted.revision(), Revision(700));
  EXPECT_EQ(restarted.config.origin(), ConfigOrigin::kPeer);
  EXPECT_EQ(restarted.config.ConfirmedAt(), absl::InfinitePast());
  EXPECT_EQ(restarted.config.Snapshot()->digest(),
            fleet_.instances[0]->config.Snapshot()->digest());
}

TEST_F(ConfigFollowerTest, SparesThePlatformAWholeReadOnARestart) {
  for (int i = 0; i < 700; ++i) {
    Accept(0, PutOrder(absl::StrCat("o", i), TestCustomer(i)));
  }
  fleet_.Run(kTodayBound);
  fleet_.Restart(4);
  fleet_.Run(kTodayBound);
  const auto& restarted = *fleet_.instances[4];
  EXPECT_EQ(restarted.revision(), Revision(700));
  EXPECT_LT(restarted.link.rows_read(), 20u);
  EXPECT_NE(restarted.config.ConfirmedAt(), absl::InfinitePast());
}

TEST_F(ConfigFollowerTest, RestartsFromThePlatformThroughALaggingScan) {
  for (int i = 0; i < 5; ++i) {
    Accept(0, PutOrder(absl::StrCat("o", i), TestCustomer(i)));
  }
  fleet_.table.SetFaults({.scan_lag_commits = 3});
  Accept(0, RemoveOrder("r", KeyOf(TestCustomer(2))));
  Accept(0, PutOrder("p", TestCustomer(3, 9)));
  fleet_.network.SetLinks(
      [](const InstanceId&, const InstanceId&) { return false; });
  fleet_.Restart(4);
  fleet_.Run(absl::Seconds(12));
  const auto& restarted = *fleet_.instances[4];
  EXPECT_EQ(restarted.revision(), Revision(7));
  EXPECT_EQ(restarted.config.origin(), ConfigOrigin::kPlatform);
  EXPECT_EQ(restarted.config.Current()->FindCustomer(CustomerId("customer-2")),
            nullptr);
  EXPECT_EQ(restarted.config.Current()
                ->FindCustomer(CustomerId("customer-3"))
                ->weight,
            9u);
}

TEST_F(ConfigFollowerTest, NeverTakesAnOldCopyFromAPeer) {
  Accept(0, PutOrder("a", TestCustomer(1)));
  fleet_.Run(kTodayBound);
  const auto old = fleet_.instances[3]->config.Snapshot();
  Accept(0, PutOrder("b", TestCustomer(1, 5)));
  fleet_.Run(kTodayBound);
  EXPECT_FALSE(fleet_.instances[3]->config.Publish(old, ConfigOrigin::kPeer));
  ExpectAllAt(Revision(2));
}

// What must hold of each instance's configuration at all times (I6).
class Model {
 public:
  // Records what the accepted order at `revision` made of the configuration.
  void Accept(Revision revision, int customer, std::optional<int> weight) {
    auto next = states_.rbegin()->second;
    next.erase(customer);
    if (weight) next[customer] = *weight;
    states_[revision] = std::move(next);
  }

  Revision newest() const { return states_.rbegin()->first; }

  void Check(const ConfigSnapshot& snapshot) const {
    const auto it = states_.find(snapshot.revision());
    RC_ASSERT(it != states_.end());
    std::size_t n = 0;
    snapshot.Visit(ConfigKind::kCustomer, "", [&](const ConfigValue&) {
      ++n;
      return true;
    });
    RC_ASSERT(n == it->second.size());
    for (const auto& [number, weight] : it->second) {
      const Customer* found = snapshot.FindCustomer(TestCustomer(number).id);
      RC_ASSERT(found != nullptr);
      RC_ASSERT(found->weight == static_cast<std::uint32_t>(weight));
    }
  }

 private:
  std::map<Revision, std::map<int, int>> states_ = {{Revision(), {}}};
};

// I6 and I7 over a fleet with late, lost, repeated and reordered messages,
// lagging scans, lost replies, an outage, cut links and restarts.
RC_GTEST_PROP(ConfigFollowerProperty, NeverRevertsAndCatchesUp, ()) {
  ControlFleet fleet(2, 2, *rc::gen::arbitrary<std::uint64_t>());
  Model model;
  std::vector<Revision> seen(fleet.instances.size());
  const auto check = [&] {
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
      const auto snapshot = fleet.instances[i]->config.Current();
      RC_ASSERT(snapshot->revision() >= seen[i]);
      seen[i] = snapshot->revision();
      model.Check(*snapshot);
    }
  };
  const int steps = *rc::gen::inRange(10, 60);
  std::size_t most = 0;
  for (int step = 0; step < steps; ++step) {
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, 4);
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        fleet.table.SetFaults({.outage = *rc::gen::inRange(0, 3) == 0,
                               .lose_replies = *rc::gen::inRange(0, 3),
                               .scan_lag_commits = *rc::gen::inRange(0, 4)});
        break;
      case 1:
        fleet.instances[at]->link.SetUp(*rc::gen::arbitrary<bool>());
        break;
      case 2:
        fleet.Restart(at);
        // Its memory is gone; what it puts in force is checked against the
        // model like anyone's.
        seen[at] = Revision();
        break;
      default: {
        const int customer = *rc::gen::inRange(0, 5);
        const std::string id = absl::StrCat("order-", step);
        std::optional<int> weight;
        if (*rc::gen::inRange(0, 4) != 0) weight = step + 1;
        const auto value = TestCustomer(
            customer, static_cast<std::uint32_t>(weight.value_or(1)));
        const ChangeOrder order =
            weight ? PutOrder(id, value) : RemoveOrder(id, KeyOf(value));
        LastReason reason;
        auto accepted =
            fleet.instances[at]->store.Apply(order, kTestTimeout, &reason);
        if (!accepted && reason.reason() == Reason::kPlatformReplyLost) {
          accepted =
              fleet.instances[at]->store.Apply(order, kTestTimeout, &reason);
        }
        if (accepted) model.Accept(accepted->revision, customer, weight);
      }
    }
    fleet.Tick(/*shuffled=*/true);
    check();
    most = std::max(most, static_cast<std::size_t>(model.newest().value()));
  }
  RC_CLASSIFY(most > 5, "more than five changes");
  fleet.table.SetFaults({});
  for (const auto& instance : fleet.instances) instance->link.SetUp(true);
  for (int n = 0; n < kTargetBound / ControlFleet::kTick; ++n) {
    fleet.Tick();
    check();
  }
  for (const Revision revision : seen) RC_ASSERT(revision == model.newest());
}

}  // namespace
}  // namespace wisteriareel
