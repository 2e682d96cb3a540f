#ifndef WISTERIAREEL_SRC_PEER_PEER_CONNECTION_TABLE_H_
#define WISTERIAREEL_SRC_PEER_PEER_CONNECTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/peer/peer_session.h"
#include "wisteriareel/peer_transport.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

using PeerLinkId = std::uint64_t;

struct PeerConnectionTableOptions {
  InstanceId self;
  // Messages that wait for one connection; the oldest gives way.
  std::size_t max_queued_messages = 64;
  // Bytes of the payloads that wait for one connection.
  std::size_t max_queued_bytes = 2 << 20;
  // A message that waits for longer is dropped.
  absl::Duration max_wait = absl::Seconds(5);
  // First and longest pause between attempts to connect. Each is cut by a
  // random part of up to a half, so that instances don't come at once.
  absl::Duration initial_dial_backoff = absl::Milliseconds(200);
  absl::Duration max_dial_backoff = absl::Seconds(5);
  // An instance without a connection that nothing is sent to is forgotten
  // after this time.
  absl::Duration idle_retention = absl::Minutes(1);
};

// An instance to be connected to.
struct PeerDial {
  InstanceId peer;
  Endpoint endpoint;

  friend bool operator==(const PeerDial&, const PeerDial&) = default;
};

// Which connection leads to which instance, what waits for one, and when to
// try again. A decision object: it opens no socket and reads no clock. Not
// thread-safe.
class PeerConnectionTable {
 public:
  // `random` must outlive the book.
  PeerConnectionTable(PeerConnectionTableOptions options, RandomSource* random);

  // Returns the connection to send a message to `peer` on. Without one the
  // message waits; DueDials then names the instance.
  std::optional<PeerLinkId> Route(const InstanceId& peer,
                                  const Endpoint& endpoint,
                                  const PeerMessage& message, absl::Time now);

  // Returns the instances to connect to now, each once per attempt.
  std::vector<PeerDial> DueDials(absl::Time now);

  // Notes an established connection and returns the messages that waited for
  // it, oldest first. If two instances have connected to each other, both use
  // the connection that the lower id made, and the lower id closes the other
  // one: `*superfluous` then names it.
  std::vector<PeerMessage> RecordEstablished(
      const InstanceId& peer, PeerLinkId link, PeerSide side, absl::Time now,
      std::optional<PeerLinkId>* superfluous);

  // Notes that an established connection, or an attempt of this instance to
  // make one, has ended.
  void RecordClosed(const InstanceId& peer, PeerLinkId link, PeerSide side,
                    absl::Time now);

  // Drops what has waited too long and forgets unused instances.
  void Expire(absl::Time now);

  // Returns how many messages were dropped so far.
  std::uint64_t dropped() const { return dropped_; }
  // Returns the number of instances known.
  std::size_t size() const { return peers_.size(); }

 private:
  struct QueuedMessage {
    PeerMessage message;
    absl::Time queued_at;
  };

  struct Peer {
    Endpoint endpoint;
    std::optional<PeerLinkId> link;
    PeerSide side = PeerSide::kInitiator;
    bool dialing = false;
    std::deque<QueuedMessage> queued;
    std::size_t queued_bytes = 0;
    absl::Duration backoff;
    absl::Time next_dial_time = absl::InfinitePast();
    absl::Time last_used;
  };

  void DropOldest(Peer* peer);

  const PeerConnectionTableOptions options_;
  RandomSource* const random_;
  absl::flat_hash_map<InstanceId, Peer> peers_;
  std::uint64_t dropped_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PEER_PEER_CONNECTION_TABLE_H_
