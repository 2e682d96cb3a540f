#include "src/request/retry_budget.h"

#include <cmath>

namespace wisteriareel {

void RetryBudget::OnRequest(const PoolId& pool, absl::Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  DecayTraffic(pool, now).requests += 1;
}

bool RetryBudget::TryAcquire(const PoolId& pool, absl::Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  PoolTraffic& traffic = DecayTraffic(pool, now);
  const double allowed =
      options_.min_retries + options_.retry_ratio * traffic.requests;
  if (traffic.retries + 1 > allowed) return false;
  traffic.retries += 1;
  return true;
}

RetryBudget::PoolTraffic& RetryBudget::DecayTraffic(const PoolId& pool,
                                                    absl::Time now) {
  PoolTraffic& traffic = pools_[pool];
  if (now <= traffic.at) return traffic;
  const double windows = absl::FDivDuration(now - traffic.at, options_.window);
  const double decay = std::exp(-windows);
  traffic.requests *= decay;
  traffic.retries *= decay;
  traffic.at = now;
  return traffic;
}

}  // namespace wisteriareel
