#ifndef WISTERIAREEL_BENCH_BUDGET_MODELS_H_
#define WISTERIAREEL_BENCH_BUDGET_MODELS_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "bench/budget_trace.h"
#include "wisteriareel/budget_manager.h"
#include "wisteriareel/budget_sizing.h"

namespace wisteriareel {

// A budget implementation under comparison. Instances and budgets are numbered.
// Amounts are in tokens. Not thread-safe.
class BudgetModel {
 public:
  virtual ~BudgetModel() = default;

  virtual std::optional<Reservation> TryReserve(int instance, int budget,
                                                std::int64_t worst_case) = 0;
  virtual void Settle(int instance, const Reservation& reservation,
                      std::int64_t billed) = 0;
  // Returns true once the top-up is accepted.
  virtual bool TopUp(int budget, std::int64_t amount) = 0;
  // Sets whether `instance` is cut off, which means that it cannot reach the
  // platform.
  virtual void SetCut(int instance, bool cut) = 0;
  // Ends `instance` without a shutdown.
  virtual void Kill(int instance) = 0;
  // Starts a new process in place of `instance`.
  virtual void Replace(int instance) = 0;
  // Advances the time by one second.
  virtual void Tick() = 0;

  // Returns the spendable tokens that `instance` holds.
  virtual std::int64_t HeldAt(int instance, int budget) = 0;
  // Returns the tokens that are not granted to any instance.
  virtual std::int64_t Ungranted(int budget) = 0;

  // Returns the number of table transactions tried so far.
  virtual std::uint64_t TableWrites() = 0;
};

// Returns a model that runs GrantManagers on an in-memory table.
std::unique_ptr<BudgetModel> MakeGrantModel(const Deployment& deployment,
                                            const SizingPolicy* policy);

// Returns a model with one table transaction per reservation and settlement.
std::unique_ptr<BudgetModel> MakePerRequestModel(const Deployment& deployment);

// Returns a model that splits each top-up evenly between the instances, with no
// later transfer.
std::unique_ptr<BudgetModel> MakeStaticShareModel(const Deployment& deployment);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BENCH_BUDGET_MODELS_H_
