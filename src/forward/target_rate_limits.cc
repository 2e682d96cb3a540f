#include "src/forward/target_rate_limits.h"

#include <utility>

namespace wisteriareel {

TargetRateLimits::TargetRateLimits(TargetRateLimitsOptions options)
    : options_(std::move(options)) {}

void TargetRateLimits::SetInstances(std::vector<std::string> instances,
                                    bool confirmed, absl::Time) {
  instances_ = std::move(instances);
  confirmed_ = confirmed;
}

void TargetRateLimits::SetPlatformEpoch(absl::Time epoch) { epoch_ = epoch; }

bool TargetRateLimits::RecordResponse(const TargetEntry& target,
                                      std::optional<double> per_second,
                                      absl::Time sent, absl::Time now) {
  State& state = states_[target.id];
  const bool changed = state.limit != per_second;
  state.started_ms = target.started_ms;
  state.address = target.address;
  state.limit = per_second;
  state.sent = sent;
  state.received = now;
  state.told_here = true;
  return changed;
}

bool TargetRateLimits::MaySend(const TargetEntry& target, absl::Time) {
  return !Limit(target).has_value();
}

void TargetRateLimits::RecordSend(const TargetEntry&, absl::Time) {}

std::optional<double> TargetRateLimits::Limit(const TargetEntry& target) const {
  const auto it = states_.find(target.id);
  if (it == states_.end()) return std::nullopt;
  return it->second.limit;
}

std::optional<absl::Duration> TargetRateLimits::TimeUntilShare(
    const TargetEntry& target, absl::Time) {
  if (!Limit(target).has_value()) return std::nullopt;
  return options_.max_share_interval;
}

std::vector<RateLimitNotice> TargetRateLimits::CollectNotices(
    absl::Time) const {
  return {};
}

void TargetRateLimits::Merge(const RateLimitNotice&, absl::Time) {}

bool TargetRateLimits::HasLimits() const {
  for (const auto& [id, state] : states_) {
    if (state.limit.has_value()) return true;
  }
  return false;
}

}  // namespace wisteriareel
