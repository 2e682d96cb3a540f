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

}  // namespace

double OverloadGuard::Lag(absl::Time now) const {
  if (at_ == absl::InfinitePast()) return 0;
  return lag_ms_ * std::exp(-absl::FDivDuration(now - at_, kMemory));
}

void OverloadGuard::NoteConnect(absl::Duration taken, absl::Time now) {
  const double old = Lag(now);
  lag_ms_ = old + kWeight * (absl::ToDoubleMilliseconds(taken) - old);
  at_ = now;
}

double OverloadGuard::ShedShare(absl::Time now) const {
  const double share =
      (Lag(now) - kFirstLagMs) / (kWorstLagMs - kFirstLagMs) * kMostShed;
  return std::clamp(share, 0.0, kMostShed);
}

}  // namespace wisteriareel
