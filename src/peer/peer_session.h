#ifndef WISTERIAREEL_SRC_PEER_PEER_SESSION_H_
#define WISTERIAREEL_SRC_PEER_PEER_SESSION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "src/peer/peer_frame.h"
#include "wisteriareel/peer_transport.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Which end of a connection an instance is.
enum class PeerSide : std::uint8_t {
  kInitiator,
  kAcceptor,
};

inline constexpr absl::Duration kDefaultPeerHeartbeat = absl::Seconds(1);
inline constexpr absl::Duration kDefaultPeerReceiveTimeout = absl::Seconds(3);

struct PeerSessionOptions {
  // This instance.
  InstanceId self;
  // Shared by all instances of the deployment.
  std::string secret;
  // A ping is sent when nothing else was sent for this long.
  absl::Duration heartbeat = kDefaultPeerHeartbeat;
  // The connection is given up when nothing arrived for this long; also the
  // longest time for the handshake.
  absl::Duration receive_timeout = kDefaultPeerReceiveTimeout;
};

// What a step of a session asks its owner to do, in this order.
struct PeerActions {
  // Frames to be sent.
  std::vector<std::string> frames;
  // Messages that arrived.
  std::vector<PeerMessage> messages;
  // True if the step completed the handshake.
  bool established = false;
  // Close the connection unless kNone. kCancelled: the other end said that it
  // closes.
  Reason close = Reason::kNone;
  // For the log.
  std::string detail;
};

// The protocol on one connection between two instances: mutual proof of the
// shared secret, authenticated and numbered frames, heartbeats. A decision
// object: it opens no socket and reads no clock. Not thread-safe.
//
// Both ends prove the secret by HMAC-SHA-256 over both nonces, both ids and
// the version, each under a label of its own, so that no proof can be replayed
// or reflected. Frames after that carry a HMAC under a key of this session and
// a sequence number, so that none can be forged, replayed or dropped unseen.
class PeerSession {
 public:
  // `expected` is the instance that an initiator dials; an acceptor leaves it
  // empty. `nonce` must be fresh from a cryptographic generator.
  PeerSession(PeerSessionOptions options, PeerSide side, InstanceId expected,
              std::string nonce, absl::Time now);

  // Starts the session once the connection is open.
  PeerActions Open(absl::Time now);

  // Takes the bytes of one frame.
  PeerActions Receive(std::string_view bytes, absl::Time now);

  // Sends heartbeats and finds silence. Call it several times per heartbeat.
  PeerActions Tick(absl::Time now);

  // Returns the frame that carries `message`. Call it when established only.
  std::string EncodeMessage(const PeerMessage& message, absl::Time now);

  // Returns the frame that tells the other end of the closing. Call it when
  // established only.
  std::string EncodeGoodbye();

  bool established() const { return state_ == State::kEstablished; }
  PeerSide side() const { return side_; }
  // The other end; proved once established.
  const InstanceId& peer() const { return peer_; }
  // When a message was sent or received last.
  absl::Time last_message() const { return last_message_; }

 private:
  enum class State : std::uint8_t {
    kAwaitHello,
    kAwaitChallenge,
    kAwaitProof,
    kEstablished,
    kClosed,
  };

  PeerActions Close(Reason reason, const std::string& detail);
  PeerActions OnHello(const PeerFrame& frame);
  PeerActions OnChallenge(const PeerFrame& frame, absl::Time now);
  PeerActions OnProof(const PeerFrame& frame);
  PeerActions OnSessionFrame(const PeerFrame& frame, absl::Time now);

  // Returns what both ends have said, each part with its length.
  std::string Transcript() const;
  // Returns the proof of `side` over the transcript.
  std::string Proof(PeerSide side) const;
  void Establish();
  // Numbers, authenticates and encodes a frame of the session.
  std::string EncodeSessionFrame(PeerFrame frame);
  std::string Mac(const PeerFrame& frame, PeerSide sender) const;

  const PeerSessionOptions options_;
  const PeerSide side_;
  const std::string nonce_;
  State state_;
  InstanceId peer_;
  std::string peer_nonce_;
  std::uint32_t offered_version_ = kPeerProtocolVersion;
  std::uint32_t version_ = 0;
  std::string session_key_;
  std::uint64_t sent_ = 0;
  std::uint64_t received_ = 0;
  absl::Time last_sent_;
  absl::Time last_received_;
  absl::Time last_message_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PEER_PEER_SESSION_H_
