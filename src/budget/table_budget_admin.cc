#include "src/budget/table_budget_admin.h"

#include <algorithm>
#include <cstdint>

#include "src/budget/budget_rows.h"
#include "src/budget/budget_snapshot.h"

namespace wisteriareel {
namespace {

constexpr int kMaxTopUpAttempts = 8;
constexpr int kHistoryPageRows = 500;

const Row* FindRow(const std::vector<Row>& rows, const RowKey& key) {
  for (const Row& row : rows) {
    if (row.key == key) return &row;
  }
  return nullptr;
}

// Returns true if both ids may be part of a row key.
bool AreValidKeyParts(const BudgetId& budget, const OrderId& order) {
  const auto is_valid = [](const std::string& name) {
    return !name.empty() && name.find('/') == std::string::npos;
  };
  return is_valid(budget.value()) && is_valid(order.value());
}

}  // namespace

std::optional<BudgetStatus> TableBudgetAdmin::TopUp(
    const BudgetId& budget, const OrderId& order, Tokens amount,
    const std::string& operator_name, absl::Duration timeout,
    LastReason* reason) {
  if (!AreValidKeyParts(budget, order) || amount < Tokens(1)) {
    reason->Set(Reason::kMalformed,
                "budget and order id must not be empty or contain '/', and the "
                "amount must be at least 1");
    return std::nullopt;
  }
  const RowKey top_up_key = TopUpKey(budget);
  const RowKey entry_key = AcceptedTopUpKey(budget, order);
  bool in_doubt = false;
  for (int i = 0; i < kMaxTopUpAttempts; ++i) {
    const auto rows = table_->Read({top_up_key, entry_key}, timeout, reason);
    if (!rows) break;
    if (const Row* row = FindRow(*rows, entry_key)) {
      const auto entry = DecodeAcceptedTopUp(row->value);
      if (entry && entry->amount == amount)
        return Status(budget, timeout, reason);
      reason->Set(Reason::kConflict,
                  "order id was already used for another top-up");
      return std::nullopt;
    }
    const Row* old = FindRow(*rows, top_up_key);
    TopUpRow sum{.stripes = options_.stripes};
    if (old != nullptr) {
      const auto decoded = DecodeTopUp(old->value);
      if (!decoded) {
        reason->Set(Reason::kMalformed, budget.value());
        return std::nullopt;
      }
      sum = *decoded;
    }
    sum.topped_up += amount;
    if (sum.topped_up == Tokens(INT64_MAX)) {
      reason->Set(Reason::kTooLarge, "sum of top-ups exceeds the limit");
      return std::nullopt;
    }
    const AcceptedTopUp entry{.order = order,
                              .amount = amount,
                              .operator_name = operator_name,
                              .accepted = clock_->Now()};
    const Transaction transaction{
        .conditions = {{top_up_key, old == nullptr ? 0 : old->version},
                       {entry_key, 0}},
        .writes = {{top_up_key, Encode(sum)}, {entry_key, Encode(entry)}}};
    const CommitOutcome outcome = table_->Commit(transaction, timeout);
    if (outcome == CommitOutcome::kCommitted) {
      return Status(budget, timeout, reason);
    }
    if (outcome == CommitOutcome::kUnknown) in_doubt = true;
    reason->Set(outcome == CommitOutcome::kConflict
                    ? Reason::kConflict
                    : Reason::kPlatformUnavailable,
                "top-up was not committed");
    if (outcome == CommitOutcome::kRejected) break;
  }
  if (in_doubt) reason->Set(Reason::kPlatformReplyLost, order.value());
  return std::nullopt;
}

std::optional<BudgetStatus> TableBudgetAdmin::Status(const BudgetId& budget,
                                                     absl::Duration timeout,
                                                     LastReason* reason) {
  const auto snapshots =
      ReadBudgetSnapshots(table_, {budget}, {0}, timeout, reason);
  if (!snapshots) return std::nullopt;
  if (!snapshots->front()) {
    reason->Set(Reason::kBudgetUnknown, budget.value());
    return std::nullopt;
  }
  const BudgetSnapshot& snapshot = *snapshots->front();
  const StripeRow sum = snapshot.Sum();
  return BudgetStatus{.budget = budget,
                      .topped_up = snapshot.top_up().topped_up,
                      .granted = sum.granted - sum.returned,
                      .settled = sum.settled,
                      .written_off = sum.written_off};
}

std::optional<std::vector<AcceptedTopUp>> TableBudgetAdmin::History(
    const BudgetId& budget, absl::Duration timeout, LastReason* reason) {
  const std::string prefix = budget.value() + "/";
  std::vector<AcceptedTopUp> entries;
  std::string after = prefix;
  while (true) {
    const auto rows = table_->Scan(kAcceptedTopUpTable, after, kHistoryPageRows,
                                   timeout, reason);
    if (!rows) return std::nullopt;
    bool past_prefix = rows->size() < kHistoryPageRows;
    for (const Row& row : *rows) {
      past_prefix |= row.key.key.compare(0, prefix.size(), prefix) != 0;
      if (past_prefix && row.key.key.compare(0, prefix.size(), prefix) != 0)
        break;
      const auto entry = DecodeAcceptedTopUp(row.value);
      if (entry) entries.push_back(*entry);
    }
    if (past_prefix) break;
    after = rows->back().key.key;
  }
  std::stable_sort(entries.begin(), entries.end(),
                   [](const AcceptedTopUp& a, const AcceptedTopUp& b) {
                     return a.accepted < b.accepted;
                   });
  return entries;
}

}  // namespace wisteriareel
