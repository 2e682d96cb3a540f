#ifndef WISTERIAREEL_TEST_HELD_COMMIT_TABLE_H_
#define WISTERIAREEL_TEST_HELD_COMMIT_TABLE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Holds back transactions and reports them as unknown, as after a stalled
// connection; they can take effect later. Not thread-safe.
class HeldCommitTable final : public TableService {
 public:
  explicit HeldCommitTable(TableService* table) : table_(table) {}

  // Holds back the next `n` transactions.
  void HoldCommits(int n) { hold_back_ = n; }

  // Commits one transaction that is held back, if its conditions still hold.
  void ReleaseCommit() {
    if (held_.empty()) return;
    const Transaction transaction = std::move(held_.back());
    held_.pop_back();
    table_->Commit(transaction, absl::Seconds(1));
  }

  CommitOutcome Commit(const Transaction& transaction,
                       absl::Duration timeout) override {
    if (hold_back_ == 0) return table_->Commit(transaction, timeout);
    --hold_back_;
    held_.push_back(transaction);
    return CommitOutcome::kUnknown;
  }
  std::optional<std::vector<Row>> Read(const std::vector<RowKey>& keys,
                                       absl::Duration timeout,
                                       LastReason* reason) override {
    return table_->Read(keys, timeout, reason);
  }
  std::optional<std::vector<Row>> Scan(const std::string& table,
                                       const std::string& after, int limit,
                                       absl::Duration timeout,
                                       LastReason* reason) override {
    return table_->Scan(table, after, limit, timeout, reason);
  }

 private:
  TableService* const table_;
  int hold_back_ = 0;
  std::vector<Transaction> held_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_HELD_COMMIT_TABLE_H_
