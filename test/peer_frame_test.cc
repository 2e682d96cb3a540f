#include "src/peer/peer_frame.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace wisteriareel {
namespace {

constexpr std::uint32_t kFuzzSeed = 20261204;
constexpr int kFuzzRounds = 200'000;

PeerFrame MakeMessage(const std::string& payload) {
  return {.kind = PeerFrameKind::kMessage,
          .sequence = 7,
          .message_kind = 4,
          .payload = payload,
          .mac = std::string(kPeerMacBytes, 'm')};
}

std::optional<PeerFrame> DecodeFrame(const std::string& bytes) {
  LastReason reason;
  std::optional<PeerFrame> frame = DecodePeerFrame(bytes, &reason);
  EXPECT_EQ(reason.reason(),
            frame ? Reason::kNone : Reason::kPeerFrameMalformed);
  return frame;
}

// Returns one frame of each kind.
std::vector<PeerFrame> MakeFrames() {
  const std::string nonce(kPeerNonceBytes, 'n');
  const std::string mac(kPeerMacBytes, 'm');
  return {{.kind = PeerFrameKind::kHello,
           .version = 1,
           .instance = "entry-1",
           .nonce = nonce},
          {.kind = PeerFrameKind::kChallenge,
           .version = 1,
           .instance = "entry-2",
           .nonce = nonce,
           .mac = mac},
          {.kind = PeerFrameKind::kProof, .mac = mac},
          MakeMessage("payload"),
          {.kind = PeerFrameKind::kPing, .sequence = 1, .mac = mac},
          {.kind = PeerFrameKind::kPong, .sequence = 300, .mac = mac},
          {.kind = PeerFrameKind::kGoodbye, .sequence = 70000, .mac = mac}};
}

TEST(PeerFrameTest, EveryKindRoundTrips) {
  for (const PeerFrame& frame : MakeFrames()) {
    EXPECT_EQ(DecodeFrame(EncodePeerFrame(frame)), frame)
        << static_cast<int>(frame.kind);
  }
  EXPECT_TRUE(rc::check([](const std::string& payload) {
    RC_ASSERT(DecodeFrame(EncodePeerFrame(MakeMessage(payload))) ==
              MakeMessage(payload));
  }));
}

TEST(PeerFrameTest, RefusesTruncatedAndExtendedFrames) {
  for (const PeerFrame& frame : MakeFrames()) {
    const std::string bytes = EncodePeerFrame(frame);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      EXPECT_FALSE(DecodeFrame(bytes.substr(0, n))) << n;
    }
    EXPECT_FALSE(DecodeFrame(bytes + std::string(1, '\0')));
    EXPECT_FALSE(DecodeFrame(bytes + bytes));
  }
}

TEST(PeerFrameTest, RefusesHostileBytes) {
  // Nesting deep enough to overflow the stack of a recursive decoder.
  EXPECT_FALSE(DecodeFrame(std::string(1 << 20, '\x81')));
  EXPECT_FALSE(DecodeFrame(std::string(1 << 20, '\xa1')));
  for (const char* hex : {
           "",                          // Empty.
           "a0",                        // A map without a kind.
           "a1616b00",                  // An unknown kind.
           "a1616b1901f4",              // A kind that exceeds one byte.
           "a1616b05",                  // A ping without its fields.
           "a2616b05616b05",            // A duplicate field.
           "a1617a01",                  // An unknown field.
           "a1616bf6",                  // A kind that is null.
           "a1616b8105",                // A kind that is a list.
           "bb7fffffffffffffff",        // A map of 2^63 - 1 fields.
           "a161707b7fffffffffffffff",  // A text of 2^63 - 1 bytes.
           "a161705b7fffffffffffffff",  // A byte string of 2^63 - 1 bytes.
           "bf616b05ff",                // Indefinite length, missing fields.
           "ff",                        // A break with no open item.
           "f7",                        // The value undefined.
           "fb7ff8000000000000",        // A floating-point NaN.
       }) {
    EXPECT_FALSE(DecodeFrame(absl::HexStringToBytes(hex))) << hex;
  }
  EXPECT_FALSE(DecodeFrame(EncodePeerFrame(
      MakeMessage(std::string(kMaxPeerPayloadBytes + 1, 'x')))));
  EXPECT_TRUE(DecodeFrame(
      EncodePeerFrame(MakeMessage(std::string(kMaxPeerPayloadBytes, 'x')))));
}

TEST(PeerFrameTest, RefusesADuplicateField) {
  std::string bytes = EncodePeerFrame({.kind = PeerFrameKind::kPing,
                                       .sequence = 1,
                                       .mac = std::string(kPeerMacBytes, 'm')});
  ASSERT_TRUE(DecodeFrame(bytes));
  // Increments the number of fields in the map header and appends the kind a
  // second time.
  ASSERT_EQ(bytes[0], '\xa3');
  bytes[0] = '\xa4';
  EXPECT_FALSE(DecodeFrame(bytes + "\x61k\x05"));
}

// Decoding arbitrary bytes must not crash, and a frame that is accepted must
// survive encoding and decoding unchanged.
TEST(PeerFrameTest, MutatedFramesAreRefusedOrRoundTrip) {
  std::mt19937 random(kFuzzSeed);
  std::vector<std::string> corpus;
  for (const PeerFrame& frame : MakeFrames()) {
    corpus.push_back(EncodePeerFrame(frame));
  }
  int accepted = 0;
  for (int n = 0; n < kFuzzRounds; ++n) {
    std::string bytes = corpus[random() % corpus.size()];
    for (std::uint32_t edits = 1 + random() % 4; edits > 0; --edits) {
      const std::size_t at = random() % (bytes.size() + 1);
      const char c = static_cast<char>(random());
      switch (random() % 4) {
        case 0:
          bytes.insert(at, 1, c);
          break;
        case 1:
          bytes = bytes.substr(0, at) + corpus[random() % corpus.size()];
          break;
        case 2:
          if (at < bytes.size()) bytes.erase(at, 1 + random() % 8);
          break;
        default:
          if (at < bytes.size()) bytes[at] = c;
      }
    }
    const std::optional<PeerFrame> frame = DecodeFrame(bytes);
    if (!frame) continue;
    ++accepted;
    ASSERT_EQ(DecodeFrame(EncodePeerFrame(*frame)), frame)
        << absl::BytesToHexString(bytes);
  }
  // Mutations of payloads, nonces and numbers give valid frames; most other
  // mutations don't.
  EXPECT_GT(accepted, kFuzzRounds / 100);
  EXPECT_LT(accepted, kFuzzRounds / 2);
}

}  // namespace
}  // namespace wisteriareel
