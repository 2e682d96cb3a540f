#include "src/routing/prefix_hints.h"

#include <utility>

namespace wisteriareel {

void PrefixHints::Add(std::uint64_t prefix, const TargetId& target,
                      absl::Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (current_.size() >= options_.max_hints) {
    previous_ = std::exchange(current_, Hints());
  }
  current_[prefix] = {.target = target, .seen = now};
}

void PrefixHints::Remove(std::uint64_t prefix, const TargetId& target) {
  std::lock_guard<std::mutex> lock(mutex_);
  for (Hints* hints : {&current_, &previous_}) {
    const auto it = hints->find(prefix);
    if (it != hints->end() && it->second.target == target) hints->erase(it);
  }
}

void PrefixHints::Invalidate(const TargetId& target, absl::Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  invalidated_[target] = now;
}

std::optional<TargetId> PrefixHints::Find(std::uint64_t prefix,
                                          absl::Time now) const {
  std::lock_guard<std::mutex> lock(mutex_);
  for (const Hints* hints : {&current_, &previous_}) {
    const auto it = hints->find(prefix);
    if (it == hints->end()) continue;
    const Hint& hint = it->second;
    if (now - hint.seen > options_.validity) continue;
    const auto distrusted = invalidated_.find(hint.target);
    const bool doubtful =
        distrusted != invalidated_.end() && hint.seen <= distrusted->second;
    if (!doubtful) return hint.target;
  }
  return std::nullopt;
}

}  // namespace wisteriareel
