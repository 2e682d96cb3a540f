#include "src/budget/budget_rows.h"

#include "absl/strings/str_cat.h"

namespace wisteriareel {

Tokens StripeShare(Tokens topped_up, int stripe, int stripes) {
  const std::int64_t quotient = topped_up.value() / stripes;
  const std::int64_t remainder = topped_up.value() % stripes;
  return Tokens(quotient + (stripe < remainder ? 1 : 0));
}

RowKey TopUpKey(const BudgetId& budget) {
  return RowKey{"budget_topup", budget.value()};
}

RowKey AcceptedTopUpKey(const BudgetId& budget, const OrderId& order) {
  return RowKey{kAcceptedTopUpTable,
                absl::StrCat(budget.value(), "/", order.value())};
}

RowKey StripeKey(const BudgetId& budget, int stripe) {
  return RowKey{"budget_stripe",
                absl::StrCat(budget.value(), "/", absl::Dec(stripe))};
}

RowKey HolderKey(const std::string& holder) {
  return RowKey{kHolderTable, holder};
}

RowKey GrantKey(const std::string& holder, const BudgetId& budget) {
  return RowKey{kGrantTable, absl::StrCat(holder, "/", budget.value())};
}

std::optional<BudgetId> BudgetOfGrantKey(const std::string& holder,
                                         const std::string& key) {
  const std::string prefix = holder + "/";
  if (key.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
  return BudgetId(key.substr(prefix.size()));
}

}  // namespace wisteriareel
