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

// Identifies a connection; equal to the LinkId of its websocket.
using PeerLinkId = std::uint64_t;

struct PeerConnectionTableOptions {
  InstanceId self;
  // Messages queued for one connection. The oldest is dropped first.
  std::size_t max_queued_messages = 64;
  // Payload bytes queued for one connection.
  std::size_t max_queued_bytes = 2 << 20;
  // A message queued for longer than this is dropped.
  absl::Duration max_wait = absl::Seconds(5);
  // Initial and maximum delay between attempts to connect. Each delay is
  // reduced by a random jitter of up to one half, so that instances don't
  // reconnect at the same time.
  absl::Duration initial_dial_backoff = absl::Milliseconds(200);
  absl::Duration max_dial_backoff = absl::Seconds(5);
  // An instance without a connection is removed when it was unused for this
  // long.
  absl::Duration idle_retention = absl::Minutes(1);
};

// An instance to connect to.
struct PeerDial {
  InstanceId peer;
  Endpoint endpoint;

  friend bool operator==(const PeerDial&, const PeerDial&) = default;
};

// Table of the current connections to peers. Holds the connection to each
// instance, the messages queued until one is established, and the time of the
// next connection attempt. Opens no sockets and reads no clock. Not
// thread-safe.
class PeerConnectionTable {
 public:
  // `random` must outlive the table.
  PeerConnectionTable(PeerConnectionTableOptions options, RandomSource* random);

  // Returns the connection for a message to `peer`. Without a connection the
  // message is queued and DueDials returns the instance.
  std::optional<PeerLinkId> Route(const InstanceId& peer,
                                  const Endpoint& endpoint,
                                  const PeerMessage& message, absl::Time now);

  // Returns the instances to connect to now and marks them as being dialed, so
  // that each attempt is returned once.
  std::vector<PeerDial> DueDials(absl::Time now);

  // Records an established connection and returns the messages queued for it,
  // oldest first. If two instances have connected to each other, both use the
  // connection initiated by the instance with the lower id. That instance
  // closes the other connection, which is returned in `*superfluous`.
  std::vector<PeerMessage> RecordEstablished(
      const InstanceId& peer, PeerLinkId link, PeerSide side, absl::Time now,
      std::optional<PeerLinkId>* superfluous);

  // Records the end of an established connection, or a failed connection
  // attempt of this instance.
  void RecordClosed(const InstanceId& peer, PeerLinkId link, PeerSide side,
                    absl::Time now);

  // Drops messages queued for longer than `max_wait` and removes unused
  // instances.
  void Expire(absl::Time now);

  // Returns the number of messages dropped so far.
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
