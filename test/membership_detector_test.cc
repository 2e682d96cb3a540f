#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "src/membership/zone_detector.h"

namespace wisteriareel {
namespace {

const ZoneId kZone("z");
const InstanceId kPeer("peer");

// One detector that knows one other member.
class ZoneDetectorTest : public testing::Test {
 protected:
  ZoneDetectorTest() {
    detector_.OnList({{.id = kPeer.value(), .zone = kZone}}, now_, &changes_);
    Hear(1, 1, Revision(1));
  }

  void Hear(std::uint64_t incarnation, std::uint64_t sequence,
            Revision revision) {
    detector_.OnHeartbeat(kPeer,
                          {.incarnation = incarnation,
                           .sequence = sequence,
                           .revision = revision},
                          now_, &changes_);
  }

  // Lets time pass in steps in which the detector never stands still.
  void Pass(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      now_ += absl::Seconds(1);
      detector_.Tick(Revision(1), now_, &outgoing_, &changes_);
    }
  }

  Member Peer() {
    for (const Member& member : detector_.Members()) {
      if (member.id == kPeer) return member;
    }
    ADD_FAILURE() << "the peer is forgotten";
    return {};
  }

  absl::Time now_ = absl::FromUnixSeconds(1'800'000'000);
  ZoneDetector detector_{{.id = InstanceId("self"), .zone = kZone}};
  std::vector<Outgoing> outgoing_;
  std::vector<MemberChange> changes_;
};

TEST_F(ZoneDetectorTest, LetsNoLateHeartbeatRaiseTheDead) {
  Pass(7);
  ASSERT_EQ(Peer().state, MemberState::kDead);
  Hear(1, 2, Revision(2));
  EXPECT_EQ(Peer().state, MemberState::kDead);
  EXPECT_EQ(Peer().revision, Revision(1));
  Hear(2, 3, Revision(2));
  EXPECT_EQ(Peer().state, MemberState::kAlive);
}

TEST_F(ZoneDetectorTest, IgnoresHeartbeatsOutOfOrder) {
  Hear(1, 5, Revision(3));
  Hear(1, 4, Revision(2));
  EXPECT_EQ(Peer().revision, Revision(3));
  Pass(4);
  ASSERT_EQ(Peer().state, MemberState::kSuspect);
  Hear(1, 5, Revision(3));
  EXPECT_EQ(Peer().state, MemberState::kSuspect);
}

TEST_F(ZoneDetectorTest, ClearsASuspicionByANewHeartbeat) {
  Pass(4);
  ASSERT_EQ(Peer().state, MemberState::kSuspect);
  Hear(1, 2, Revision(1));
  EXPECT_EQ(Peer().state, MemberState::kAlive);
}

TEST_F(ZoneDetectorTest, ForgetsADeadMemberThatIsNoLongerListed) {
  Pass(7);
  detector_.OnList({}, now_, &changes_);
  EXPECT_EQ(detector_.Members().size(), 1u);
}

}  // namespace
}  // namespace wisteriareel
