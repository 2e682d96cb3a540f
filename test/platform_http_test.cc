#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gtest/gtest.h"
#include "src/platform/http_instance_list.h"
#include "src/platform/http_object_store.h"
#include "src/platform/http_table_service.h"
#include "standin/platform_standin.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(5);
// Timeout for calls whose response is delayed longer than this.
constexpr absl::Duration kShortTimeout = absl::Milliseconds(50);

class PlatformHttpTest : public testing::Test {
 protected:
  void SetUp() override {
    LastReason reason;
    ASSERT_TRUE(standin_->Start({"127.0.0.1", 0}, &reason)) << reason.detail();
    options_.endpoint = {"127.0.0.1",
                         static_cast<std::uint16_t>(standin_->port())};
    table_ = std::make_unique<HttpTableService>(options_);
    objects_ = std::make_unique<HttpObjectStore>(options_);
    list_ = std::make_unique<HttpInstanceList>(options_);
  }

  CommitOutcome Put(const std::string& key, const std::string& text,
                    std::uint64_t version, absl::Duration timeout = kTimeout) {
    const RowKey row{"t", key};
    return table_->Commit(
        {.conditions = {{row, version}}, .writes = {{row, text}}}, timeout);
  }

  std::string Get(const std::string& key) {
    LastReason reason;
    const auto rows = table_->Read({RowKey{"t", key}}, kTimeout, &reason);
    return rows && !rows->empty() ? rows->front().value : "";
  }

  std::unique_ptr<PlatformStandin> standin_ =
      std::make_unique<PlatformStandin>();
  PlatformClientOptions options_;
  std::unique_ptr<HttpTableService> table_;
  std::unique_ptr<HttpObjectStore> objects_;
  std::unique_ptr<HttpInstanceList> list_;
};

TEST_F(PlatformHttpTest, CommitsReadsAndScans) {
  EXPECT_EQ(Put("a", "1", 0), CommitOutcome::kCommitted);
  EXPECT_EQ(Put("a", "2", 0), CommitOutcome::kConflict);
  EXPECT_EQ(Put("b", "3", 0), CommitOutcome::kCommitted);
  LastReason reason;
  const auto rows = table_->Scan("t", "a", 10, kTimeout, &reason);
  ASSERT_TRUE(rows.has_value());
  ASSERT_EQ(rows->size(), 1u);
  EXPECT_EQ(rows->front().value, "3");
}

TEST_F(PlatformHttpTest, ReportsALostReplyAsUnknown) {
  ASSERT_TRUE(standin_->SetFaults({{"table_lose_replies", 1}}));
  EXPECT_EQ(Put("a", "1", 0), CommitOutcome::kUnknown);
  EXPECT_EQ(Get("a"), "1");
}

TEST_F(PlatformHttpTest, ReportsALostRequestAsUnknown) {
  ASSERT_TRUE(standin_->SetFaults({{"table_lose_requests", 1}}));
  EXPECT_EQ(Put("a", "1", 0), CommitOutcome::kUnknown);
  EXPECT_EQ(Get("a"), "");
}

TEST_F(PlatformHttpTest, ReportsASlowReplyAsUnknown) {
  ASSERT_TRUE(standin_->SetFaults({{"table_slow_ms", 500}}));
  EXPECT_EQ(Put("a", "1", 0, kShortTimeout), CommitOutcome::kUnknown);
}

TEST_F(PlatformHttpTest, ReportsAnUnattemptedWriteAsRejected) {
  ASSERT_TRUE(standin_->SetFaults({{"table_outage", 1}}));
  EXPECT_EQ(Put("a", "1", 0), CommitOutcome::kRejected);
  ASSERT_TRUE(standin_->SetFaults(
      {{"table_outage", 0}, {"table_writes_per_second", 1}}));
  EXPECT_EQ(Put("b", "1", 0), CommitOutcome::kCommitted);
  EXPECT_EQ(Put("c", "1", 0), CommitOutcome::kRejected);
}

TEST_F(PlatformHttpTest, ReportsARefusedConnectionAsRejected) {
  standin_.reset();
  EXPECT_EQ(Put("a", "1", 0), CommitOutcome::kRejected);
  LastReason reason;
  EXPECT_FALSE(table_->Read({RowKey{"t", "a"}}, kTimeout, &reason));
  EXPECT_EQ(reason.reason(), Reason::kPlatformUnavailable);
}

TEST_F(PlatformHttpTest, DoesNotSendAValueThatJsonCannotCarry) {
  EXPECT_EQ(Put("a", "\xff", 0), CommitOutcome::kRejected);
  EXPECT_EQ(standin_->table()->commits(), 0u);
}

TEST_F(PlatformHttpTest, StoresObjectsOfAnyBytes) {
  const std::string name = "a/\xff b?&";
  const std::string bytes("\0\xff\r\n", 4);
  LastReason reason;
  EXPECT_EQ(objects_->Put(name, bytes, kTimeout), CommitOutcome::kCommitted);
  EXPECT_EQ(objects_->Put(name, "x", kTimeout), CommitOutcome::kConflict);
  EXPECT_EQ(objects_->Get(name, kTimeout, &reason), bytes);
  EXPECT_FALSE(objects_->Get("missing", kTimeout, &reason).has_value());
  EXPECT_EQ(reason.reason(), Reason::kNotFound);
  const auto names = objects_->List("b/", "", 10, kTimeout, &reason);
  ASSERT_TRUE(names.has_value());
  EXPECT_TRUE(names->empty());
}

TEST_F(PlatformHttpTest, ReportsALostReplyOfTheObjectStoreAsUnknown) {
  ASSERT_TRUE(standin_->SetFaults({{"objects_lose_replies", 1}}));
  EXPECT_EQ(objects_->Put("a", "1", kTimeout), CommitOutcome::kUnknown);
}

TEST_F(PlatformHttpTest, ListsInstancesWithALag) {
  const ListedInstance instance{.id = "i1",
                                .role = InstanceRole::kTarget,
                                .state = InstanceState::kLeaving,
                                .region = RegionId("r"),
                                .zone = ZoneId("z"),
                                .endpoint = {"127.0.0.1", 80}};
  standin_->UpsertInstance(instance);
  LastReason reason;
  EXPECT_EQ(list_->List(kTimeout, &reason),
            std::vector<ListedInstance>{instance});
  ASSERT_TRUE(standin_->SetFaults({{"instances_lag_ms", 3'600'000}}));
  EXPECT_EQ(list_->List(kTimeout, &reason), std::vector<ListedInstance>{});
}

}  // namespace
}  // namespace wisteriareel
