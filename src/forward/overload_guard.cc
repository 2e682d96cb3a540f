#include "src/forward/overload_guard.h"

#include <algorithm>
#include <cmath>

namespace wisteriareel {
namespace {

constexpr double kWeight = 0.15;
// What was seen longer ago counts less.
constexpr absl::Duration kMemory = absl::Seconds(1);
// Connections within a region take a few milliseconds; from here on a queue
// stands before the link.
constexpr double kFirstLagMs = 40;
// With this lag a caller's objective is missed by the queue alone.
constexpr double kWorstLagMs = 160;
// Traffic is averaged over this time: a few requests and their answers.
constexpr absl::Duration kTrafficMemory = absl::Milliseconds(700);
// Used share of the link from which the instance takes no new callers. The
// balancer needs two seconds to notice, and traffic swings meanwhile.
constexpr double kBusyLink = 0.4;
// Callers that left come back when the instance is ready again, so it rests
// for longer than the balancer needs to notice.
constexpr absl::Duration kRest = absl::Seconds(5);
// Used share of the link from which requests wait behind each other, and with
// which nothing more gets through.
constexpr double kQueueingLink = 0.75;
constexpr double kFullLink = 1.0;

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
  if (IsLinkBusy(now)) busy_until_ = now + kRest;
}

double OverloadGuard::LinkUtilization(absl::Time now) const {
  if (options_.link_bytes_per_s <= 0) return 0;
  return std::max(received_.At(now), sent_.At(now)) / options_.link_bytes_per_s;
}

bool OverloadGuard::IsOverloaded(absl::Time now) const {
  return now < busy_until_ || ShedShare(now) > kNotReadyShare;
}

bool OverloadGuard::IsLinkBusy(absl::Time now) const {
  return LinkUtilization(now) > kBusyLink;
}

double OverloadGuard::ConnectDelay(absl::Time now) const {
  if (at_ == absl::InfinitePast()) return 0;
  return lag_ms_ * std::exp(-absl::FDivDuration(now - at_, kMemory));
}

void OverloadGuard::RecordConnect(absl::Duration taken, absl::Time now) {
  const double old = ConnectDelay(now);
  lag_ms_ = old + kWeight * (absl::ToDoubleMilliseconds(taken) - old);
  at_ = now;
}

double OverloadGuard::ShedShare(absl::Time now) const {
  const double by_lag =
      (ConnectDelay(now) - kFirstLagMs) / (kWorstLagMs - kFirstLagMs);
  const double by_link =
      (LinkUtilization(now) - kQueueingLink) / (kFullLink - kQueueingLink);
  return std::clamp(std::max(by_lag, by_link), 0.0, 1.0) * kMaxShedShare;
}

}  // namespace wisteriareel
