#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "src/request/row_batcher.h"
#include "standin/fakes/memory_table.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(30);

// Blocks the first commit until Open is called.
class BlockingTable final : public TableService {
 public:
  void Open() {
    open_ = true;
    open_.notify_all();
  }
  MemoryTable& memory() { return memory_; }

  CommitOutcome Commit(const Transaction& transaction,
                       absl::Duration timeout) override {
    open_.wait(false);
    return memory_.Commit(transaction, timeout);
  }
  std::optional<std::vector<Row>> Read(const std::vector<RowKey>& keys,
                                       absl::Duration timeout,
                                       LastReason* reason) override {
    return memory_.Read(keys, timeout, reason);
  }
  std::optional<std::vector<Row>> Scan(const std::string& table,
                                       const std::string& after, int limit,
                                       absl::Duration timeout,
                                       LastReason* reason) override {
    return memory_.Scan(table, after, limit, timeout, reason);
  }

 private:
  MemoryTable memory_;
  std::atomic<bool> open_ = false;
};

class RowBatcherTest : public testing::Test {
 protected:
  static constexpr int kThreads = 32;

  static RowChange Claim(int n) {
    return {.key = {"t", absl::StrCat(n)}, .value = absl::StrCat("new", n)};
  }

  // Applies one change per thread. While the first one is being committed, all
  // others are queued.
  std::vector<RowChangeResult> ApplyTogether() {
    std::vector<RowChangeResult> results(kThreads);
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back(
          [&, i] { results[i] = batcher_.Apply(Claim(i), kTimeout); });
    }
    while (batcher_.CountWaiting() < kThreads - 1) std::this_thread::yield();
    table_.Open();
    for (std::thread& thread : threads) thread.join();
    return results;
  }

  BlockingTable table_;
  RowBatcher batcher_{{.table = &table_}};
};

TEST_F(RowBatcherTest, CommitsWaitingChangesInOneTransaction) {
  for (const RowChangeResult& result : ApplyTogether()) {
    EXPECT_EQ(result.outcome, RowChangeOutcome::kApplied);
  }
  EXPECT_EQ(table_.memory().commits(), 2u);
}

TEST_F(RowBatcherTest, CommitsOtherChangesDespiteAConflict) {
  const RowKey taken = Claim(5).key;
  table_.memory().Commit({.writes = {{taken, "other"}}}, kTimeout);
  const std::vector<RowChangeResult> results = ApplyTogether();
  for (int i = 0; i < kThreads; ++i) {
    EXPECT_EQ(results[i].outcome,
              i == 5 ? RowChangeOutcome::kConflict : RowChangeOutcome::kApplied)
        << i;
  }
  EXPECT_EQ(results[5].current->value, "other");
  // The commits are: one in this test, one of the first thread, one that
  // conflicts and its retry.
  EXPECT_LE(table_.memory().commits(), 4u);
}

TEST_F(RowBatcherTest, ResolvesLostRepliesByReadingTheRows) {
  table_.memory().SetFaults({.lose_replies = 1, .lose_requests = 1});
  for (const RowChangeResult& result : ApplyTogether()) {
    EXPECT_EQ(result.outcome, RowChangeOutcome::kApplied);
  }
}

TEST_F(RowBatcherTest, RejectsChangesDuringAnOutage) {
  table_.memory().SetFaults({.outage = true});
  for (const RowChangeResult& result : ApplyTogether()) {
    EXPECT_EQ(result.outcome, RowChangeOutcome::kRejected);
  }
}

}  // namespace
}  // namespace wisteriareel
