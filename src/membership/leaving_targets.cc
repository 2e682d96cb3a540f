#include "src/membership/leaving_targets.h"

#include <algorithm>
#include <utility>

namespace wisteriareel {

LeavingTargets::Entry& LeavingTargets::Touch(const TargetId& target,
                                             absl::Time at) {
  const auto [it, added] = entries_.try_emplace(target);
  if (added) {
    it->second.first = at;
    changed_ = true;
  }
  it->second.last = std::max(it->second.last, at);
  return it->second;
}

void LeavingTargets::OnList(const std::vector<ListedInstance>& listed,
                            absl::Time now) {
  for (const ListedInstance& line : listed) {
    if (line.role != InstanceRole::kTarget) continue;
    if (line.state != InstanceState::kLeaving) continue;
    OnReport(TargetId(line.id), now);
  }
}

void LeavingTargets::OnReport(const TargetId& target, absl::Time now) {
  const bool known = entries_.contains(target);
  Entry& entry = Touch(target, now);
  // What the whole zone has been told is not told again.
  if (known) return;
  entry.sends_left = kSends;
  entry.next_send = now;
}

void LeavingTargets::OnNote(const TargetLeavingNotice& note, absl::Time now) {
  const absl::Time at = now - note.age;
  if (now - at >= kHold) return;
  Touch(note.target, at);
}

std::vector<TargetLeavingNotice> LeavingTargets::Tick(absl::Time now) {
  const std::size_t removed = std::erase_if(entries_, [&](const auto& entry) {
    return now - entry.second.last >= kHold;
  });
  changed_ = changed_ || removed > 0;
  std::vector<TargetLeavingNotice> notes;
  for (auto& [target, entry] : entries_) {
    if (entry.sends_left == 0 || now < entry.next_send) continue;
    --entry.sends_left;
    entry.next_send = now + kSendInterval;
    notes.push_back({target, now - entry.first});
  }
  return notes;
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
