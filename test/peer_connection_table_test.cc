#include "src/peer/peer_connection_table.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace wisteriareel {
namespace {

constexpr absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

class PeerConnectionTableTest : public testing::Test {
 protected:
  std::optional<PeerLinkId> Route(const std::string& payload,
                                  absl::Time now = kStart) {
    return table_.Route(peer_, endpoint_,
                        {PeerMessageKind::kHeartbeat, payload}, now);
  }

  const InstanceId peer_{"b"};
  const Endpoint endpoint_{"10.0.0.2", 8082};
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);
  PeerConnectionTable table_{{.self = InstanceId("a")}, random_.get()};
  std::optional<PeerLinkId> superfluous_;
};

TEST_F(PeerConnectionTableTest, QueuesMessagesUntilTheConnectionIsEstablished) {
  EXPECT_FALSE(Route("1"));
  EXPECT_FALSE(Route("2"));
  EXPECT_EQ(table_.DueDials(kStart),
            (std::vector<PeerDial>{{peer_, endpoint_}}));
  EXPECT_TRUE(table_.DueDials(kStart).empty());
  const auto queued = table_.RecordEstablished(peer_, 9, PeerSide::kInitiator,
                                               kStart, &superfluous_);
  ASSERT_EQ(queued.size(), 2u);
  EXPECT_EQ(queued[1].payload, "2");
  EXPECT_EQ(Route("3"), 9u);
}

TEST_F(PeerConnectionTableTest, DropsTheOldestQueuedMessagesOverTheCountLimit) {
  for (int n = 0; n < 1000; ++n) Route(absl::StrCat(n));
  EXPECT_EQ(table_.dropped(), 936u);
  const auto queued = table_.RecordEstablished(peer_, 9, PeerSide::kAcceptor,
                                               kStart, &superfluous_);
  ASSERT_EQ(queued.size(), 64u);
  EXPECT_EQ(queued.back().payload, "999");
}

TEST_F(PeerConnectionTableTest, DropsQueuedMessagesOverTheByteLimit) {
  for (int n = 0; n < 4; ++n) Route(std::string(1 << 20, 'x'));
  EXPECT_EQ(table_.dropped(), 2u);
}

TEST_F(PeerConnectionTableTest, DialBackoffGrowsWithJitterUpToTheMaximum) {
  absl::Time now = kStart;
  std::vector<absl::Duration> backoffs;
  for (int n = 0; n < 12; ++n) {
    Route("x", now);
    ASSERT_EQ(table_.DueDials(now).size(), 1u) << n;
    table_.RecordClosed(peer_, 0, PeerSide::kInitiator, now);
    const absl::Time failed_at = now;
    while (table_.DueDials(now).empty()) {
      now += absl::Milliseconds(1);
      Route("x", now);
    }
    backoffs.push_back(now - failed_at);
    table_.RecordClosed(peer_, 0, PeerSide::kInitiator, now);
    now += absl::Seconds(6);
  }
  EXPECT_GE(backoffs.front(), absl::Milliseconds(100));
  EXPECT_LE(backoffs.front(), absl::Milliseconds(201));
  for (const absl::Duration it : backoffs) {
    EXPECT_LE(it, absl::Milliseconds(5001));
  }
  EXPECT_GE(backoffs.back(), absl::Milliseconds(2500));
  EXPECT_NE(backoffs[10], backoffs[11]);
}

TEST_F(PeerConnectionTableTest, ExpiresOldMessagesAndRemovesUnusedInstances) {
  Route("x");
  table_.Expire(kStart + absl::Seconds(6));
  EXPECT_EQ(table_.dropped(), 1u);
  EXPECT_EQ(table_.size(), 1u);
  table_.Expire(kStart + absl::Seconds(61));
  EXPECT_EQ(table_.size(), 0u);
}

// Both instances have dialed each other. Each records the two connections in an
// order of its own. For all orders, both must use the same connection and only
// one instance must close the other connection.
TEST(PeerConnectionTablePairTest, TwoInstancesAgreeOnOneConnection) {
  EXPECT_TRUE(rc::check([](bool a_first_at_a, bool a_first_at_b) {
    const auto random = MakeSeededRandom(1);
    PeerConnectionTable a({.self = InstanceId("a")}, random.get());
    PeerConnectionTable b({.self = InstanceId("b")}, random.get());
    constexpr PeerLinkId made_by_a = 1;
    constexpr PeerLinkId made_by_b = 2;
    std::vector<PeerLinkId> closed;
    const auto record = [&](PeerConnectionTable* table, const InstanceId& other,
                            PeerLinkId link, bool own) {
      std::optional<PeerLinkId> superfluous;
      table->RecordEstablished(other, link,
                               own ? PeerSide::kInitiator : PeerSide::kAcceptor,
                               kStart, &superfluous);
      if (superfluous) closed.push_back(*superfluous);
    };
    for (const bool first : {true, false}) {
      const PeerLinkId at_a = a_first_at_a == first ? made_by_a : made_by_b;
      record(&a, InstanceId("b"), at_a, at_a == made_by_a);
      const PeerLinkId at_b = a_first_at_b == first ? made_by_a : made_by_b;
      record(&b, InstanceId("a"), at_b, at_b == made_by_b);
    }
    RC_ASSERT(closed == std::vector<PeerLinkId>{made_by_b});
    a.RecordClosed(InstanceId("b"), made_by_b, PeerSide::kAcceptor, kStart);
    b.RecordClosed(InstanceId("a"), made_by_b, PeerSide::kInitiator, kStart);
    const PeerMessage message{PeerMessageKind::kHeartbeat, "x"};
    RC_ASSERT(a.Route(InstanceId("b"), {}, message, kStart) == made_by_a);
    RC_ASSERT(b.Route(InstanceId("a"), {}, message, kStart) == made_by_a);
  }));
}

}  // namespace
}  // namespace wisteriareel
