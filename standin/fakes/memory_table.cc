#include "standin/fakes/memory_table.h"

#include <cstddef>

namespace wisteriareel {

void MemoryTable::SetFaults(const TableFaults& faults) {
  std::lock_guard<std::mutex> lock(mutex_);
  faults_ = faults;
  if (faults_.scan_lag_commits == 0) history_.clear();
}

CommitOutcome MemoryTable::Commit(const Transaction& transaction,
                                  absl::Duration /*timeout*/) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (faults_.outage) return CommitOutcome::kRejected;
  ++commits_;
  if (faults_.lose_requests > 0) {
    --faults_.lose_requests;
    return CommitOutcome::kUnknown;
  }
  if (!ConditionsHold(transaction)) return CommitOutcome::kConflict;
  ApplyWrites(transaction);
  if (faults_.lose_replies > 0) {
    --faults_.lose_replies;
    return CommitOutcome::kUnknown;
  }
  return CommitOutcome::kCommitted;
}

bool MemoryTable::ConditionsHold(const Transaction& transaction) const {
  for (const RowCondition& condition : transaction.conditions) {
    const auto it = rows_.find(condition.key);
    const std::uint64_t version = it == rows_.end() ? 0 : it->second.version;
    if (version != condition.version) return false;
  }
  return true;
}

void MemoryTable::ApplyWrites(const Transaction& transaction) {
  if (faults_.scan_lag_commits > 0) {
    history_.push_back(rows_);
    const auto lag = static_cast<std::size_t>(faults_.scan_lag_commits);
    if (history_.size() > lag) history_.erase(history_.begin());
  }
  for (const RowWrite& write : transaction.writes) {
    if (!write.value) {
      rows_.erase(write.key);
      continue;
    }
    rows_[write.key] = Row{write.key, *write.value, next_version_++};
  }
}

std::optional<std::vector<Row>> MemoryTable::Read(
    const std::vector<RowKey>& keys, absl::Duration /*timeout*/,
    LastReason* reason) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (faults_.outage) {
    reason->Set(Reason::kPlatformUnavailable,
                "the fake table simulates an outage");
    return std::nullopt;
  }
  ++reads_;
  std::vector<Row> found;
  for (const RowKey& key : keys) {
    const auto it = rows_.find(key);
    if (it == rows_.end()) continue;
    found.push_back(it->second);
  }
  return found;
}

std::optional<std::vector<Row>> MemoryTable::Scan(const std::string& table,
                                                  const std::string& after,
                                                  int limit,
                                                  absl::Duration /*timeout*/,
                                                  LastReason* reason) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (faults_.outage) {
    reason->Set(Reason::kPlatformUnavailable,
                "the fake table simulates an outage");
    return std::nullopt;
  }
  ++reads_;
  const Rows& rows = history_.empty() ? rows_ : history_.front();
  std::vector<Row> found;
  for (auto it = rows.upper_bound(RowKey{table, after}); it != rows.end();
       ++it) {
    if (it->first.table != table) break;
    if (static_cast<int>(found.size()) == limit) break;
    found.push_back(it->second);
  }
  return found;
}

std::uint64_t MemoryTable::commits() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return commits_;
}

std::uint64_t MemoryTable::reads() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return reads_;
}

}  // namespace wisteriareel
