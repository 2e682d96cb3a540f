#ifndef WISTERIAREEL_BENCH_BUDGET_MODELS_H_
#define WISTERIAREEL_BENCH_BUDGET_MODELS_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "bench/budget_trace.h"
#include "wisteriareel/budget_manager.h"
#include "wisteriareel/budget_sizing.h"

namespace wisteriareel {

// A way of keeping budgets under comparison. Instances are numbered; one that
// is cut off doesn't reach the platform. Not thread-safe.
class BudgetModel {
 public:
  virtual ~BudgetModel() = default;

  virtual std::optional<Reservation> TryReserve(int instance, int budget,
                                                std::int64_t worst_case) = 0;
  virtual void Settle(int instance, const Reservation& reservation,
                      std::int64_t billed) = 0;
  // Returns true once the top-up is accepted.
  virtual bool TopUp(int budget, std::int64_t amount) = 0;
  virtual void SetCut(int instance, bool cut) = 0;
  virtual void Kill(int instance) = 0;
  virtual void Replace(int instance) = 0;
  // Lets one second pass.
  virtual void Tick() = 0;

  // Returns what live instances hold unreserved, and what is granted to none.
  virtual std::int64_t HeldAt(int instance, int budget) = 0;
  virtual std::int64_t Pool(int budget) = 0;

  // Returns the transactions tried so far.
  virtual std::uint64_t TableWrites() = 0;
};

// The real keepers on a table in memory.
std::unique_ptr<BudgetModel> MakeGrantModel(const Deployment& deployment,
                                            const SizingPolicy* policy);

// A table transaction on each reservation and settlement.
std::unique_ptr<BudgetModel> MakePerRequestModel(const Deployment& deployment);

// Each top-up split evenly over the instances once and for all.
std::unique_ptr<BudgetModel> MakeStaticShareModel(const Deployment& deployment);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BENCH_BUDGET_MODELS_H_
