#include "src/forward/overload_guard.h"

#include <algorithm>
#include <cmath>

namespace wisteriareel {
namespace {

constexpr double kConnectDelayWeight = 0.15;
// Time constant of the decay of connect delays.
constexpr absl::Duration kConnectDelayMemory = absl::Seconds(1);
// Connecting within a region takes a few milliseconds. Longer delays than this
// mean that a queue builds up at the link.
constexpr double kMinQueueingDelayMs = 40;
// At this delay the queue alone makes requests miss the callers' objective.
constexpr double kMaxQueueingDelayMs = 160;
// Time constant of the traffic average; covers a few requests with their
// responses.
constexpr absl::Duration kTrafficMemory = absl::Milliseconds(700);
// Link utilization above which the instance accepts no new callers. Leaves room
// for fluctuations, since the load balancer takes two seconds to react.
constexpr double kBusyLinkUtilization = 0.4;
// Callers return as soon as the instance is ready again, so it stays not ready
// for longer than the load balancer takes to react.
constexpr absl::Duration kNotReadyTime = absl::Seconds(5);
// Link utilization above which requests queue, and at which the link is full.
constexpr double kQueueingLinkUtilization = 0.75;
constexpr double kFullLinkUtilization = 1.0;

}  // namespace

OverloadGuard::OverloadGuard(const OverloadGuardOptions& options)
    : options_(options) {}

void OverloadGuard::Rate::Add(std::size_t bytes, absl::Time now) {
  rate_ = At(now) +
          static_cast<double>(bytes) / absl::ToDoubleSeconds(kTrafficMemory);
  at_ = now;
}

double OverloadGuard::Rate::At(absl::Time now) const {
  if (at_ == absl::InfinitePast()) return 0;
  return rate_ * std::exp(-absl::FDivDuration(now - at_, kTrafficMemory));
}

void OverloadGuard::RecordTraffic(std::size_t received, std::size_t sent,
                                  absl::Time now) {
  if (options_.link_bytes_per_s <= 0) return;
  received_.Add(received, now);
  sent_.Add(sent, now);
  if (IsLinkBusy(now)) busy_until_ = now + kNotReadyTime;
}

double OverloadGuard::LinkUtilization(absl::Time now) const {
  if (options_.link_bytes_per_s <= 0) return 0;
  return std::max(received_.At(now), sent_.At(now)) / options_.link_bytes_per_s;
}

bool OverloadGuard::IsOverloaded(absl::Time now) const {
  return now < busy_until_ || ShedShare(now) > kNotReadyShare;
}

bool OverloadGuard::IsLinkBusy(absl::Time now) const {
  return LinkUtilization(now) > kBusyLinkUtilization;
}

double OverloadGuard::ConnectDelay(absl::Time now) const {
  if (at_ == absl::InfinitePast()) return 0;
  return connect_delay_ms_ *
         std::exp(-absl::FDivDuration(now - at_, kConnectDelayMemory));
}

void OverloadGuard::RecordConnect(absl::Duration taken, absl::Time now) {
  const double old = ConnectDelay(now);
  connect_delay_ms_ =
      old + kConnectDelayWeight * (absl::ToDoubleMilliseconds(taken) - old);
  at_ = now;
}

double OverloadGuard::ShedShare(absl::Time now) const {
  const double by_delay = (ConnectDelay(now) - kMinQueueingDelayMs) /
                          (kMaxQueueingDelayMs - kMinQueueingDelayMs);
  const double by_link = (LinkUtilization(now) - kQueueingLinkUtilization) /
                         (kFullLinkUtilization - kQueueingLinkUtilization);
  return std::clamp(std::max(by_delay, by_link), 0.0, 1.0) * kMaxShedShare;
}

}  // namespace wisteriareel
