#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "src/membership/zone_detector.h"

namespace wisteriareel {
namespace {

const ZoneId kZone("z");
const InstanceId kPeer("peer");

// A detector with one other member.
class ZoneDetectorTest : public testing::Test {
 protected:
  ZoneDetectorTest() {
    detector_.OnList({{.id = kPeer.value(), .zone = kZone}}, now_, &changes_);
    ReceiveHeartbeat(1, 1, Revision(1));
  }

  void ReceiveHeartbeat(std::uint64_t incarnation, std::uint64_t sequence,
                        Revision revision) {
    detector_.OnHeartbeat(kPeer,
                          {.incarnation = incarnation,
                           .sequence = sequence,
                           .revision = revision},
                          now_, &changes_);
  }

  // Advances the time in steps of one second, too short to count as a pause of
  // the detector's own instance.
  void AdvanceTime(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      now_ += absl::Seconds(1);
      detector_.Tick(Revision(1), now_, &outgoing_, &changes_);
    }
  }

  Member Peer() {
    for (const Member& member : detector_.Members()) {
      if (member.id == kPeer) return member;
    }
    ADD_FAILURE() << "the peer is not a member any more";
    return {};
  }

  absl::Time now_ = absl::FromUnixSeconds(1'800'000'000);
  ZoneDetector detector_{{.id = InstanceId("self"), .zone = kZone}};
  std::vector<OutgoingMessage> outgoing_;
  std::vector<MemberChange> changes_;
};

TEST_F(ZoneDetectorTest, IgnoresADelayedHeartbeatOfADeadMember) {
  AdvanceTime(7);
  ASSERT_EQ(Peer().state, MemberState::kDead);
  ReceiveHeartbeat(1, 2, Revision(2));
  EXPECT_EQ(Peer().state, MemberState::kDead);
  EXPECT_EQ(Peer().revision, Revision(1));
  ReceiveHeartbeat(2, 3, Revision(2));
  EXPECT_EQ(Peer().state, MemberState::kAlive);
}

TEST_F(ZoneDetectorTest, IgnoresHeartbeatsOutOfOrder) {
  ReceiveHeartbeat(1, 5, Revision(3));
  ReceiveHeartbeat(1, 4, Revision(2));
  EXPECT_EQ(Peer().revision, Revision(3));
  AdvanceTime(4);
  ASSERT_EQ(Peer().state, MemberState::kSuspect);
  ReceiveHeartbeat(1, 5, Revision(3));
  EXPECT_EQ(Peer().state, MemberState::kSuspect);
}

TEST_F(ZoneDetectorTest, ClearsASuspicionByANewHeartbeat) {
  AdvanceTime(4);
  ASSERT_EQ(Peer().state, MemberState::kSuspect);
  ReceiveHeartbeat(1, 2, Revision(1));
  EXPECT_EQ(Peer().state, MemberState::kAlive);
}

TEST_F(ZoneDetectorTest, RemovesADeadMemberThatIsNoLongerListed) {
  AdvanceTime(7);
  detector_.OnList({}, now_, &changes_);
  EXPECT_EQ(detector_.Members().size(), 1u);
}

}  // namespace
}  // namespace wisteriareel
