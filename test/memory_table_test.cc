#include "standin/fakes/memory_table.h"

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gtest/gtest.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(1);

class MemoryTableTest : public testing::Test {
 protected:
  CommitOutcome Put(const std::string& key, const std::string& value,
                    std::uint64_t expected_version) {
    const RowKey row{"t", key};
    return table_.Commit(Transaction{.conditions = {{row, expected_version}},
                                     .writes = {{row, value}}},
                         kTimeout);
  }

  std::string Get(const std::string& key) {
    LastReason reason;
    const auto rows = table_.Read({RowKey{"t", key}}, kTimeout, &reason);
    return rows && !rows->empty() ? rows->front().value : "";
  }

  MemoryTable table_;
};

TEST_F(MemoryTableTest, RefusesAWriteWhoseConditionFails) {
  EXPECT_EQ(Put("a", "1", 0), CommitOutcome::kCommitted);
  EXPECT_EQ(Put("a", "2", 0), CommitOutcome::kConflict);
  EXPECT_EQ(Get("a"), "1");
}

TEST_F(MemoryTableTest, CommitsAWriteWhoseReplyIsLost) {
  table_.SetFaults({.lose_replies = 1});
  EXPECT_EQ(Put("a", "1", 0), CommitOutcome::kUnknown);
  EXPECT_EQ(Get("a"), "1");
}

TEST_F(MemoryTableTest, DropsAWriteWhoseRequestIsLost) {
  table_.SetFaults({.lose_requests = 1});
  EXPECT_EQ(Put("a", "1", 0), CommitOutcome::kUnknown);
  EXPECT_EQ(Get("a"), "");
}

TEST_F(MemoryTableTest, ScansLagBehindCommits) {
  table_.SetFaults({.scan_lag_commits = 1});
  Put("a", "1", 0);
  Put("b", "1", 0);
  LastReason reason;
  const auto rows = table_.Scan("t", "", 10, kTimeout, &reason);
  ASSERT_TRUE(rows.has_value());
  EXPECT_EQ(rows->size(), 1u);
}

}  // namespace
}  // namespace wisteriareel
