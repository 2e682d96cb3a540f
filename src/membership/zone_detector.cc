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
  return std::max(kMinInterval, spread);
}

ZoneDetector::Peer& ZoneDetector::AddPeer(const InstanceId& id,
                                          const Introduction& introduction,
                                          absl::Time now) {
  const auto [it, added] = peers_.try_emplace(id);
  Peer& peer = it->second;
  if (added) {
    peer.member.id = id;
    // A new member is suspect until its first heartbeat, and becomes dead after
    // the same time as any other.
    peer.member.state = MemberState::kSuspect;
    peer.member.last_received = absl::InfinitePast();
    peer.idle_since = now;
  }
  peer.member.region = introduction.region;
  peer.member.zone = introduction.zone;
  peer.member.endpoint = introduction.endpoint;
  return peer;
}

void ZoneDetector::OnList(const std::vector<ListedInstance>& listed,
                          absl::Time now, std::vector<MemberChange>* changes) {
  for (auto& [id, peer] : peers_) peer.listed = false;
  for (const ListedInstance& instance : listed) {
    if (instance.role != InstanceRole::kEntry) continue;
    const bool leaving = instance.state == InstanceState::kLeaving;
    if (instance.id == self_.id.value()) {
      self_.state = leaving ? MemberState::kLeaving : MemberState::kAlive;
      continue;
    }
    if (instance.zone != self_.zone) continue;
    Peer& peer =
        AddPeer(InstanceId(instance.id),
                {instance.region, instance.zone, instance.endpoint}, now);
    peer.listed = true;
    peer.listed_leaving = leaving;
    const bool live = peer.member.state == MemberState::kAlive ||
                      peer.member.state == MemberState::kLeaving;
    if (live) SetState(&peer, LiveState(peer), changes);
  }
  // The list lags, so an unlisted member is kept until it is dead.
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
    const Introduction& introduction = *heartbeat.introduction;
    if (introduction.zone != self_.zone) return false;
    AddPeer(sender, introduction, now);
    it = peers_.find(sender);
  }
  if (it == peers_.end()) return false;
  Peer& peer = it->second;
  const auto order = std::tie(heartbeat.incarnation, heartbeat.sequence);
  if (order <= std::tie(peer.member.incarnation, peer.sequence)) return false;
  // Also done for a member in state dead: after a partition both sides consider
  // each other dead, and one of them must refute first.
  CheckOwnSuspicion(heartbeat);
  const bool was_dead = peer.member.state == MemberState::kDead;
  // A heartbeat at the old incarnation may be a delayed one, sent before the
  // member failed.
  if (was_dead && heartbeat.incarnation <= peer.member.incarnation) {
    return refute_;
  }
  peer.member.incarnation = heartbeat.incarnation;
  peer.sequence = heartbeat.sequence;
  peer.member.revision = heartbeat.revision;
  peer.member.last_received = now;
  peer.idle_since = now;
  SetState(&peer, LiveState(peer), changes);
  RecordAliveReports(sender, heartbeat, now);
  return refute_;
}

void ZoneDetector::CheckOwnSuspicion(const Heartbeat& heartbeat) {
  for (const SuspectedMember& member : heartbeat.suspected) {
    if (member.id != self_.id) continue;
    if (member.incarnation == self_.incarnation) refute_ = true;
  }
}

void ZoneDetector::RecordAliveReports(const InstanceId& sender,
                                      const Heartbeat& heartbeat,
                                      absl::Time now) {
  absl::flat_hash_set<InstanceId> suspected;
  for (const SuspectedMember& member : heartbeat.suspected) {
    suspected.insert(member.id);
  }
  // A list of the maximum size may be incomplete.
  if (heartbeat.suspected.size() >= kMaxSuspected) return;
  for (auto& [id, peer] : peers_) {
    if (id == sender || suspected.contains(id)) continue;
    peer.last_reported_alive = now;
  }
}

void ZoneDetector::RestartTimeoutsAfterPause(absl::Time now) {
  const bool paused =
      last_tick_ != absl::InfinitePast() && now - last_tick_ > 2 * interval();
  last_tick_ = now;
  if (!paused) return;
  for (auto& [id, peer] : peers_) peer.idle_since = now;
}

void ZoneDetector::UpdateStates(absl::Time now,
                                std::vector<MemberChange>* changes) {
  const absl::Duration unit = interval();
  for (auto& [id, peer] : peers_) {
    if (peer.member.state == MemberState::kDead) continue;
    const absl::Duration idle = now - peer.idle_since;
    if (idle >= kDeadIntervals * unit &&
        now - peer.last_reported_alive >= kAliveReportIntervals * unit) {
      SetState(&peer, MemberState::kDead, changes);
      continue;
    }
    if (idle >= kSuspectIntervals * unit) {
      SetState(&peer, MemberState::kSuspect, changes);
    }
  }
}

Heartbeat ZoneDetector::MakeHeartbeat() const {
  Heartbeat heartbeat{.incarnation = self_.incarnation,
                      .sequence = sequence_,
                      .revision = self_.revision};
  for (const auto& [id, peer] : peers_) {
    if (heartbeat.suspected.size() == kMaxSuspected) break;
    const MemberState state = peer.member.state;
    if (state != MemberState::kSuspect && state != MemberState::kDead) continue;
    heartbeat.suspected.push_back({id, peer.member.incarnation});
  }
  return heartbeat;
}

void ZoneDetector::Tick(Revision revision, absl::Time now,
                        std::vector<OutgoingMessage>* outgoing,
                        std::vector<MemberChange>* changes) {
  RestartTimeoutsAfterPause(now);
  // A new revision is announced early, for members that missed the change and
  // for callers that wait for the roll-out.
  if (revision != self_.revision) {
    next_heartbeat_ =
        std::min(next_heartbeat_, last_heartbeat_ + kMinHeartbeatPause);
  }
  self_.revision = revision;
  self_.last_received = now;
  UpdateStates(now, changes);
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
    // A member from which no heartbeat was received yet may not know this
    // instance either.
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
