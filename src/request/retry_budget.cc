#include "src/request/retry_budget.h"

#include <cmath>

namespace wisteriareel {

void RetryBudget::OnRequest(const PoolId& pool, absl::Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  Decayed(pool, now).requests += 1;
}

bool RetryBudget::TryAcquire(const PoolId& pool, absl::Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  Recent& recent = Decayed(pool, now);
  const double allowed = options_.minimum + options_.share * recent.requests;
  if (recent.repeats + 1 > allowed) return false;
  recent.repeats += 1;
  return true;
}

RetryBudget::Recent& RetryBudget::Decayed(const PoolId& pool, absl::Time now) {
  Recent& recent = pools_[pool];
  if (now <= recent.at) return recent;
  const double windows = absl::FDivDuration(now - recent.at, options_.window);
  const double kept = std::exp(-windows);
  recent.requests *= kept;
  recent.repeats *= kept;
  recent.at = now;
  return recent;
}

}  // namespace wisteriareel
