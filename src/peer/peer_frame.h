#ifndef WISTERIAREEL_SRC_PEER_PEER_FRAME_H_
#define WISTERIAREEL_SRC_PEER_PEER_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wisteriareel/reason.h"

namespace wisteriareel {

// Version of the protocol between instances that this program speaks. Raised
// when a change of the frames would be misread by the version before.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;
// Oldest version that is still spoken with an instance of an older program.
inline constexpr std::uint32_t kOldestPeerProtocolVersion = 1;

inline constexpr std::size_t kPeerNonceBytes = 32;
inline constexpr std::size_t kPeerMacBytes = 32;
// Largest frame before the sender has proved that it knows the secret.
inline constexpr std::size_t kMaxHandshakeFrameBytes = 1024;
// Largest payload of a message.
inline constexpr std::size_t kMaxPeerPayloadBytes = 1 << 20;
// Largest frame: a message with its envelope.
inline constexpr std::size_t kMaxPeerFrameBytes = kMaxPeerPayloadBytes + 256;

// The kinds of frames. Numbers are on the wire; append only.
enum class PeerFrameKind : std::uint8_t {
  kHello = 1,      // Initiator: version, instance, nonce.
  kChallenge = 2,  // Acceptor: version, instance, nonce, mac.
  kProof = 3,      // Initiator: mac.
  kMessage = 4,    // Sequence, message kind, payload, mac.
  kPing = 5,       // Sequence, mac. Asks for a pong.
  kPong = 6,       // Sequence, mac.
  kGoodbye = 7,    // Sequence, mac. The sender closes the connection.
};

// One frame as it is on the wire: a flat CBOR map. Which fields are set
// depends on the kind.
struct PeerFrame {
  PeerFrameKind kind = PeerFrameKind::kPing;
  std::uint32_t version = 0;
  std::string instance;
  std::string nonce;
  std::uint64_t sequence = 0;
  std::uint8_t message_kind = 0;
  std::string payload;
  std::string mac;

  friend bool operator==(const PeerFrame&, const PeerFrame&) = default;
};

// Returns the bytes of `frame`.
std::string EncodePeerFrame(const PeerFrame& frame);

// Returns the frame in `bytes`. Returns nullopt with kPeerFrameMalformed
// unless `bytes` are exactly one flat map with just the fields of its kind.
// Uses memory of the order of `bytes`, and no recursion, whatever they are.
std::optional<PeerFrame> DecodePeerFrame(std::string_view bytes,
                                         LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PEER_PEER_FRAME_H_
