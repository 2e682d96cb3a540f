#include "src/forward/retry_limiter.h"

#include <algorithm>

namespace wisteriareel {
namespace {

// Share of the limit that is used. The rest is a margin, because the windows of
// the instances aren't aligned and an instance loses its counts at a restart.
constexpr double kUsedShare = 0.6;

}  // namespace

RetryLimiter::RetryLimiter(RetryLimiterOptions options) : options_(options) {}

void RetryLimiter::SetInstances(int count) { instances_ = std::max(1, count); }

void RetryLimiter::RemoveExpired(std::deque<absl::Time>* times,
                                 absl::Time now) const {
  while (!times->empty() && times->front() + options_.window <= now) {
    times->pop_front();
  }
}

void RetryLimiter::RecordRequest(const ServiceId& service, absl::Time now) {
  Window& window = windows_[service];
  RemoveExpired(&window.requests, now);
  window.requests.push_back(now);
}

bool RetryLimiter::TryAcquire(const ServiceId& service, absl::Time now) {
  Window& window = windows_[service];
  RemoveExpired(&window.requests, now);
  RemoveExpired(&window.retries, now);
  const double allowed =
      kUsedShare *
      (options_.ratio * static_cast<double>(window.requests.size()) +
       options_.slack / instances_);
  if (static_cast<double>(window.retries.size() + 1) > allowed) return false;
  window.retries.push_back(now);
  return true;
}

}  // namespace wisteriareel
