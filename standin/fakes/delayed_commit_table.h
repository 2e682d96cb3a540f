#ifndef WISTERIAREEL_STANDIN_FAKES_DELAYED_COMMIT_TABLE_H_
#define WISTERIAREEL_STANDIN_FAKES_DELAYED_COMMIT_TABLE_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "standin/fakes/memory_table.h"
#include "standin/fakes/stepping_clock.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// A MemoryTable whose transactions can take effect after they were reported as
// unknown, and that can pause its caller after a commit. For use on one thread.
class DelayedCommitTable final : public TableService {
 public:
  explicit DelayedCommitTable(SteppingClock* clock) : clock_(clock) {}

  MemoryTable& memory() { return memory_; }

  // The next commit reports kUnknown and takes effect after `calls` further
  // calls to the table, unless its deadline has passed by then.
  void DelayNextCommit(int calls) { delay_calls_ = calls; }

  // Advances the clock by `pause` after the next commit.
  void PauseAfterNextCommit(absl::Duration pause) { pause_ = pause; }

  // Fails the next `reads` reads.
  void FailReads(int reads) { failing_reads_ = reads; }

  CommitOutcome Commit(const Transaction& transaction,
                       absl::Duration timeout) override {
    ApplyDueCommits();
    if (delay_calls_ > 0) {
      delayed_commits_.push_back(
          {transaction, delay_calls_, clock_->Now() + timeout});
      delay_calls_ = 0;
      return CommitOutcome::kUnknown;
    }
    const CommitOutcome outcome = memory_.Commit(transaction, timeout);
    clock_->Advance(pause_);
    pause_ = absl::ZeroDuration();
    return outcome;
  }

  std::optional<std::vector<Row>> Read(const std::vector<RowKey>& keys,
                                       absl::Duration timeout,
                                       LastReason* reason) override {
    ApplyDueCommits();
    if (failing_reads_ > 0) {
      --failing_reads_;
      reason->Set(Reason::kPlatformUnavailable, "the fake table fails reads");
      return std::nullopt;
    }
    return memory_.Read(keys, timeout, reason);
  }

  std::optional<std::vector<Row>> Scan(const std::string& table,
                                       const std::string& after, int limit,
                                       absl::Duration timeout,
                                       LastReason* reason) override {
    ApplyDueCommits();
    return memory_.Scan(table, after, limit, timeout, reason);
  }

 private:
  struct DelayedCommit {
    Transaction transaction;
    int calls_left = 0;
    absl::Time deadline;
  };

  void ApplyDueCommits() {
    std::vector<DelayedCommit> remaining;
    for (DelayedCommit& delayed : delayed_commits_) {
      if (--delayed.calls_left > 0) {
        remaining.push_back(delayed);
        continue;
      }
      if (clock_->Now() >= delayed.deadline) continue;
      memory_.Commit(delayed.transaction, absl::ZeroDuration());
    }
    delayed_commits_.swap(remaining);
  }

  SteppingClock* const clock_;
  MemoryTable memory_;
  std::vector<DelayedCommit> delayed_commits_;
  int delay_calls_ = 0;
  int failing_reads_ = 0;
  absl::Duration pause_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_DELAYED_COMMIT_TABLE_H_
