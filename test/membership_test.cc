#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "test/config_test_support.h"
#include "test/control_fleet.h"

namespace wisteriareel {
namespace {

class MembershipTest : public testing::Test {
 protected:
  MembershipTest() { fleet_.Run(absl::Seconds(4)); }

  // Returns the state of instance `of` as seen by instance `at`; dead if it is
  // unknown there.
  MemberState StateSeenBy(std::size_t at, std::size_t of) {
    const auto member = fleet_.instances[at]->membership.FindMember(
        InstanceId(fleet_.listed()[of].id));
    return member ? member->state : MemberState::kDead;
  }

  static std::vector<std::string> Describe(
      const std::vector<RolloutLine>& entries) {
    std::vector<std::string> texts;
    texts.reserve(entries.size());
    for (const RolloutLine& entry : entries) {
      texts.push_back(
          absl::StrCat(entry.instance.value(), " at ", entry.revision.value()));
    }
    return texts;
  }

  // Cuts the links between the two instances in both directions.
  void CutPair(std::size_t a, std::size_t b) {
    const InstanceId x(fleet_.listed()[a].id);
    const InstanceId y(fleet_.listed()[b].id);
    fleet_.network.SetLinks(
        [x, y](const InstanceId& from, const InstanceId& to) {
          return !(from == x && to == y) && !(from == y && to == x);
        });
  }

  ControlFleet fleet_{2, 4};
};

TEST_F(MembershipTest, SeesAllMembersOfItsZoneAlive) {
  for (const Member& member : fleet_.instances[0]->membership.ZoneMembers()) {
    EXPECT_EQ(member.state, MemberState::kAlive) << member.id.value();
    EXPECT_EQ(member.zone, ZoneId("zone-0"));
  }
  EXPECT_EQ(fleet_.instances[0]->membership.ZoneMembers().size(), 4u);
}

TEST_F(MembershipTest, SuspectsAMemberWithoutHeartbeatsBeforeItIsDead) {
  fleet_.Kill(3);
  fleet_.Run(absl::Seconds(4));
  EXPECT_EQ(StateSeenBy(0, 3), MemberState::kSuspect);
  fleet_.Run(absl::Seconds(6));
  EXPECT_EQ(StateSeenBy(0, 3), MemberState::kDead);
}

TEST_F(MembershipTest, KeepsASuspectThatOthersReportAlive) {
  CutPair(0, 3);
  fleet_.Run(absl::Seconds(30));
  EXPECT_EQ(StateSeenBy(0, 3), MemberState::kSuspect);
  EXPECT_EQ(StateSeenBy(1, 3), MemberState::kAlive);
}

TEST_F(MembershipTest, RevivesADeadMemberOnlyAtAHigherIncarnation) {
  const InstanceId paused(fleet_.listed()[3].id);
  const auto before = fleet_.instances[0]->membership.FindMember(paused);
  fleet_.network.SetLinks(
      [paused](const InstanceId& from, const InstanceId& to) {
        return from != paused && to != paused;
      });
  fleet_.Run(absl::Seconds(15));
  EXPECT_EQ(StateSeenBy(0, 3), MemberState::kDead);
  fleet_.network.SetLinks(nullptr);
  fleet_.Run(absl::Seconds(15));
  const auto after = fleet_.instances[0]->membership.FindMember(paused);
  EXPECT_EQ(after->state, MemberState::kAlive);
  EXPECT_GT(after->incarnation, before->incarnation);
}

TEST_F(MembershipTest, SuspectsNoMemberAfterItsOwnPause) {
  fleet_.clock.Advance(absl::Minutes(5));
  fleet_.instances[0]->membership.Step();
  for (std::size_t i = 1; i < 4; ++i) {
    EXPECT_EQ(StateSeenBy(0, i), MemberState::kAlive) << i;
  }
}

TEST_F(MembershipTest, SelectsOneTaskCandidatePerZone) {
  std::vector<std::size_t> ranks;
  for (const auto& instance : fleet_.instances) {
    const auto rank = instance->membership.TaskRank("task");
    if (rank) ranks.push_back(*rank);
  }
  std::sort(ranks.begin(), ranks.end());
  EXPECT_EQ(ranks, (std::vector<std::size_t>{0, 1}));
}

TEST_F(MembershipTest, NotifiesTheZoneOfALeavingTargetWithinThreeSeconds) {
  const TargetId target("target-7");
  fleet_.instances[2]->membership.ReportTargetLeaving(target);
  // The first two transmissions of the notice are lost.
  fleet_.network.SetLinks(
      [](const InstanceId&, const InstanceId&) { return false; });
  fleet_.Run(absl::Seconds(1));
  fleet_.network.SetLinks(nullptr);
  fleet_.Run(absl::Seconds(2));
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_TRUE(fleet_.instances[i]->membership.IsTargetLeaving(target)) << i;
  }
  fleet_.Run(absl::Seconds(62));
  EXPECT_FALSE(fleet_.instances[0]->membership.IsTargetLeaving(target));
}

TEST_F(MembershipTest, ReportsTheInstancesThatLagBehindARollout) {
  LastReason reason;
  const auto accepted = fleet_.instances[0]->store.Apply(
      PutOrder("a", TestCustomer(1)), kTestTimeout, &reason);
  const InstanceId cut(fleet_.listed()[6].id);
  fleet_.instances[6]->link.SetUp(false);
  fleet_.network.SetLinks([cut](const InstanceId& from, const InstanceId& to) {
    return from != cut && to != cut;
  });
  fleet_.instances[0]->membership.RequestReports(accepted->revision);
  fleet_.Run(absl::Seconds(2));
  for (const auto& instance : fleet_.instances) {
    const bool in_force = instance->revision() == accepted->revision;
    EXPECT_EQ(in_force, instance->id != cut) << instance->id.value();
  }
  fleet_.Run(absl::Seconds(1));
  const auto lagging = fleet_.instances[0]->store.AwaitRollout(
      accepted->revision, absl::ZeroDuration());
  ASSERT_EQ(lagging.size(), 1u) << testing::PrintToString(Describe(lagging));
  EXPECT_EQ(lagging[0].instance, cut);
  EXPECT_EQ(lagging[0].zone, ZoneId("zone-1"));
  fleet_.network.SetLinks(nullptr);
  fleet_.instances[6]->link.SetUp(true);
  fleet_.instances[0]->membership.RequestReports(accepted->revision);
  fleet_.Run(absl::Seconds(3));
  EXPECT_TRUE(fleet_.instances[0]
                  ->store.AwaitRollout(accepted->revision, absl::ZeroDuration())
                  .empty());
}

}  // namespace
}  // namespace wisteriareel
