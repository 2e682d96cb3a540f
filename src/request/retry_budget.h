#ifndef WISTERIAREEL_SRC_REQUEST_RETRY_BUDGET_H_
#define WISTERIAREEL_SRC_REQUEST_RETRY_BUDGET_H_

#include <cstdint>
#include <mutex>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct RetryBudgetOptions {
  // Repeats allowed per recent request.
  double share = 0.1;
  // Repeats allowed regardless of traffic, per window.
  double minimum = 10.0;
  // Over which traffic counts as recent; it decays exponentially.
  absl::Duration window = absl::Seconds(10);
};

// Keeps repeats to a share of recent traffic in each pool, so that a failing
// pool is not buried under them. Thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  RetryBudget(const RetryBudget&) = delete;
  RetryBudget& operator=(const RetryBudget&) = delete;

  // Counts a request.
  void OnRequest(const PoolId& pool, absl::Time now);

  // Takes one repeat out of the budget. Returns false if it is spent.
  bool TryAcquire(const PoolId& pool, absl::Time now);

 private:
  struct Recent {
    double requests = 0;
    double repeats = 0;
    absl::Time at = absl::InfinitePast();
  };

  Recent& Decayed(const PoolId& pool, absl::Time now);

  const RetryBudgetOptions options_;
  std::mutex mutex_;
  absl::flat_hash_map<PoolId, Recent> pools_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_RETRY_BUDGET_H_
