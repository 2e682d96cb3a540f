#include "src/peer/peer_connection_table.h"

#include <algorithm>
#include <utility>

namespace wisteriareel {

PeerConnectionTable::PeerConnectionTable(PeerConnectionTableOptions options,
                                         RandomSource* random)
    : options_(std::move(options)), random_(random) {}

std::optional<PeerLinkId> PeerConnectionTable::Route(const InstanceId& id,
                                                     const Endpoint& endpoint,
                                                     const PeerMessage& message,
                                                     absl::Time now) {
  Peer& peer = peers_[id];
  peer.endpoint = endpoint;
  peer.last_used = now;
  if (peer.link) return peer.link;
  peer.queued.push_back({message, now});
  peer.queued_bytes += message.payload.size();
  while (peer.queued.size() > options_.max_queued_messages ||
         peer.queued_bytes > options_.max_queued_bytes) {
    DropOldest(&peer);
  }
  return std::nullopt;
}

std::vector<PeerDial> PeerConnectionTable::DueDials(absl::Time now) {
  std::vector<PeerDial> due;
  for (auto& [id, peer] : peers_) {
    if (peer.link || peer.dialing || peer.queued.empty()) continue;
    if (now < peer.next_dial_time) continue;
    peer.dialing = true;
    due.push_back({id, peer.endpoint});
  }
  return due;
}

std::vector<PeerMessage> PeerConnectionTable::RecordEstablished(
    const InstanceId& id, PeerLinkId link, PeerSide side, absl::Time now,
    std::optional<PeerLinkId>* superfluous) {
  Peer& peer = peers_[id];
  if (side == PeerSide::kInitiator) peer.dialing = false;
  if (peer.link && side != peer.side) {
    const bool lower = options_.self < id;
    const PeerSide kept = lower ? PeerSide::kInitiator : PeerSide::kAcceptor;
    if (lower) *superfluous = peer.side == kept ? link : *peer.link;
    if (peer.side == kept) return {};
  }
  peer.link = link;
  peer.side = side;
  peer.backoff = absl::ZeroDuration();
  peer.next_dial_time = absl::InfinitePast();
  peer.last_used = now;
  std::vector<PeerMessage> queued_messages;
  queued_messages.reserve(peer.queued.size());
  for (QueuedMessage& it : peer.queued)
    queued_messages.push_back(std::move(it.message));
  peer.queued.clear();
  peer.queued_bytes = 0;
  return queued_messages;
}

void PeerConnectionTable::RecordClosed(const InstanceId& id, PeerLinkId link,
                                       PeerSide side, absl::Time now) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  if (side == PeerSide::kInitiator) peer.dialing = false;
  if (peer.link == link) peer.link.reset();
  if (peer.link) return;
  peer.backoff = std::clamp(2 * peer.backoff, options_.initial_dial_backoff,
                            options_.max_dial_backoff);
  peer.next_dial_time = now + peer.backoff * (1 - random_->Fraction() / 2);
}

void PeerConnectionTable::Expire(absl::Time now) {
  absl::erase_if(peers_, [&](auto& entry) {
    Peer& peer = entry.second;
    while (!peer.queued.empty() &&
           now - peer.queued.front().queued_at > options_.max_wait) {
      DropOldest(&peer);
    }
    return !peer.link && !peer.dialing && peer.queued.empty() &&
           now - peer.last_used > options_.idle_retention;
  });
}

void PeerConnectionTable::DropOldest(Peer* peer) {
  peer->queued_bytes -= peer->queued.front().message.payload.size();
  peer->queued.pop_front();
  ++dropped_;
}

}  // namespace wisteriareel
