#ifndef WISTERIAREEL_BUDGET_BUDGET_SNAPSHOT_H_
#define WISTERIAREEL_BUDGET_BUDGET_SNAPSHOT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "src/budget/budget_rows.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// One stripe and the version of its row; zero if the row does not exist.
struct VersionedStripe {
  StripeRow row;
  std::uint64_t version = 0;
  bool changed = false;
};

// Rows of one budget as read from the table, with pending changes. Not
// thread-safe.
class BudgetSnapshot {
 public:
  BudgetSnapshot() = default;
  BudgetSnapshot(BudgetId budget, TopUpRow top_up,
                 std::vector<VersionedStripe> stripes);

  const TopUpRow& top_up() const { return top_up_; }

  // Returns the tokens that may still be granted.
  Tokens Ungranted() const;

  // Returns the tokens that all holders have not accounted for.
  Tokens Outstanding() const;

  // Returns the sums over all stripes.
  StripeRow Sum() const;

  // Grants `amount`, at most Ungranted(), out of the stripes, beginning with
  // `preferred_stripe`.
  void Grant(Tokens amount, int preferred_stripe);

  // Returns stripe `index` and marks it as changed.
  StripeRow& MutableStripe(int index);

  // Adds the conditions and writes of the changed stripes to `transaction`.
  void AddWritesTo(Transaction* transaction) const;

 private:
  Tokens UngrantedInStripe(int stripe) const;

  BudgetId budget_;
  TopUpRow top_up_;
  std::vector<VersionedStripe> stripes_;
};

// Reads the rows of `budgets`. `stripes` has the number of stripes of each
// budget, or zero if it is not known. Returns one snapshot per budget, empty
// for a budget without top-ups, or nullopt with a reason.
std::optional<std::vector<std::optional<BudgetSnapshot>>> ReadBudgetSnapshots(
    TableService* table, const std::vector<BudgetId>& budgets,
    const std::vector<int>& stripes, absl::Duration timeout,
    LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_BUDGET_SNAPSHOT_H_
