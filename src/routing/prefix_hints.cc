#include "src/routing/prefix_hints.h"

#include <utility>

namespace wisteriareel {

void PrefixHints::Add(std::uint64_t prefix, const TargetId& target,
                      absl::Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (current_.size() >= options_.max_hints) {
    previous_ = std::exchange(current_, Hints());
  }
  current_[prefix] = {.target = target, .confirmed = now};
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
    if (now - hint.confirmed > options_.validity) continue;
    const auto invalidated = invalidated_.find(hint.target);
    const bool is_invalid = invalidated != invalidated_.end() &&
                            hint.confirmed <= invalidated->second;
    if (!is_invalid) return hint.target;
  }
  return std::nullopt;
}

}  // namespace wisteriareel
