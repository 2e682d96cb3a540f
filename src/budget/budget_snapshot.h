#ifndef WISTERIAREEL_BUDGET_BUDGET_SNAPSHOT_H_
#define WISTERIAREEL_BUDGET_BUDGET_SNAPSHOT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "src/budget/budget_rows.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// One stripe with the version that it was read at; version zero if absent.
struct VersionedStripe {
  StripeRow row;
  std::uint64_t version = 0;
  bool changed = false;
};

// One budget's rows as read, with changes that are to be written. Not
// thread-safe.
class BudgetSnapshot {
 public:
  BudgetSnapshot() = default;
  BudgetSnapshot(BudgetId budget, TopUpRow top_up,
                 std::vector<VersionedStripe> stripes);

  const TopUpRow& top_up() const { return top_up_; }

  // Returns what may still be granted.
  Tokens Ungranted() const;

  // Returns what all holders have and haven't accounted for.
  Tokens Outstanding() const;

  // Returns the sums over all stripes.
  StripeRow Sum() const;

  // Grants `amount`, at most Free(), beginning with stripe `home`.
  void Grant(Tokens amount, int preferred_stripe);

  // Returns stripe `home` to be changed.
  StripeRow& MutableStripe(int index);

  // Adds conditions and writes for the changed stripes.
  void AddWritesTo(Transaction* transaction) const;

 private:
  Tokens UngrantedInStripe(int stripe) const;

  BudgetId budget_;
  TopUpRow top_up_;
  std::vector<VersionedStripe> stripes_;
};

// Reads the pools of `budgets`. `stripes` has, for each, the number of its
// stripes if known, else zero. Returns one reading per budget, empty for one
// that was never topped up, or nullopt with a reason.
std::optional<std::vector<std::optional<BudgetSnapshot>>> ReadBudgetSnapshots(
    TableService* table, const std::vector<BudgetId>& budgets,
    const std::vector<int>& stripes, absl::Duration timeout,
    LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_BUDGET_SNAPSHOT_H_
