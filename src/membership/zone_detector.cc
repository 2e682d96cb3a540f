#include "src/membership/zone_detector.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_set.h"

namespace wisteriareel {

ZoneDetector::ZoneDetector(Member self) : self_(std::move(self)) {
  self_.state = MemberState::kAlive;
}

absl::Duration ZoneDetector::interval() const {
  const absl::Duration spread =
      absl::Seconds(static_cast<double>(peers_.size()) / kHeartbeatsPerSecond);
  return std::max(kShortestInterval, spread);
}

ZoneDetector::Peer& ZoneDetector::AddPeer(const InstanceId& id,
                                          const Introduction& at,
                                          absl::Time now) {
  const auto [it, added] = peers_.try_emplace(id);
  Peer& peer = it->second;
  if (added) {
    peer.member.id = id;
    // Not heard yet: it has the time of any silent member to speak up.
    peer.member.state = MemberState::kSuspect;
    peer.member.last_received = absl::InfinitePast();
    peer.silent_since = now;
  }
  peer.member.region = at.region;
  peer.member.zone = at.zone;
  peer.member.endpoint = at.endpoint;
  return peer;
}

void ZoneDetector::OnList(const std::vector<ListedInstance>& listed,
                          absl::Time now, std::vector<MemberChange>* changes) {
  for (auto& [id, peer] : peers_) peer.listed = false;
  for (const ListedInstance& line : listed) {
    if (line.role != InstanceRole::kEntry) continue;
    const bool leaving = line.state == InstanceState::kLeaving;
    if (line.id == self_.id.value()) {
      self_.state = leaving ? MemberState::kLeaving : MemberState::kAlive;
      continue;
    }
    if (line.zone != self_.zone) continue;
    Peer& peer = AddPeer(InstanceId(line.id),
                         {line.region, line.zone, line.endpoint}, now);
    peer.listed = true;
    peer.listed_leaving = leaving;
    const bool live = peer.member.state == MemberState::kAlive ||
                      peer.member.state == MemberState::kLeaving;
    if (live) SetState(&peer, LiveState(peer), changes);
  }
  // The list lags: a member that it leaves out counts while it is heard.
  std::erase_if(peers_, [](const auto& entry) {
    return !entry.second.listed &&
           entry.second.member.state == MemberState::kDead;
  });
}

MemberState ZoneDetector::LiveState(const Peer& peer) const {
  return peer.listed && peer.listed_leaving ? MemberState::kLeaving
                                            : MemberState::kAlive;
}

void ZoneDetector::SetState(Peer* peer, MemberState state,
                            std::vector<MemberChange>* changes) {
  if (peer->member.state == state) return;
  peer->member.state = state;
  changes->push_back({peer->member.id, state});
}

bool ZoneDetector::OnHeartbeat(const InstanceId& sender,
                               const Heartbeat& heartbeat, absl::Time now,
                               std::vector<MemberChange>* changes) {
  if (sender == self_.id) return false;
  auto it = peers_.find(sender);
  if (heartbeat.introduction) {
    const Introduction& at = *heartbeat.introduction;
    if (at.zone != self_.zone) return false;
    AddPeer(sender, at, now);
    it = peers_.find(sender);
  }
  if (it == peers_.end()) return false;
  Peer& peer = it->second;
  const auto order = std::tie(heartbeat.incarnation, heartbeat.sequence);
  if (order <= std::tie(peer.member.incarnation, peer.sequence)) return false;
  // Heeded from a member taken for dead too: after a partition both sides
  // take each other for dead, and one must refute first.
  HearOfOwnSilence(heartbeat);
  const bool was_dead = peer.member.state == MemberState::kDead;
  // Heartbeats sent before the death became known to the sender prove
  // nothing; they may be late.
  if (was_dead && heartbeat.incarnation <= peer.member.incarnation) {
    return refute_;
  }
  peer.member.incarnation = heartbeat.incarnation;
  peer.sequence = heartbeat.sequence;
  peer.member.revision = heartbeat.revision;
  peer.member.last_received = now;
  peer.silent_since = now;
  SetState(&peer, LiveState(peer), changes);
  HearOfSilence(sender, heartbeat, now);
  return refute_;
}

void ZoneDetector::HearOfOwnSilence(const Heartbeat& heartbeat) {
  for (const SuspectedMember& line : heartbeat.silent) {
    if (line.id != self_.id) continue;
    if (line.incarnation == self_.incarnation) refute_ = true;
  }
}

void ZoneDetector::HearOfSilence(const InstanceId& sender,
                                 const Heartbeat& heartbeat, absl::Time now) {
  absl::flat_hash_set<InstanceId> silent;
  for (const SuspectedMember& line : heartbeat.silent) silent.insert(line.id);
  // A full list may leave members out.
  if (heartbeat.silent.size() >= kMaxSilent) return;
  for (auto& [id, peer] : peers_) {
    if (id == sender || silent.contains(id)) continue;
    peer.vouched = now;
  }
}

void ZoneDetector::ForgiveOwnPause(absl::Time now) {
  const bool paused =
      last_tick_ != absl::InfinitePast() && now - last_tick_ > 2 * interval();
  last_tick_ = now;
  if (!paused) return;
  for (auto& [id, peer] : peers_) peer.silent_since = now;
}

void ZoneDetector::Judge(absl::Time now, std::vector<MemberChange>* changes) {
  const absl::Duration unit = interval();
  for (auto& [id, peer] : peers_) {
    if (peer.member.state == MemberState::kDead) continue;
    const absl::Duration silence = now - peer.silent_since;
    if (silence >= kDeadIntervals * unit &&
        now - peer.vouched >= kVouchIntervals * unit) {
      SetState(&peer, MemberState::kDead, changes);
      continue;
    }
    if (silence >= kSuspectIntervals * unit) {
      SetState(&peer, MemberState::kSuspect, changes);
    }
  }
}

Heartbeat ZoneDetector::MakeHeartbeat() const {
  Heartbeat heartbeat{.incarnation = self_.incarnation,
                      .sequence = sequence_,
                      .revision = self_.revision};
  for (const auto& [id, peer] : peers_) {
    if (heartbeat.silent.size() == kMaxSilent) break;
    const MemberState state = peer.member.state;
    if (state != MemberState::kSuspect && state != MemberState::kDead) continue;
    heartbeat.silent.push_back({id, peer.member.incarnation});
  }
  return heartbeat;
}

void ZoneDetector::Tick(Revision revision, absl::Time now,
                        std::vector<Outgoing>* outgoing,
                        std::vector<MemberChange>* changes) {
  ForgiveOwnPause(now);
  // A new revision is told early, for members that missed it and for those
  // who wait for the roll-out.
  if (revision != self_.revision) {
    next_heartbeat_ = std::min(next_heartbeat_, last_heartbeat_ + kSoonest);
  }
  self_.revision = revision;
  self_.last_received = now;
  Judge(now, changes);
  if (refute_) {
    refute_ = false;
    ++self_.incarnation;
    next_heartbeat_ = now;
  }
  if (now < next_heartbeat_) return;
  next_heartbeat_ = now + interval();
  last_heartbeat_ = now;
  ++sequence_;
  Heartbeat heartbeat = MakeHeartbeat();
  for (const auto& [id, peer] : peers_) {
    const bool dead = peer.member.state == MemberState::kDead;
    if (dead && sequence_ % kDeadProbeIntervals != 0) continue;
    // Whoever was never heard may not know this instance either.
    heartbeat.introduction.reset();
    if (peer.member.incarnation == 0 || dead) {
      heartbeat.introduction =
          Introduction{self_.region, self_.zone, self_.endpoint};
    }
    outgoing->push_back({id, peer.member.endpoint, heartbeat});
  }
}

std::vector<Member> ZoneDetector::Members() const {
  std::vector<Member> members = {self_};
  for (const auto& [id, peer] : peers_) members.push_back(peer.member);
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
  return members;
}

}  // namespace wisteriareel
