#include "src/membership/zone_relay.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "wisteriareel/rendezvous.h"

namespace wisteriareel {
namespace {

// Both ends rank members for the pair of zones in the same way.
std::string Topic(const ZoneId& from, const ZoneId& to) {
  return absl::StrCat("digest/", from.value(), "/", to.value());
}

std::vector<InstanceId> LiveIds(const std::vector<Member>& members) {
  std::vector<InstanceId> ids;
  for (const Member& member : members) {
    const bool live = member.state == MemberState::kAlive ||
                      member.state == MemberState::kLeaving;
    if (live) ids.push_back(member.id);
  }
  return ids;
}

}  // namespace

ZoneDigest MakeDigest(const ZoneId& zone, const InstanceId& self,
                      const std::vector<Member>& members) {
  ZoneDigest digest{.zone = zone};
  bool first = true;
  for (const Member& member : members) {
    if (member.id == self) digest.revision = member.revision;
    if (member.state == MemberState::kDead) {
      digest.dead.push_back(member.id);
      continue;
    }
    digest.highest = std::max(digest.highest, member.revision);
    digest.lowest =
        first ? member.revision : std::min(digest.lowest, member.revision);
    first = false;
  }
  for (const Member& member : members) {
    if (member.state == MemberState::kDead) continue;
    if (member.revision == digest.highest) continue;
    if (digest.lagging.size() == ZoneRelay::kMaxLagging) break;
    digest.lagging.push_back({member.id, member.revision});
  }
  return digest;
}

void ZoneRelay::OnList(const std::vector<ListedInstance>& listed) {
  std::map<ZoneId, std::map<InstanceId, Member>> members;
  for (const ListedInstance& line : listed) {
    if (line.role != InstanceRole::kEntry || line.zone == zone_) continue;
    Member& member = members[line.zone][InstanceId(line.id)];
    // What digests told of a member outlives the list that named it.
    if (const Member* known = Find(InstanceId(line.id)); known != nullptr) {
      member = *known;
    }
    member.id = InstanceId(line.id);
    member.region = line.region;
    member.zone = line.zone;
    member.endpoint = line.endpoint;
    member.state = line.state == InstanceState::kLeaving ? MemberState::kLeaving
                                                         : MemberState::kAlive;
  }
  std::erase_if(zones_, [&](const auto& entry) {
    return !members.contains(entry.first);
  });
  for (auto& [id, listed_members] : members) {
    Zone& zone = zones_[id];
    zone.receivers = ReceiversOf(id, listed_members);
    zone.members = std::move(listed_members);
  }
}

void ZoneRelay::OnDigest(const InstanceId& sender, const ZoneDigest& digest,
                         absl::Time now) {
  const auto it = zones_.find(digest.zone);
  if (it == zones_.end()) return;
  Zone& zone = it->second;
  const auto member = zone.members.find(sender);
  if (member == zone.members.end()) return;
  member->second.revision = std::max(member->second.revision, digest.revision);
  member->second.last_received = now;
  zone.digest = digest;
  zone.sender = sender;
  zone.heard = now;
}

void ZoneRelay::RequestReports(Revision revision, absl::Time now) {
  expected_ = std::max(expected_, revision);
  expect_until_ = now + kAskPeriod;
}

std::vector<InstanceId> ZoneRelay::ReceiversOf(
    const ZoneId& id, const std::map<InstanceId, Member>& members) const {
  std::vector<InstanceId> ids;
  ids.reserve(members.size());
  for (const auto& [member, unused] : members) ids.push_back(member);
  ids = RendezvousOrder(Topic(id, zone_), std::move(ids));
  if (ids.size() > kReceivers) ids.resize(kReceivers);
  return ids;
}

void ZoneRelay::Send(Zone* zone, const ZoneDigest& digest,
                     std::vector<Outgoing>* outgoing) {
  const auto& receivers = zone->receivers;
  const InstanceId& to = receivers[zone->turn++ % receivers.size()];
  outgoing->push_back({to, zone->members.at(to).endpoint, digest});
}

void ZoneRelay::Tick(const InstanceId& self, const std::vector<Member>& members,
                     absl::Time now, std::vector<Outgoing>* outgoing) {
  const bool expecting = now < expect_until_;
  std::vector<InstanceId> live;
  std::optional<ZoneDigest> digest;
  for (auto& [id, zone] : zones_) {
    const bool ask =
        expecting && now - zone.asked >= kAskInterval &&
        (zone.digest.lowest < expected_ || zone.heard == absl::InfinitePast());
    const bool due = now >= zone.next_digest;
    if (!ask && !due) continue;
    if (due) zone.next_digest = now + kDigestInterval;
    if (live.empty()) live = LiveIds(members);
    const bool sender =
        due && RendezvousRank(Topic(zone_, id), self, live) == 0;
    if (!ask && !sender) continue;
    if (!digest) digest = MakeDigest(zone_, self, members);
    digest->reply_wanted = ask;
    if (ask) zone.asked = now;
    Send(&zone, *digest, outgoing);
  }
}

std::vector<Member> ZoneRelay::Contacts() const {
  std::vector<Member> contacts;
  for (const auto& [id, zone] : zones_) {
    std::vector<InstanceId> ids = zone.receivers;
    // Whoever sent the last digest was alive then.
    const bool known = zone.members.contains(zone.sender);
    if (known && std::find(ids.begin(), ids.end(), zone.sender) == ids.end()) {
      ids.push_back(zone.sender);
    }
    for (const InstanceId& member : ids) {
      contacts.push_back(zone.members.at(member));
    }
  }
  return contacts;
}

std::vector<ZoneId> ZoneRelay::Zones() const {
  std::vector<ZoneId> ids;
  ids.reserve(zones_.size());
  for (const auto& [id, zone] : zones_) ids.push_back(id);
  return ids;
}

const Member* ZoneRelay::Find(const InstanceId& id) const {
  for (const auto& [zone_id, zone] : zones_) {
    const auto it = zone.members.find(id);
    if (it != zone.members.end()) return &it->second;
  }
  return nullptr;
}

void ZoneRelay::AppendLines(absl::Time now,
                            std::vector<RolloutLine>* lines) const {
  for (const auto& [id, zone] : zones_) {
    const ZoneDigest& digest = zone.digest;
    const absl::flat_hash_set<InstanceId> dead(digest.dead.begin(),
                                               digest.dead.end());
    absl::flat_hash_map<InstanceId, Revision> lagging;
    for (const LaggingMember& member : digest.lagging) {
      lagging[member.id] = member.revision;
    }
    // Of a list that is full, members may have been left out.
    const Revision others =
        digest.lagging.size() < kMaxLagging ? digest.highest : digest.lowest;
    for (const auto& [member, unused] : zone.members) {
      if (dead.contains(member)) continue;
      const auto it = lagging.find(member);
      lines->push_back({.instance = member,
                        .zone = id,
                        .revision = it == lagging.end() ? others : it->second,
                        .age = now - zone.heard});
    }
  }
}

}  // namespace wisteriareel
