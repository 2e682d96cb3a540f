#ifndef WISTERIAREEL_BUDGET_TABLE_BUDGET_ADMIN_H_
#define WISTERIAREEL_BUDGET_TABLE_BUDGET_ADMIN_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/budget_manager.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Options of a TableBudgetAdmin.
struct TableBudgetAdminOptions {
  // Number of rows that the grants of a new budget are spread over. More than
  // one row reduces transaction conflicts of many instances on a busy budget.
  int stripes = 1;
};

// Implements the operators' budget operations on the table. Thread-safe.
class TableBudgetAdmin final : public BudgetAdmin {
 public:
  // The pointers must outlive the object.
  TableBudgetAdmin(const TableBudgetAdminOptions& options, TableService* table,
                   Clock* clock)
      : options_(options), table_(table), clock_(clock) {}

  // Refuses an order id that was used for another amount with kConflict, and
  // amounts below one with kMalformed. After kPlatformReplyLost the caller must
  // send the same order again.
  std::optional<BudgetStatus> TopUp(const BudgetId& budget,
                                    const OrderId& order, Tokens amount,
                                    const std::string& operator_name,
                                    absl::Duration timeout,
                                    LastReason* reason) override;

  // `settled` is delayed by up to the report interval of the instances.
  std::optional<BudgetStatus> Status(const BudgetId& budget,
                                     absl::Duration timeout,
                                     LastReason* reason) override;

  std::optional<std::vector<AcceptedTopUp>> History(
      const BudgetId& budget, absl::Duration timeout,
      LastReason* reason) override;

 private:
  const TableBudgetAdminOptions options_;
  TableService* const table_;
  Clock* const clock_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_TABLE_BUDGET_ADMIN_H_
