#include "src/router/rate_limit_sync.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/router/instance_registry.h"
#include "test/manual_scheduler.h"

namespace wisteriareel {
namespace {

using ::testing::IsEmpty;
using ::testing::UnorderedElementsAre;

RateLimitNotice MakeNotice(const std::string& target,
                           std::optional<double> per_second,
                           std::int64_t observed_ms) {
  return {.target = TargetId(target),
          .started_ms = 1700000000000,
          .address = {.host = "10.0.0.9", .port = 8080},
          .per_second = per_second,
          .observed_ms = observed_ms};
}

TEST(RateLimitNoticeCodecTest, DecodesWhatItEncoded) {
  const std::vector<RateLimitNotice> notices = {
      MakeNotice("t1", 1.0 / 3, 5), MakeNotice("t2", std::nullopt, -7),
      MakeNotice("t3", 0, 0)};
  EXPECT_EQ(DecodeRateLimitNotices(EncodeRateLimitNotices(notices)), notices);
}

TEST(RateLimitNoticeCodecTest, SkipsWhatIsMalformed) {
  EXPECT_THAT(DecodeRateLimitNotices(""), IsEmpty());
  const std::string sound = EncodeRateLimitNotices({MakeNotice("t1", 2, 5)});
  for (const char* entry :
       {"x;", ",1,h,80,2,5;", "t,1,h,80,nan,5;", "t,1,h,80,-1,5;",
        "t,1,h,80,inf,5;", "t,1,h,70000,2,5;", "t,x,h,80,2,5;", "t,1,h,80,2,x;",
        "t,1,h,80,2;", "t,1,h,80,2,5,6;"}) {
    EXPECT_EQ(DecodeRateLimitNotices(absl::StrCat(entry, sound)).size(), 1U)
        << entry;
  }
}

TEST(RateLimitNoticeCodecTest, SkipsNamesWithSeparators) {
  std::vector<RateLimitNotice> notices = {
      MakeNotice("t,1", 1, 5), MakeNotice("t;1", 1, 5), MakeNotice("t 1", 1, 5),
      MakeNotice("t\n1", 1, 5), MakeNotice("t1", 1, 5)};
  EXPECT_EQ(DecodeRateLimitNotices(EncodeRateLimitNotices(notices)),
            std::vector<RateLimitNotice>{notices.back()});
}

TEST(RateLimitNoticeCodecTest, AnOldBuildReadsNoHeartbeat) {
  EXPECT_EQ(DecodeInstanceHeartbeat(EncodeRateLimitNotices(
                {MakeNotice("t1", 1, 5), MakeNotice("t2", 1, 5),
                 MakeNotice("t3", 1, 5), MakeNotice("t4", 1, 5)})),
            std::nullopt);
  EXPECT_EQ(DecodeInstanceHeartbeat(""), std::nullopt);
}

TEST(RateLimitNoticeCodecTest, AReportFitsIntoARow) {
  std::vector<RateLimitNotice> notices;
  notices.reserve(2000);
  for (int n = 0; n < 2000; ++n) {
    notices.push_back(MakeNotice(absl::StrCat("t", n), 1.5, n));
  }
  EXPECT_LE(EncodeRateLimitNotices(notices).size(), 24U << 10);
}

// In-memory table with simulated outages of writes.
class Table final : public AsyncTable {
 public:
  explicit Table(ManualScheduler* scheduler) : scheduler_(scheduler) {}

  std::optional<TableContact> LastCommitContact() const override {
    return LastContact();
  }
  std::uint64_t Era() const override { return 0; }
  std::optional<TableContact> LastContact() const override {
    return TableContact{.platform_ms = absl::ToUnixMillis(scheduler_->Now()),
                        .sent = scheduler_->Now(),
                        .received = scheduler_->Now()};
  }
  void Commit(const PartitionTransaction& transaction,
              CommitDone done) override {
    CommitReply reply{.outcome = CommitOutcome::kUnknown};
    if (!rejects_writes) {
      reply.outcome = CommitOutcome::kCommitted;
      reply.version = {.number = ++version_};
      for (const PartitionRowWrite& write : transaction.writes) {
        if (write.value.has_value()) {
          ++writes[write.key.key];
          rows[write.key.key] = {.key = write.key,
                                 .value = *write.value,
                                 .version = {.number = version_}};
        } else {
          rows.erase(write.key.key);
        }
      }
    }
    scheduler_->After(absl::Milliseconds(5),
                      [done = std::move(done), reply] { done(reply); });
  }
  void Read(const std::string& /*table*/, const std::string& /*partition*/,
            ReadDone done) override {
    RowsReply reply{.version = {.number = version_}};
    for (const auto& [key, row] : rows) reply.rows.push_back(row);
    scheduler_->After(absl::Milliseconds(5), [done = std::move(done), reply] {
      done(reply, LastReason());
    });
  }
  void PollChanges(const std::string& /*table*/,
                   const TableVersion& /*version*/, absl::Duration /*wait*/,
                   PollDone /*done*/) override {}

