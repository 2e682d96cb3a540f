#include "src/peer/peer_book.h"

#include <algorithm>
#include <utility>

namespace wisteriareel {

PeerBook::PeerBook(PeerBookOptions options, RandomSource* random)
    : options_(std::move(options)), random_(random) {}

std::optional<PeerLink> PeerBook::Route(const InstanceId& id,
                                        const Endpoint& endpoint,
                                        const PeerMessage& message,
                                        absl::Time now) {
  Peer& peer = peers_[id];
  peer.endpoint = endpoint;
  peer.last_used = now;
  if (peer.link) return peer.link;
  peer.waiting.push_back({message, now});
  peer.waiting_bytes += message.payload.size();
  while (peer.waiting.size() > options_.max_waiting_messages ||
         peer.waiting_bytes > options_.max_waiting_bytes) {
    DropOldest(&peer);
  }
  return std::nullopt;
}

std::vector<PeerDial> PeerBook::DueDials(absl::Time now) {
  std::vector<PeerDial> due;
  for (auto& [id, peer] : peers_) {
    if (peer.link || peer.dialing || peer.waiting.empty()) continue;
    if (now < peer.next_dial) continue;
    peer.dialing = true;
    due.push_back({id, peer.endpoint});
  }
  return due;
}

std::vector<PeerMessage> PeerBook::Established(
    const InstanceId& id, PeerLink link, PeerSide side, absl::Time now,
    std::optional<PeerLink>* superfluous) {
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
  peer.pause = absl::ZeroDuration();
  peer.next_dial = absl::InfinitePast();
  peer.last_used = now;
  std::vector<PeerMessage> waited;
  waited.reserve(peer.waiting.size());
  for (Waiting& it : peer.waiting) waited.push_back(std::move(it.message));
  peer.waiting.clear();
  peer.waiting_bytes = 0;
  return waited;
}

void PeerBook::Closed(const InstanceId& id, PeerLink link, PeerSide side,
                      absl::Time now) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  if (side == PeerSide::kInitiator) peer.dialing = false;
  if (peer.link == link) peer.link.reset();
  if (peer.link) return;
  peer.pause =
      std::clamp(2 * peer.pause, options_.first_pause, options_.longest_pause);
  peer.next_dial = now + peer.pause * (1 - random_->Fraction() / 2);
}

void PeerBook::Expire(absl::Time now) {
  absl::erase_if(peers_, [&](auto& entry) {
    Peer& peer = entry.second;
    while (!peer.waiting.empty() &&
           now - peer.waiting.front().since > options_.max_wait) {
      DropOldest(&peer);
    }
    return !peer.link && !peer.dialing && peer.waiting.empty() &&
           now - peer.last_used > options_.forget;
  });
}

void PeerBook::DropOldest(Peer* peer) {
  peer->waiting_bytes -= peer->waiting.front().message.payload.size();
  peer->waiting.pop_front();
  ++dropped_;
}

}  // namespace wisteriareel
