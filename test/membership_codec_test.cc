#include <cstdint>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "src/config/config_codec.h"
#include "src/config/config_messages.h"
#include "src/membership/member_messages.h"
#include "test/config_test_support.h"

namespace wisteriareel {
namespace {

// Returns one entry of each kind, without default values.
std::vector<VersionedEntry> SampleEntries() {
  const Revision version(7);
  return {
      {Customer{CustomerId("c"), "Náttúra", true, 3}, version},
      {ApiKey{std::string(64, 'a'), CustomerId("c"), BudgetId("b"), true},
       version},
      {Budget{BudgetId("b"), CustomerId("c"), true}, version},
      {Pool{PoolId("p"),
            PoolKind::kService,
            {ModelName("m")},
            "/p/",
            5,
            Tokens(9),
            77},
       version},
      {Target{TargetId("t"), PoolId("p"), RegionId("r"), ZoneId("z"),
              Endpoint{"10.0.0.9", 65535}, true, true},
       version},
      {IdempotencyRule{"i", PoolId("p"), "GET", "/p/", true}, version},
      {PoolPlan{PoolId("p"), {ModelName("m")}, {"a"}, "v", "decode"}, version},
  };
}

std::vector<PeerMessage> SampleMessages() {
  ConfigDelta delta{Revision(9), OrderId("o"), {}, UINT64_MAX};
  for (const VersionedEntry& entry : SampleEntries()) {
    delta.changes.push_back({KeyOf(entry.value), entry.value});
  }
  delta.changes.push_back({{ConfigKind::kPool, "gone"}, std::nullopt});
  return {
      EncodeConfigMessage(RevisionNotice{Revision(5)}),
      EncodeConfigMessage(
          ConfigPull{Revision(5), true, {ConfigKind::kTarget, "t"}}),
      EncodeConfigMessage(ConfigDeltas{Revision(9), {delta}}),
      EncodeConfigMessage(ConfigChunk{Revision(9), 1, SampleEntries(), true}),
      EncodeMemberMessage(
          Heartbeat{1'800'000'000'000,
                    2,
                    Revision(3),
                    {{InstanceId("x"), 4}},
                    Introduction{RegionId("r"), ZoneId("z"), {"10.0.0.1", 1}}}),
      EncodeMemberMessage(ZoneDigest{ZoneId("z"),
                                     Revision(1),
                                     Revision(2),
                                     Revision(0),
                                     {{InstanceId("x"), Revision(1)}},
                                     {InstanceId("y")},
                                     true}),
      EncodeMemberMessage(TargetLeavingNotice{TargetId("t"), absl::Seconds(3)}),
  };
}

// Returns the message after decoding and encoding it, or an empty one if
// decoding fails.
PeerMessage RoundTrip(const PeerMessage& message) {
  if (const auto config = DecodeConfigMessage(message)) {
    return EncodeConfigMessage(*config);
  }
  if (const auto member = DecodeMemberMessage(message)) {
    return EncodeMemberMessage(*member);
  }
  return {};
}

TEST(PeerPayloads, SurviveARoundTrip) {
  for (const PeerMessage& message : SampleMessages()) {
    EXPECT_EQ(RoundTrip(message), message) << static_cast<int>(message.kind);
  }
}

TEST(PeerPayloads, AreRefusedWhenTruncated) {
  for (const PeerMessage& message : SampleMessages()) {
    for (std::size_t n = 0; n < message.payload.size(); ++n) {
      const PeerMessage cut{message.kind, message.payload.substr(0, n)};
      EXPECT_TRUE(RoundTrip(cut).payload.empty())
          << static_cast<int>(message.kind) << " at " << n;
    }
  }
}

TEST(PeerPayloads, AreRefusedWhenNestedDeeply) {
  const std::string brackets(1'000'000, '\x81');
  EXPECT_FALSE(DecodeMemberMessage({PeerMessageKind::kHeartbeat, brackets}));
  EXPECT_FALSE(DecodeConfigMessage({PeerMessageKind::kConfigPull, brackets}));
}

TEST(ConfigRows, SurviveARoundTrip) {
  for (const VersionedEntry& entry : SampleEntries()) {
    const auto decoded = DecodeEntryRow(EncodeEntryRow(entry));
    ASSERT_TRUE(decoded) << EncodeEntryRow(entry);
    EXPECT_EQ(*decoded, entry) << EncodeEntryRow(entry);
  }
}

// A corrupted payload is refused or decodes to another valid message, which
// survives a round trip.
RC_GTEST_PROP(PeerPayloadsProperty, TolerateCorruptedBytes, ()) {
  const auto samples = SampleMessages();
  PeerMessage message =
      samples[*rc::gen::inRange<std::size_t>(0, samples.size())];
  const int changes = *rc::gen::inRange(1, 4);
  for (int i = 0; i < changes; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, message.payload.size());
    message.payload[at] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  const PeerMessage once = RoundTrip(message);
  if (once.payload.empty()) return;
  RC_ASSERT(RoundTrip(once) == once);
}

}  // namespace
}  // namespace wisteriareel
