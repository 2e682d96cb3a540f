#ifndef WISTERIAREEL_SRC_PEER_PEER_FRAME_H_
#define WISTERIAREEL_SRC_PEER_PEER_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wisteriareel/reason.h"

namespace wisteriareel {

// Current version of the protocol between instances. Incremented for each
// change of the frames that the previous version would decode incorrectly.
inline constexpr std::uint32_t kPeerProtocolVersion = 1;
// Oldest supported version, for instances that run an older release.
inline constexpr std::uint32_t kOldestPeerProtocolVersion = 1;

inline constexpr std::size_t kPeerNonceBytes = 32;
inline constexpr std::size_t kPeerMacBytes = 32;
// Maximum size of a frame before the sender has proved that it knows the
// secret.
inline constexpr std::size_t kMaxHandshakeFrameBytes = 1024;
// Maximum size of a message payload.
inline constexpr std::size_t kMaxPeerPayloadBytes = 1 << 20;
// Maximum size of a frame: a message payload and the other fields.
inline constexpr std::size_t kMaxPeerFrameBytes = kMaxPeerPayloadBytes + 256;

// Kinds of frames. The numbers are sent on the wire: append only.
enum class PeerFrameKind : std::uint8_t {
  kHello = 1,      // Initiator: version, instance, nonce.
  kChallenge = 2,  // Acceptor: version, instance, nonce, mac.
  kProof = 3,      // Initiator: mac.
  kMessage = 4,    // Sequence, message kind, payload, mac.
  kPing = 5,       // Sequence, mac. Requests a pong.
  kPong = 6,       // Sequence, mac.
  kGoodbye = 7,    // Sequence, mac. The sender closes the connection.
};

// A frame, encoded as a flat CBOR map. The kind determines which fields are
// set.
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

// Returns the CBOR encoding of `frame`.
std::string EncodePeerFrame(const PeerFrame& frame);

// Decodes `bytes`. Returns nullopt with kPeerFrameMalformed unless they are
// exactly one flat map with exactly the fields of its kind. For any input,
// memory use is proportional to the size of `bytes` and no recursion occurs.
std::optional<PeerFrame> DecodePeerFrame(std::string_view bytes,
                                         LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PEER_PEER_FRAME_H_
