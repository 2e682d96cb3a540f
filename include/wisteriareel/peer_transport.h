#ifndef WISTERIAREEL_PEER_TRANSPORT_H_
#define WISTERIAREEL_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "wisteriareel/types.h"

namespace wisteriareel {

// Kinds of messages between instances. The numbers are sent on the wire:
// append only.
enum class PeerMessageKind : std::uint8_t {
  kHeartbeat = 1,
  kRevision = 2,
  kConfigPull = 3,
  kConfigDeltas = 4,
  kZoneDigest = 5,
  kTargetState = 6,
};

// A message between instances. `payload` is the CBOR body of its kind.
struct PeerMessage {
  PeerMessageKind kind = PeerMessageKind::kHeartbeat;
  std::string payload;

  friend bool operator==(const PeerMessage&, const PeerMessage&) = default;
};

// Receives messages. Called on a transport thread; implementations must not
// block.
class PeerReceiver {
 public:
  virtual ~PeerReceiver() = default;

  virtual void OnPeerMessage(const InstanceId& sender,
                             const PeerMessage& message) = 0;
};

// Sends messages to other instances. Thread-safe and non-blocking. Messages
// may be lost, delayed or reordered; the sender is not notified.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // Sends `message`, connecting to `endpoint` if there is no connection yet.
  virtual void Send(const InstanceId& to, const Endpoint& endpoint,
                    const PeerMessage& message) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_PEER_TRANSPORT_H_
