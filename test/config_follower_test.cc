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

// Stated limits on the duration of a roll-out: in general, and at today's size
// of the fleet with the platform available.
constexpr absl::Duration kMaxRollout = absl::Seconds(9);
constexpr absl::Duration kMaxRolloutToday = absl::Seconds(2);

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

TEST_F(ConfigFollowerTest, PropagatesAChangeToAllInstancesWithinTwoSeconds) {
  const Revision revision = Accept(0, PutOrder("a", TestCustomer(1)));
  fleet_.Run(kMaxRolloutToday);
  ExpectAllAt(revision);
}

TEST_F(ConfigFollowerTest, PropagatesToAZoneWithoutPlatformAccess) {
  for (const auto& instance : fleet_.instances) {
    instance->link.SetUp(instance->zone != ZoneId("zone-1"));
  }
  const Revision revision = Accept(0, PutOrder("a", TestCustomer(1)));
  fleet_.Run(kMaxRollout);
  ExpectAllAt(revision);
}

TEST_F(ConfigFollowerTest, LoadsFromAPeerAfterARestartDuringAPlatformOutage) {
  for (int i = 0; i < 700; ++i) {
    Accept(0, PutOrder(absl::StrCat("o", i), TestCustomer(i)));
  }
  fleet_.Run(kMaxRolloutToday);
  fleet_.table.SetFaults({.outage = true});
  fleet_.Restart(4);
  fleet_.Run(kMaxRollout);
  const auto& restarted = *fleet_.instances[4];
  EXPECT_EQ(restarted.revision(), Revision(700));
  EXPECT_EQ(restarted.config.origin(), ConfigOrigin::kPeer);
  EXPECT_EQ(restarted.config.ConfirmedAt(), absl::InfinitePast());
  EXPECT_EQ(restarted.config.Snapshot()->digest(),
            fleet_.instances[0]->config.Snapshot()->digest());
}

TEST_F(ConfigFollowerTest, AvoidsAFullTableReadAfterARestart) {
  for (int i = 0; i < 700; ++i) {
    Accept(0, PutOrder(absl::StrCat("o", i), TestCustomer(i)));
  }
  fleet_.Run(kMaxRolloutToday);
  fleet_.Restart(4);
  fleet_.Run(kMaxRolloutToday);
  const auto& restarted = *fleet_.instances[4];
  EXPECT_EQ(restarted.revision(), Revision(700));
  EXPECT_LT(restarted.link.rows_read(), 20u);
  EXPECT_NE(restarted.config.ConfirmedAt(), absl::InfinitePast());
}

TEST_F(ConfigFollowerTest, LoadsFromTheTableDespiteALaggingScan) {
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

TEST_F(ConfigFollowerTest, RefusesAnOlderSnapshotFromAPeer) {
  Accept(0, PutOrder("a", TestCustomer(1)));
  fleet_.Run(kMaxRolloutToday);
  const auto old = fleet_.instances[3]->config.Snapshot();
  Accept(0, PutOrder("b", TestCustomer(1, 5)));
  fleet_.Run(kMaxRolloutToday);
  EXPECT_FALSE(fleet_.instances[3]->config.Publish(old, ConfigOrigin::kPeer));
  ExpectAllAt(Revision(2));
}

// Reference model: the expected configuration at each revision.
class Model {
 public:
  // Records the accepted order at `revision`. Without a weight it removes the
  // customer.
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

// Every instance always has the configuration of exactly one accepted revision,
// its revision never decreases except over a restart, and all instances
// converge on the newest revision. Checked under delayed, lost, duplicated and
// reordered messages, lagging scans, lost replies, outages, cut links and
// restarts.
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
  std::size_t max_revision = 0;
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
        // A restarted instance starts at revision zero; its configuration is
        // still checked against the model.
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
    max_revision = std::max(max_revision,
                            static_cast<std::size_t>(model.newest().value()));
  }
  RC_CLASSIFY(max_revision > 5, "more than five changes");
  fleet.table.SetFaults({});
  for (const auto& instance : fleet.instances) instance->link.SetUp(true);
  for (int n = 0; n < kMaxRollout / ControlFleet::kTick; ++n) {
    fleet.Tick();
    check();
  }
  for (const Revision revision : seen) RC_ASSERT(revision == model.newest());
}

}  // namespace
}  // namespace wisteriareel
