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
  // Rows over which a new budget's grants are spread; more than one keeps
  // many instances from conflicting over a busy budget.
  int stripes = 1;
};

// Operators' orders and questions about budgets, on the table. Thread-safe.
class TableBudgetAdmin final : public BudgetAdmin {
 public:
  // The pointers must outlive the object.
  TableBudgetAdmin(const TableBudgetAdminOptions& options, TableService* table,
                   Clock* clock)
      : options_(options), table_(table), clock_(clock) {}

  // Refuses an order id that was used for another amount with kConflict, and
  // amounts below one with kMalformed. kPlatformReplyLost means that the same
  // order is to be sent again.
  std::optional<BudgetStatus> TopUp(const BudgetId& budget,
                                    const OrderId& order, Tokens amount,
                                    const std::string& operator_name,
                                    absl::Duration timeout,
                                    LastReason* reason) override;

  // The settled sum lags by the interval at which instances report.
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
