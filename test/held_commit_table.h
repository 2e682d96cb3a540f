#ifndef WISTERIAREEL_TEST_HELD_COMMIT_TABLE_H_
#define WISTERIAREEL_TEST_HELD_COMMIT_TABLE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wisteriareel/table_service.h"

namespace wisteriareel {

// A table service that holds back transactions and reports their outcome as
// unknown, as after a stalled connection; they can take effect later. Not
// thread-safe.
class HeldCommitTable final : public TableService {
 public:
  explicit HeldCommitTable(TableService* table) : table_(table) {}

  // Holds back the next `n` transactions.
  void HoldCommits(int n) { commits_to_hold_ = n; }

  // Commits the last of the transactions that are held back, if there is one
  // and its conditions still hold.
  void ReleaseCommit() {
    if (held_commits_.empty()) return;
    const Transaction transaction = std::move(held_commits_.back());
    held_commits_.pop_back();
    table_->Commit(transaction, absl::Seconds(1));
  }

  CommitOutcome Commit(const Transaction& transaction,
                       absl::Duration timeout) override {
    if (commits_to_hold_ == 0) return table_->Commit(transaction, timeout);
    --commits_to_hold_;
    held_commits_.push_back(transaction);
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
  int commits_to_hold_ = 0;
  std::vector<Transaction> held_commits_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_HELD_COMMIT_TABLE_H_