  bool rejects_writes = false;
  std::map<std::string, PartitionRow> rows;
  std::map<std::string, int> writes;

 private:
  ManualScheduler* const scheduler_;
  std::uint64_t version_ = 0;
};

// The part of an instance that takes part in the sharing of limits.
class Instance final : public InstanceRegistryOwner {
 public:
  Instance(const std::string& name, Table* table, ManualScheduler* scheduler)
      : limits({.self = InstanceId(name)}),
        sync({}, {.limits = &limits,
                  .table = table,
                  .scheduler = scheduler,
                  .log = DiscardEvents()}),
        registry(
            {.self = InstanceId(name), .address = {.host = name, .port = 1}},
            table, scheduler, this) {
    registry.Start();
  }

  void OnInstancesCounted(int /*count*/) override {}
  void OnPreviousIncarnation(
      const std::optional<InstanceHeartbeat>& /*last*/) override {}
  std::optional<std::int64_t> ContactToReport() override { return 1; }
  std::vector<EndedIncarnation> EndedIncarnations() override { return {}; }
  void OnInstancesListed(const std::vector<std::string>& names,
                         bool is_confirmed) override {
    live = names;
    confirmed = is_confirmed;
    sync.ApplyInstances(names, is_confirmed);
  }
  void OnRateLimitReport(const std::string& instance,
                         const std::string& report) override {
    reports[instance] = report;
    sync.ApplyReport(instance, report);
  }
  std::string RateLimitReport() override { return sync.GetReport(); }

  TargetRateLimits limits;
  RateLimitSync sync;
  InstanceRegistry registry;
  std::vector<std::string> live;
  bool confirmed = false;
  std::map<std::string, std::string> reports;
};

class RateLimitSyncTest : public ::testing::Test {
 protected:
  std::unique_ptr<Instance> Start(const std::string& name) {
    return std::make_unique<Instance>(name, &table_, &scheduler_);
  }

  // Lets `instance` get a response of the target.
  void Respond(Instance* instance, std::optional<double> per_second) {
    instance->limits.RecordResponse(target_, per_second, scheduler_.Now(),
                                    scheduler_.Now());
  }

  // Leaves a report in the table that no running instance wrote.
  void PutReport(const std::string& instance, const std::string& report) {
    PartitionRow row;
    row.key.table = "members";
    row.key.key = absl::StrCat("limits/", instance);
    row.value = report;
    row.version = {.number = 1};
    table_.rows[row.key.key] = row;
  }

