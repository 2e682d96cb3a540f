#include "src/budget/budget_snapshot.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace wisteriareel {
namespace {

using RowsByKey = std::map<RowKey, Row>;

// Adds the rows of `keys` to `found`. Returns false with a reason on failure.
bool ReadInto(TableService* table, const std::vector<RowKey>& keys,
              absl::Duration timeout, RowsByKey* found, LastReason* reason) {
  if (keys.empty()) return true;
  const auto rows = table->Read(keys, timeout, reason);
  if (!rows) return false;
  for (const Row& row : *rows) found->emplace(row.key, row);
  return true;
}

std::optional<TopUpRow> FindTopUp(const RowsByKey& rows,
                                  const BudgetId& budget) {
  const auto it = rows.find(TopUpKey(budget));
  if (it == rows.end()) return std::nullopt;
  return DecodeTopUp(it->second.value);
}

std::optional<BudgetSnapshot> Assemble(const RowsByKey& rows,
                                       const BudgetId& budget) {
  const auto top_up = FindTopUp(rows, budget);
  if (!top_up) return std::nullopt;
  std::vector<VersionedStripe> stripes(
      static_cast<std::size_t>(top_up->stripes));
  for (int i = 0; i < top_up->stripes; ++i) {
    const auto it = rows.find(StripeKey(budget, i));
    if (it == rows.end()) continue;
    const auto stripe = DecodeStripe(it->second.value);
    if (!stripe) return std::nullopt;
    stripes[static_cast<std::size_t>(i)] =
        VersionedStripe{.row = *stripe, .version = it->second.version};
  }
  return BudgetSnapshot(budget, *top_up, std::move(stripes));
}

}  // namespace

BudgetSnapshot::BudgetSnapshot(BudgetId budget, TopUpRow top_up,
                               std::vector<VersionedStripe> stripes)
    : budget_(std::move(budget)),
      top_up_(top_up),
      stripes_(std::move(stripes)) {}

Tokens BudgetSnapshot::Ungranted() const {
  const StripeRow sum = Sum();
  return top_up_.topped_up - sum.granted + sum.returned;
}

Tokens BudgetSnapshot::Outstanding() const { return Sum().Outstanding(); }

StripeRow BudgetSnapshot::Sum() const {
  StripeRow sum;
  for (const VersionedStripe& stripe : stripes_) {
    sum.granted += stripe.row.granted;
    sum.returned += stripe.row.returned;
    sum.settled += stripe.row.settled;
    sum.written_off += stripe.row.written_off;
  }
  return sum;
}

Tokens BudgetSnapshot::UngrantedInStripe(int stripe) const {
  const StripeRow& row = stripes_[static_cast<std::size_t>(stripe)].row;
  return StripeShare(top_up_.topped_up, stripe, top_up_.stripes) - row.granted +
         row.returned;
}

void BudgetSnapshot::Grant(Tokens amount, int preferred_stripe) {
  for (int i = 0; i < top_up_.stripes && amount > Tokens(0); ++i) {
    const int stripe = (preferred_stripe + i) % top_up_.stripes;
    const Tokens share = std::min(amount, UngrantedInStripe(stripe));
    if (share <= Tokens(0)) continue;
    MutableStripe(stripe).granted += share;
    amount -= share;
  }
}

StripeRow& BudgetSnapshot::MutableStripe(int index) {
  VersionedStripe& stripe = stripes_[static_cast<std::size_t>(index)];
  stripe.changed = true;
  return stripe.row;
}

void BudgetSnapshot::AddWritesTo(Transaction* transaction) const {
  for (std::size_t i = 0; i < stripes_.size(); ++i) {
    if (!stripes_[i].changed) continue;
    const RowKey key = StripeKey(budget_, static_cast<int>(i));
    transaction->conditions.push_back({key, stripes_[i].version});
    transaction->writes.push_back({key, Encode(stripes_[i].row)});
  }
}

std::optional<std::vector<std::optional<BudgetSnapshot>>> ReadBudgetSnapshots(
    TableService* table, const std::vector<BudgetId>& budgets,
    const std::vector<int>& stripes, absl::Duration timeout,
    LastReason* reason) {
  RowsByKey rows;
  std::vector<RowKey> keys;
  for (std::size_t i = 0; i < budgets.size(); ++i) {
    keys.push_back(TopUpKey(budgets[i]));
    for (int n = 0; n < stripes[i]; ++n)
      keys.push_back(StripeKey(budgets[i], n));
  }
  if (!ReadInto(table, keys, timeout, &rows, reason)) return std::nullopt;

  std::vector<RowKey> stripe_keys;
  for (std::size_t i = 0; i < budgets.size(); ++i) {
    if (stripes[i] != 0) continue;
    const auto top_up = FindTopUp(rows, budgets[i]);
    if (!top_up) continue;
    for (int n = 0; n < top_up->stripes; ++n) {
      stripe_keys.push_back(StripeKey(budgets[i], n));
    }
  }
  if (!ReadInto(table, stripe_keys, timeout, &rows, reason))
    return std::nullopt;

  std::vector<std::optional<BudgetSnapshot>> snapshots;
  snapshots.reserve(budgets.size());
  for (const BudgetId& budget : budgets) {
    snapshots.push_back(Assemble(rows, budget));
  }
  return snapshots;
}

}  // namespace wisteriareel
