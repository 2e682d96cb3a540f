#ifndef WISTERIAREEL_SRC_REQUEST_RETRY_BUDGET_H_
#define WISTERIAREEL_SRC_REQUEST_RETRY_BUDGET_H_

#include <cstdint>
#include <mutex>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct RetryBudgetOptions {
  // Retries allowed per recent request.
  double retry_ratio = 0.1;
  // Retries allowed per window regardless of traffic.
  double min_retries = 10.0;
  // Time constant of the exponential decay of past traffic.
  absl::Duration window = absl::Seconds(10);
};

// Limits retries in each pool to a share of its recent traffic, so that retries
// do not overload a failing pool. Thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  RetryBudget(const RetryBudget&) = delete;
  RetryBudget& operator=(const RetryBudget&) = delete;

  // Counts a request to the pool.
  void OnRequest(const PoolId& pool, absl::Time now);

  // Takes one retry from the budget. Returns false if the budget is spent.
  bool TryAcquire(const PoolId& pool, absl::Time now);

 private:
  struct PoolTraffic {
    double requests = 0;
    double retries = 0;
    absl::Time at = absl::InfinitePast();
  };

  PoolTraffic& DecayTraffic(const PoolId& pool, absl::Time now);

  const RetryBudgetOptions options_;
  std::mutex mutex_;
  absl::flat_hash_map<PoolId, PoolTraffic> pools_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_RETRY_BUDGET_H_
