#include "src/membership/zone_digest_exchange.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "wisteriareel/rendezvous.h"

namespace wisteriareel {
namespace {

// Returns the rendezvous topic of a pair of zones, the same in both zones.
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
    if (digest.lagging.size() == ZoneDigestExchange::kMaxLagging) break;
    digest.lagging.push_back({member.id, member.revision});
  }
  return digest;
}

void ZoneDigestExchange::OnList(const std::vector<ListedInstance>& listed) {
  std::map<ZoneId, std::map<InstanceId, Member>> members;
  for (const ListedInstance& instance : listed) {
    if (instance.role != InstanceRole::kEntry || instance.zone == zone_)
      continue;
    Member& member = members[instance.zone][InstanceId(instance.id)];
    // The data from digests is carried over from the previous list.
    if (const Member* known = Find(InstanceId(instance.id)); known != nullptr) {
      member = *known;
    }
    member.id = InstanceId(instance.id);
    member.region = instance.region;
    member.zone = instance.zone;
    member.endpoint = instance.endpoint;
    member.state = instance.state == InstanceState::kLeaving
                       ? MemberState::kLeaving
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

void ZoneDigestExchange::OnDigest(const InstanceId& sender,
                                  const ZoneDigest& digest, absl::Time now) {
  const auto it = zones_.find(digest.zone);
  if (it == zones_.end()) return;
  Zone& zone = it->second;
  const auto member = zone.members.find(sender);
  if (member == zone.members.end()) return;
  member->second.revision = std::max(member->second.revision, digest.revision);
  member->second.last_received = now;
  zone.digest = digest;
  zone.sender = sender;
  zone.last_received = now;
}

void ZoneDigestExchange::RequestReports(Revision revision, absl::Time now) {
  requested_revision_ = std::max(requested_revision_, revision);
  request_until_ = now + kReportRequestPeriod;
}

std::vector<InstanceId> ZoneDigestExchange::ReceiversOf(
    const ZoneId& id, const std::map<InstanceId, Member>& members) const {
  std::vector<InstanceId> ids;
  ids.reserve(members.size());
  for (const auto& [member, unused] : members) ids.push_back(member);
  ids = RendezvousOrder(Topic(id, zone_), std::move(ids));
  if (ids.size() > kReceivers) ids.resize(kReceivers);
  return ids;
}

void ZoneDigestExchange::Send(Zone* zone, const ZoneDigest& digest,
                              std::vector<OutgoingMessage>* outgoing) {
  const auto& receivers = zone->receivers;
  const InstanceId& to = receivers[zone->next_receiver++ % receivers.size()];
  outgoing->push_back({to, zone->members.at(to).endpoint, digest});
}

void ZoneDigestExchange::Tick(const InstanceId& self,
                              const std::vector<Member>& members,
                              absl::Time now,
                              std::vector<OutgoingMessage>* outgoing) {
  const bool requesting = now < request_until_;
  std::vector<InstanceId> live;
  std::optional<ZoneDigest> digest;
  for (auto& [id, zone] : zones_) {
    const bool request = requesting &&
                         now - zone.last_requested >= kReportRequestInterval &&
                         (zone.digest.lowest < requested_revision_ ||
                          zone.last_received == absl::InfinitePast());
    const bool due = now >= zone.next_digest;
    if (!request && !due) continue;
    if (due) zone.next_digest = now + kDigestInterval;
    if (live.empty()) live = LiveIds(members);
    const bool sender =
        due && RendezvousRank(Topic(zone_, id), self, live) == 0;
    if (!request && !sender) continue;
    if (!digest) digest = MakeDigest(zone_, self, members);
    digest->reply_wanted = request;
    if (request) zone.last_requested = now;
    Send(&zone, *digest, outgoing);
  }
}

std::vector<Member> ZoneDigestExchange::Contacts() const {
  std::vector<Member> contacts;
  for (const auto& [id, zone] : zones_) {
    std::vector<InstanceId> ids = zone.receivers;
    // The sender of the last digest is added, as it was alive recently.
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

std::vector<ZoneId> ZoneDigestExchange::Zones() const {
  std::vector<ZoneId> ids;
  ids.reserve(zones_.size());
  for (const auto& [id, zone] : zones_) ids.push_back(id);
  return ids;
}

const Member* ZoneDigestExchange::Find(const InstanceId& id) const {
  for (const auto& [zone_id, zone] : zones_) {
    const auto it = zone.members.find(id);
    if (it != zone.members.end()) return &it->second;
  }
  return nullptr;
}

void ZoneDigestExchange::AppendRollout(
    absl::Time now, std::vector<RolloutLine>* entries) const {
  for (const auto& [id, zone] : zones_) {
    const ZoneDigest& digest = zone.digest;
    const absl::flat_hash_set<InstanceId> dead(digest.dead.begin(),
                                               digest.dead.end());
    absl::flat_hash_map<InstanceId, Revision> lagging;
    for (const LaggingMember& member : digest.lagging) {
      lagging[member.id] = member.revision;
    }
    // A list of lagging members of the maximum size may be incomplete.
    const Revision others =
        digest.lagging.size() < kMaxLagging ? digest.highest : digest.lowest;
    for (const auto& [member, unused] : zone.members) {
      if (dead.contains(member)) continue;
      const auto it = lagging.find(member);
      entries->push_back({.instance = member,
                          .zone = id,
                          .revision = it == lagging.end() ? others : it->second,
                          .age = now - zone.last_received});
    }
  }
}

}  // namespace wisteriareel
