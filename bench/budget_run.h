#ifndef WISTERIAREEL_BENCH_BUDGET_RUN_H_
#define WISTERIAREEL_BENCH_BUDGET_RUN_H_

#include <cstdint>

#include "bench/budget_models.h"
#include "bench/budget_trace.h"

namespace wisteriareel {

// Results of one run of a model over a trace.
struct RunResult {
  std::int64_t requests = 0;
  // Largest number of tokens spent beyond the top-ups of a budget.
  std::int64_t overspent = 0;
  std::int64_t refused = 0;
  // False refusals by cause: refusals of requests that the budget's remaining
  // tokens would have covered.
  std::int64_t platform_unavailable = 0;
  std::int64_t holder_dead = 0;
  std::int64_t grant_too_small = 0;
  std::int64_t top_up_unseen = 0;
  // False refusals during a platform outage that the tokens held by the live
  // instances of the same zone, or of all zones, would have covered.
  std::int64_t covered_in_zone = 0;
  std::int64_t covered_anywhere = 0;
  // Tokens that no live instance can spend at the end.
  std::int64_t stranded = 0;
  std::int64_t topped_up = 0;
  // Largest share of a budget's top-ups that was left at a false refusal
  // counted in `grant_too_small`, the only kind that occurs without a fault.
  double max_left = 0;
  std::uint64_t writes = 0;

  std::int64_t FalseRefusals() const {
    return platform_unavailable + holder_dead + grant_too_small + top_up_unseen;
  }
  double Per10000(std::int64_t n) const {
    return 10'000.0 * static_cast<double>(n) / static_cast<double>(requests);
  }
};

// Runs `model` over `trace` with the faults of `scenario`.
RunResult RunModel(const Deployment& deployment, const Scenario& scenario,
                   const Trace& trace, BudgetModel* model);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BENCH_BUDGET_RUN_H_
