#include "src/membership/leaving_targets.h"

#include <algorithm>
#include <utility>

namespace wisteriareel {

LeavingTargets::Entry& LeavingTargets::RecordLeaving(const TargetId& target,
                                                     absl::Time at) {
  const auto [it, added] = entries_.try_emplace(target);
  if (added) {
    it->second.first_reported = at;
    changed_ = true;
  }
  it->second.last_reported = std::max(it->second.last_reported, at);
  return it->second;
}

void LeavingTargets::OnList(const std::vector<ListedInstance>& listed,
                            absl::Time now) {
  for (const ListedInstance& instance : listed) {
    if (instance.role != InstanceRole::kTarget) continue;
    if (instance.state != InstanceState::kLeaving) continue;
    OnReport(TargetId(instance.id), now);
  }
}

void LeavingTargets::OnReport(const TargetId& target, absl::Time now) {
  const bool known = entries_.contains(target);
  Entry& entry = RecordLeaving(target, now);
  // The zone has been notified already, by this instance or by another.
  if (known) return;
  entry.sends_left = kSends;
  entry.next_send = now;
}

void LeavingTargets::OnNotice(const TargetLeavingNotice& notice,
                              absl::Time now) {
  const absl::Time at = now - notice.age;
  if (now - at >= kRetention) return;
  RecordLeaving(notice.target, at);
}

std::vector<TargetLeavingNotice> LeavingTargets::Tick(absl::Time now) {
  const std::size_t removed = std::erase_if(entries_, [&](const auto& entry) {
    return now - entry.second.last_reported >= kRetention;
  });
  changed_ = changed_ || removed > 0;
  std::vector<TargetLeavingNotice> notices;
  for (auto& [target, entry] : entries_) {
    if (entry.sends_left == 0 || now < entry.next_send) continue;
    --entry.sends_left;
    entry.next_send = now + kSendInterval;
    notices.push_back({target, now - entry.first_reported});
  }
  return notices;
}

TargetSet LeavingTargets::Leaving() const {
  TargetSet leaving;
  for (const auto& [target, entry] : entries_) leaving.insert(target);
  return leaving;
}

bool LeavingTargets::TakeChanged() { return std::exchange(changed_, false); }

absl::Time LeavingTargets::NextSend() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [target, entry] : entries_) {
    if (entry.sends_left > 0) next = std::min(next, entry.next_send);
  }
  return next;
}

}  // namespace wisteriareel
