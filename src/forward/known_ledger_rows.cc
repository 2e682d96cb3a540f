#include "src/forward/known_ledger_rows.h"

namespace wisteriareel {

void KnownLedgerRows::Record(const KnownLedgerRow& row) {
  const auto [it, added] = rows_[row.customer].try_emplace(row.key, row);
  if (!added && it->second.state < row.state) it->second = row;
}

std::vector<KnownLedgerRow> KnownLedgerRows::RowsOf(
    const CustomerId& customer) const {
  std::vector<KnownLedgerRow> rows;
  const auto it = rows_.find(customer);
  if (it == rows_.end()) return rows;
  for (const auto& [key, row] : it->second) rows.push_back(row);
  return rows;
}

std::vector<KnownLedgerRow> KnownLedgerRows::AllRows() const {
  std::vector<KnownLedgerRow> rows;
  for (const auto& [customer, by_key] : rows_) {
    for (const auto& [key, row] : by_key) rows.push_back(row);
  }
  return rows;
}

}  // namespace wisteriareel
