#ifndef WISTERIAREEL_SRC_PEER_PEER_BOOK_H_
#define WISTERIAREEL_SRC_PEER_PEER_BOOK_H_

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

using PeerLink = std::uint64_t;

struct PeerBookOptions {
  InstanceId self;
  // Messages that wait for one connection; the oldest gives way.
  std::size_t max_waiting_messages = 64;
  // Bytes of the payloads that wait for one connection.
  std::size_t max_waiting_bytes = 2 << 20;
  // A message that waits for longer is dropped.
  absl::Duration max_wait = absl::Seconds(5);
  // First and longest pause between attempts to connect. Each is cut by a
  // random part of up to a half, so that instances don't come at once.
  absl::Duration first_pause = absl::Milliseconds(200);
  absl::Duration longest_pause = absl::Seconds(5);
  // An instance without a connection that nothing is sent to is forgotten
  // after this time.
  absl::Duration forget = absl::Minutes(1);
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
class PeerBook {
 public:
  // `random` must outlive the book.
  PeerBook(PeerBookOptions options, RandomSource* random);

  // Returns the connection to send a message to `peer` on. Without one the
  // message waits; DueDials then names the instance.
  std::optional<PeerLink> Route(const InstanceId& peer,
                                const Endpoint& endpoint,
                                const PeerMessage& message, absl::Time now);

  // Returns the instances to connect to now, each once per attempt.
  std::vector<PeerDial> DueDials(absl::Time now);

  // Notes an established connection and returns the messages that waited for
  // it, oldest first. If two instances have connected to each other, both use
  // the connection that the lower id made, and the lower id closes the other
  // one: `*superfluous` then names it.
  std::vector<PeerMessage> Established(const InstanceId& peer, PeerLink link,
                                       PeerSide side, absl::Time now,
                                       std::optional<PeerLink>* superfluous);

  // Notes that an established connection, or an attempt of this instance to
  // make one, has ended.
  void Closed(const InstanceId& peer, PeerLink link, PeerSide side,
              absl::Time now);

  // Drops what has waited too long and forgets unused instances.
  void Expire(absl::Time now);

  // Returns how many messages were dropped so far.
  std::uint64_t dropped() const { return dropped_; }
  // Returns the number of instances known.
  std::size_t size() const { return peers_.size(); }

 private:
  struct Waiting {
    PeerMessage message;
    absl::Time since;
  };

  struct Peer {
    Endpoint endpoint;
    std::optional<PeerLink> link;
    PeerSide side = PeerSide::kInitiator;
    bool dialing = false;
    std::deque<Waiting> waiting;
    std::size_t waiting_bytes = 0;
    absl::Duration pause;
    absl::Time next_dial = absl::InfinitePast();
    absl::Time last_used;
  };

  void DropOldest(Peer* peer);

  const PeerBookOptions options_;
  RandomSource* const random_;
  absl::flat_hash_map<InstanceId, Peer> peers_;
  std::uint64_t dropped_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PEER_PEER_BOOK_H_
