#include "src/forward/limited_return_schedule.h"

#include <algorithm>
#include <cmath>

namespace wisteriareel {
namespace {

// Multiples of it modulo 1 are spread evenly, however many there are.
constexpr double kGoldenRatio = 0.6180339887498949;

}  // namespace

LimitedReturnSchedule::LimitedReturnSchedule(
    LimitedReturnScheduleOptions options)
    : options_(options) {}

void LimitedReturnSchedule::SetInstances(int count) {
  instances_ = std::max(1, count);
}

absl::Duration LimitedReturnSchedule::Schedule(const LimitedRequest& request,
                                               absl::Time now) {
  Returns& returns = services_[request.service];
  RemovePast(&returns, now);
  const Turn turn(request.urgency, request.customer);
  const int position = CountAhead(returns, turn) + 1;
  const absl::Duration max_wait =
      std::max(absl::ZeroDuration(), request.time_left) *
      options_.max_wait_part;
  absl::Duration wait = position * ShareInterval(request);
  if (wait > max_wait) {
    // There is no room in the caller's time, so the return is only spread.
    returns.spread = std::fmod(returns.spread + kGoldenRatio, 1);
    wait = max_wait * (1 + returns.spread) / 2;
  }
  returns.by_time.emplace(now + wait, turn);
  ++returns.counts[turn];
  return wait;
}

bool LimitedReturnSchedule::IsMoreUrgentDue(const LimitedRequest& request,
                                            absl::Time now) {
  const auto it = services_.find(request.service);
  if (it == services_.end()) return false;
  Returns& returns = it->second;
  RemovePast(&returns, now);
  if (returns.by_time.empty()) {
    services_.erase(it);
    return false;
  }
  const auto end = returns.by_time.upper_bound(
      now + std::min(options_.max_hold, ShareInterval(request)));
  return std::any_of(returns.by_time.begin(), end, [&](const auto& entry) {
    return entry.second.first < request.urgency;
  });
}

absl::Duration LimitedReturnSchedule::ShareInterval(
    const LimitedRequest& request) const {
  if (request.per_second <= 0) return absl::InfiniteDuration();
  return absl::Seconds(instances_ / request.per_second);
}

void LimitedReturnSchedule::RemovePast(Returns* returns, absl::Time now) const {
  const auto end = returns->by_time.upper_bound(now - options_.return_lag);
  for (auto it = returns->by_time.begin(); it != end; ++it) {
    const auto count = returns->counts.find(it->second);
    if (--count->second == 0) returns->counts.erase(count);
  }
  returns->by_time.erase(returns->by_time.begin(), end);
}

int LimitedReturnSchedule::CountAhead(const Returns& returns,
                                      const Turn& turn) {
  const auto own = returns.counts.find(turn);
  const int own_count = own == returns.counts.end() ? 0 : own->second;
  int ahead = own_count;
  for (const auto& [other, count] : returns.counts) {
    if (other.first > turn.first) break;
    if (other == turn) continue;
    ahead += other.first < turn.first ? count : std::min(count, own_count + 1);
  }
  return ahead;
}

}  // namespace wisteriareel