  ManualScheduler scheduler_;
  Table table_{&scheduler_};
  const TargetEntry target_{.id = TargetId("t"),
                            .address = {.host = "10.0.0.9", .port = 80},
                            .started_ms = 17};
};

TEST_F(RateLimitSyncTest, AnInstanceLearnsALimitThatAnotherWasTold) {
  const auto a = Start("a");
  const auto b = Start("b");
  scheduler_.Advance(absl::Seconds(5));
  Respond(a.get(), 1.25);
  scheduler_.Advance(absl::Seconds(4));
  EXPECT_EQ(b->limits.Limit(target_), 1.25);
  Respond(a.get(), std::nullopt);
  scheduler_.Advance(absl::Seconds(4));
  EXPECT_EQ(b->limits.Limit(target_), std::nullopt);
}

TEST_F(RateLimitSyncTest, AReportIsWrittenOnlyWhenItChanges) {
  const auto a = Start("a");
  scheduler_.Advance(absl::Seconds(5));
  EXPECT_EQ(table_.writes["limits/a"], 0);
  Respond(a.get(), 1);
  scheduler_.Advance(absl::Seconds(20));
  EXPECT_EQ(table_.writes["limits/a"], 1);
  // The time of the last response is refreshed at intervals.
  for (int n = 0; n < 120; ++n) {
    Respond(a.get(), 1);
    scheduler_.Advance(absl::Milliseconds(100));
  }
  EXPECT_GE(table_.writes["limits/a"], 4);
  EXPECT_LE(table_.writes["limits/a"], 6);
}

TEST_F(RateLimitSyncTest, AFailedWriteOfAReportIsRepeated) {
  const auto a = Start("a");
  const auto b = Start("b");
  scheduler_.Advance(absl::Seconds(5));
  table_.rejects_writes = true;
  Respond(a.get(), 1);
  scheduler_.Advance(absl::Seconds(5));
  EXPECT_EQ(b->limits.Limit(target_), std::nullopt);
  table_.rejects_writes = false;
  scheduler_.Advance(absl::Seconds(5));
  EXPECT_EQ(b->limits.Limit(target_), 1);
}

TEST_F(RateLimitSyncTest, InstancesAreConfirmedWhileHeartbeatsAreAcknowledged) {
  const auto a = Start("a");
  const auto b = Start("b");
  EXPECT_FALSE(a->confirmed);
  scheduler_.Advance(absl::Seconds(5));
  EXPECT_TRUE(a->confirmed);
  EXPECT_THAT(a->live, UnorderedElementsAre("a", "b"));
  table_.rejects_writes = true;
  scheduler_.Advance(absl::Seconds(1));
  EXPECT_FALSE(a->confirmed);
  // Heartbeats that can't be written show no end of an instance.
  scheduler_.Advance(absl::Seconds(20));
  EXPECT_THAT(a->live, UnorderedElementsAre("a", "b"));
  table_.rejects_writes = false;
  scheduler_.Advance(absl::Seconds(5));
  EXPECT_TRUE(a->confirmed);
}

// The instance used a part of its shares until the next read of the heartbeats.
TEST_F(RateLimitSyncTest, AnInstanceIsConfirmedByItsNextHeartbeat) {
  const auto a = Start("a");
  scheduler_.Advance(absl::Seconds(5));
  table_.rejects_writes = true;
  scheduler_.Advance(absl::Milliseconds(600));
  EXPECT_FALSE(a->confirmed);
  table_.rejects_writes = false;
  scheduler_.Advance(absl::Milliseconds(600));
  EXPECT_TRUE(a->confirmed);
}

TEST_F(RateLimitSyncTest, AnInstanceThatEndedIsNotLive) {
  const auto a = Start("a");
  auto b = Start("b");
  scheduler_.Advance(absl::Seconds(10));
  ASSERT_THAT(a->live, UnorderedElementsAre("a", "b"));
  // Its heartbeat doesn't change any more.
  table_.rows["c"] = table_.rows["b"];
  table_.rows["c"].key.key = "c";
  scheduler_.Advance(absl::Seconds(4));
  EXPECT_THAT(a->live, UnorderedElementsAre("a", "b", "c"));
  scheduler_.Advance(absl::Seconds(8));
  EXPECT_THAT(a->live, UnorderedElementsAre("a", "b"));
}

TEST_F(RateLimitSyncTest, AnInstanceThatLeavesRemovesItsRows) {
  const auto a = Start("a");
  scheduler_.Advance(absl::Seconds(5));
  Respond(a.get(), 1);
  scheduler_.Advance(absl::Seconds(1));
  ASSERT_TRUE(table_.rows.contains("limits/a"));
  a->registry.Leave();
  EXPECT_THAT(table_.rows, IsEmpty());
}

TEST_F(RateLimitSyncTest, TheReportOfAnUnknownInstanceIsRemoved) {
  const auto a = Start("a");
  PutReport("gone", EncodeRateLimitNotices({MakeNotice("t", 1, 5)}));
  scheduler_.Advance(absl::Seconds(5));
  EXPECT_FALSE(table_.rows.contains("limits/gone"));
  EXPECT_THAT(a->reports, IsEmpty());
  EXPECT_THAT(a->registry.OtherInstances(), IsEmpty());
}

TEST_F(RateLimitSyncTest, ARestartedInstanceReplacesItsOldReport) {
  PutReport("a", EncodeRateLimitNotices({MakeNotice("t", 1, 5)}));
  const auto a = Start("a");
  scheduler_.Advance(absl::Seconds(1));
  EXPECT_TRUE(table_.rows.contains("a"));
  EXPECT_FALSE(table_.rows.contains("limits/a"));
}

}  // namespace
}  // namespace wisteriareel
