#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boost/asio/io_context.hpp"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/router/instance_registry.h"
#include "src/router/peer_config_fetcher.h"
#include "src/router/route_config_poller.h"
#include "src/router/router_settings.h"
#include "src/router/target_list_poller.h"
#include "test/manual_scheduler.h"
#include "test/scripted_target.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {
namespace {

// Source whose callbacks the test invokes.
class ScriptedSource final : public DeploymentSource {
 public:
  void ReadConfig(ConfigDone done) override { read = std::move(done); }
  void PollConfig(const TableVersion& position, absl::Duration /*wait*/,
                  ConfigPollDone done) override {
    polled_from = position.number;
    poll = std::move(done);
  }
  void ListTargets(TargetsDone done) override { list = std::move(done); }
  std::optional<ParsedConfig> ParseConfig(const std::string& text,
                                          LastReason* reason) const override {
    if (text.empty()) {
      reason->Set(Reason::kMalformed, "empty");
      return std::nullopt;
    }
    return MakeConfig(std::stoull(text));
  }

  static ParsedConfig MakeConfig(std::uint64_t revision) {
    return {
        .table = std::make_shared<const RouteTable>(
            RouteConfig{.revision = Revision(revision)}),
        .text = std::make_shared<const std::string>(absl::StrCat(revision))};
  }

  ConfigDone read;
  ConfigPollDone poll;
  TargetsDone list;
  std::uint64_t polled_from = 0;
};

class RouteConfigPollerTest : public ::testing::Test {
 protected:
  RouteConfigPollerTest()
      : router_({}),
        poller_({}, &source_, &router_, &scheduler_, DiscardEvents(),
                [this] { ++applied_; }) {
    poller_.Start();
  }

  std::uint64_t Revision() const {
    return router_.table() == nullptr
               ? 0
               : router_.table()->config().revision.value();
  }
  void CompleteRead(std::uint64_t revision, std::uint64_t position) {
    std::exchange(source_.read, nullptr)(
        PositionedConfig{.config = ScriptedSource::MakeConfig(revision),
                         .position = {.number = position}});
  }
  void CompletePoll(const ConfigPollResult& result) {
    std::exchange(source_.poll, nullptr)(result);
  }

  ManualScheduler scheduler_;
  ScriptedSource source_;
  RequestRouter router_;
  int applied_ = 0;
  RouteConfigPoller poller_;
};

TEST_F(RouteConfigPollerTest, PollsFromThePositionOfTheLastRead) {
  CompleteRead(5, 100);
  EXPECT_EQ(Revision(), 5U);
  EXPECT_EQ(source_.polled_from, 100U);
  CompletePoll({.outcome = ConfigPollResult::Outcome::kRead,
                .snapshot = {.config = ScriptedSource::MakeConfig(8),
                             .position = {.number = 130}}});
  EXPECT_EQ(Revision(), 8U);
  EXPECT_EQ(source_.polled_from, 130U);
  EXPECT_EQ(applied_, 2);
}

TEST_F(RouteConfigPollerTest, AfterALostHistoryTheCompleteConfigurationIsRead) {
  CompleteRead(5, 100);
  CompletePoll({.outcome = ConfigPollResult::Outcome::kHistoryLost});
  ASSERT_NE(source_.read, nullptr);
  CompleteRead(9, 400);
  EXPECT_EQ(Revision(), 9U);
}

TEST_F(RouteConfigPollerTest, AFailureIsRetriedAndKeepsTheConfiguration) {
  CompleteRead(5, 100);
  CompletePoll({.outcome = ConfigPollResult::Outcome::kFailed});
  EXPECT_FALSE(poller_.source_available());
  EXPECT_EQ(Revision(), 5U);
  scheduler_.Advance(absl::Seconds(1));
  ASSERT_NE(source_.read, nullptr);
  CompleteRead(6, 200);
  EXPECT_TRUE(poller_.source_available());
  EXPECT_EQ(Revision(), 6U);
}

TEST_F(RouteConfigPollerTest, AnOlderConfigurationOfAPeerIsIgnored) {
  CompleteRead(5, 100);
  EXPECT_FALSE(poller_.ApplyPeerConfig("4"));
  EXPECT_EQ(Revision(), 5U);
  EXPECT_TRUE(poller_.ApplyPeerConfig("7"));
  EXPECT_EQ(Revision(), 7U);
  // The result of the pending poll is older than the configuration of the peer.
  CompletePoll({.outcome = ConfigPollResult::Outcome::kRead,
                .snapshot = {.config = ScriptedSource::MakeConfig(6),
                             .position = {.number = 130}}});
  EXPECT_EQ(Revision(), 7U);
}

TEST_F(RouteConfigPollerTest, TheConfigurationIsStaleWithoutAPollResponse) {
  CompleteRead(5, 100);
  EXPECT_FALSE(router_.IsStale(scheduler_.Now()));
  scheduler_.Advance(absl::Seconds(5));
  EXPECT_TRUE(router_.IsStale(scheduler_.Now()));
  CompletePoll({.outcome = ConfigPollResult::Outcome::kRead,
                .snapshot = {.position = {.number = 100}}});
  EXPECT_FALSE(router_.IsStale(scheduler_.Now()));
}

class PeerConfigFetcherTest
    : public RouteConfigPollerTest,
      public ::testing::WithParamInterface<std::string> {};

// A peer's response of another form threw in the event loop, which ended the
// process.
TEST_P(PeerConfigFetcherTest, AMalformedResponseChangesNothing) {
  CompleteRead(5, 100);
  scheduler_.Advance(absl::Seconds(5));
  ASSERT_TRUE(router_.IsStale(scheduler_.Now()));
  const ScriptedTarget peer([](int fd) {
    ScriptedTarget::ReadHead(fd);
    ScriptedTarget::Write(
        fd, absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ",
                         GetParam().size(), "\r\n\r\n", GetParam()));
  });
  boost::asio::io_context io;
  const auto random = MakeSeededRandom(1);
  PeerConfigFetcher fetcher(
      {}, &io, &scheduler_, random.get(), &router_, &poller_,
      [] { return true; },
      [&] {
        return std::vector<Endpoint>{
            {.host = "127.0.0.1", .port = peer.port()}};
      });
  fetcher.Start();
  EXPECT_NO_THROW(io.run());
  EXPECT_EQ(Revision(), 5U);
  EXPECT_TRUE(router_.IsStale(scheduler_.Now()));
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, PeerConfigFetcherTest,
    ::testing::Values(
        "", "no JSON", "{", "[]", "5", "null", "{}", R"({"revision":5})",
        R"({"fresh":true})", R"({"fresh":"yes","revision":5})",
        R"({"fresh":1,"revision":5})", R"({"fresh":null,"revision":5})",
        R"({"fresh":[],"revision":5})", R"({"fresh":true,"revision":"5"})",
        R"({"fresh":true,"revision":-5})", R"({"fresh":true,"revision":5.0})",
        R"({"fresh":true,"revision":18446744073709551616})",
        R"({"fresh":false,"revision":7,"config":7})",
        R"({"fresh":false,"revision":7,"config":""})",
        std::string(100000, '[')));

TEST(TargetListPollerTest, ListingContinuesAfterFailures) {
  ManualScheduler scheduler;
  ScriptedSource source;
  TargetPool pool({.zone = ZoneId("a")});
  std::vector<TargetId> removed;
  TargetListPoller poller(
      {}, &source, &pool, &scheduler, DiscardEvents(),
      [&removed](const TargetId& id) { removed.push_back(id); });
  poller.Start();
  const TargetEntry target{.id = TargetId("t"), .service = ServiceId("s")};
  std::exchange(source.list, nullptr)(std::vector<TargetEntry>{target});
  EXPECT_TRUE(pool.listed());
  scheduler.Advance(absl::Seconds(1));
  std::exchange(source.list, nullptr)(std::nullopt);
  EXPECT_FALSE(poller.source_available());
  EXPECT_NE(pool.Find(TargetId("t")), nullptr);
  scheduler.Advance(absl::Milliseconds(500));
  ASSERT_NE(source.list, nullptr);
  std::exchange(source.list, nullptr)(std::vector<TargetEntry>{});
  EXPECT_EQ(removed, std::vector<TargetId>{TargetId("t")});
}

// In-memory table with simulated outages.
class InMemoryTable final : public AsyncTable {
 public:
  explicit InMemoryTable(ManualScheduler* scheduler) : scheduler_(scheduler) {}

  std::optional<TableContact> LastCommitContact() const override {
    return LastContact();
  }
  std::uint64_t Era() const override { return era; }
  std::optional<TableContact> LastContact() const override {
    return std::nullopt;
  }
  void Commit(const PartitionTransaction& transaction,
              CommitDone done) override {
    if (unavailable || rejects_writes) {
      scheduler_->After(absl::Milliseconds(100), [done = std::move(done)] {
        done({.outcome = CommitOutcome::kUnknown});
      });
      return;
    }
    ++version_;
    for (const PartitionRowWrite& write : transaction.writes) {
      if (write.value.has_value()) {
        rows_[write.key.key] = {.key = write.key,
                                .value = *write.value,
                                .version = {.number = version_}};
      } else {
        rows_.erase(write.key.key);
      }
    }
    scheduler_->After(absl::Milliseconds(5), [done = std::move(done)] {
      done({.outcome = CommitOutcome::kCommitted});
    });
  }
  void Read(const std::string& /*table*/, const std::string& /*partition*/,
            ReadDone done) override {
    if (unavailable) {
      scheduler_->After(absl::Milliseconds(100), [done = std::move(done)] {
        done(std::nullopt, LastReason());
      });
      return;
    }
    RowsReply reply{.version = {.number = version_}};
    for (const auto& [key, row] : rows_) reply.rows.push_back(row);
    scheduler_->After(absl::Milliseconds(5), [done = std::move(done), reply] {
      done(reply, LastReason());
    });
  }
  void PollChanges(const std::string& /*table*/,
                   const TableVersion& /*version*/, absl::Duration /*wait*/,
                   PollDone /*done*/) override {}

  // Goes back to a copy in which `key` had no row.
  void RestoreWithout(const std::string& key) {
    rows_.erase(key);
    ++era;
  }

  bool unavailable = false;
  bool rejects_writes = false;
  std::uint64_t era = 1;

 private:
  ManualScheduler* const scheduler_;
  std::uint64_t version_ = 0;
  std::map<std::string, PartitionRow> rows_;
};

class RecordingOwner final : public InstanceRegistryOwner {
 public:
  void OnInstancesCounted(int n) override { count = n; }
  void OnPreviousIncarnation(
      const std::optional<InstanceHeartbeat>& last) override {
    previous = last;
  }
  std::optional<std::int64_t> ContactToReport() override { return 4711; }
  std::vector<EndedIncarnation> EndedIncarnations() override { return {}; }
  void OnInstancesListed(const std::vector<std::string>& /*names*/,
                         bool /*confirmed*/) override {}
  void OnRateLimitReport(const std::string& /*instance*/,
                         const std::string& /*report*/) override {}
  std::string RateLimitReport() override { return ""; }

  int count = 0;
  std::optional<InstanceHeartbeat> previous;
};

bool IsAnyInstance(const Endpoint& /*instance*/) { return true; }

class InstanceRegistryTest : public ::testing::Test {
 protected:
  std::unique_ptr<InstanceRegistry> StartInstance(int n,
                                                  RecordingOwner* owner) {
    auto registry = std::make_unique<InstanceRegistry>(
        InstanceRegistryOptions{
            .self = InstanceId(absl::StrCat("i", n)),
            .address = {.host = absl::StrCat("10.0.0.", n), .port = 1}},
        &table_, &scheduler_, owner);
    registry->Start();
    return registry;
  }

  ManualScheduler scheduler_;
  InMemoryTable table_{&scheduler_};
};

TEST_F(InstanceRegistryTest, InstancesFindEachOtherAndAgreeOnHomeInstances) {
  std::vector<RecordingOwner> owners(4);
  std::vector<std::unique_ptr<InstanceRegistry>> registries;
  registries.reserve(owners.size());
  for (int n = 0; n < 4; ++n)
    registries.push_back(StartInstance(n, &owners[n]));
  scheduler_.Advance(absl::Seconds(12));
  for (int customer = 0; customer < 20; ++customer) {
    int homes = 0;
    for (int n = 0; n < 4; ++n) {
      EXPECT_EQ(owners[n].count, 4);
      if (!registries[n]
               ->FindHomeInstance(absl::StrCat("c", customer), IsAnyInstance)
               .has_value())
        ++homes;
    }
    EXPECT_EQ(homes, 1);
  }
}

TEST_F(InstanceRegistryTest,
       HomeInstancesStayTheSameWhileTheTableIsUnavailable) {
  RecordingOwner owners[2];
  const auto first = StartInstance(0, &owners[0]);
  const auto second = StartInstance(1, &owners[1]);
  scheduler_.Advance(absl::Seconds(12));
  std::vector<std::optional<Endpoint>> homes;
  homes.reserve(20);
  for (int customer = 0; customer < 20; ++customer) {
    homes.push_back(
        first->FindHomeInstance(absl::StrCat("c", customer), IsAnyInstance));
  }
  ASSERT_THAT(homes, ::testing::Contains(std::nullopt));
  ASSERT_THAT(homes, ::testing::Contains(::testing::Ne(std::nullopt)));
  table_.unavailable = true;
  scheduler_.Advance(absl::Seconds(20));
  for (int customer = 0; customer < 20; ++customer) {
    EXPECT_EQ(
        first->FindHomeInstance(absl::StrCat("c", customer), IsAnyInstance),
        homes[customer]);
  }
}

// Guards against a listing that ends at the first row to be removed: the
// instances listed after it were unknown until the next listing.
TEST_F(InstanceRegistryTest, AnExpiredRowHidesNoOtherInstances) {
  RecordingOwner owners[2];
  // The row of an instance that never writes again; it is listed first.
  table_.Commit(
      {.writes = {{.key = {.table = "members", .partition = "", .key = "a"},
                   .value = EncodeInstanceHeartbeat(
                       {.address = {.host = "10.0.0.9", .port = 1}})}}},
      [](const CommitReply&) {});
  const auto observer = StartInstance(1, &owners[0]);
  const auto other = StartInstance(2, &owners[1]);
  scheduler_.Advance(absl::Seconds(12));
  ASSERT_EQ(observer->OtherInstances().size(), 2U);
  const absl::Time end = scheduler_.Now() + absl::Minutes(6);
  while (scheduler_.Now() < end) {
    scheduler_.Advance(absl::Milliseconds(100));
    ASSERT_THAT(observer->OtherInstances(),
                ::testing::Contains(Endpoint{.host = "10.0.0.2", .port = 1}));
  }
  EXPECT_EQ(observer->OtherInstances().size(), 1U);
}

// The load pattern: the platform answers reads and takes no writes, as when it
// is slow. Each instance took itself for the home of all customers then.
TEST_F(InstanceRegistryTest, HomeInstancesStayTheSameWhileNothingCanBeWritten) {
  RecordingOwner owners[2];
  const auto first = StartInstance(0, &owners[0]);
  const auto second = StartInstance(1, &owners[1]);
  scheduler_.Advance(absl::Seconds(12));
  std::vector<std::optional<Endpoint>> homes;
  homes.reserve(20);
  for (int customer = 0; customer < 20; ++customer) {
    homes.push_back(
        first->FindHomeInstance(absl::StrCat("c", customer), IsAnyInstance));
  }
  ASSERT_THAT(homes, ::testing::Contains(::testing::Ne(std::nullopt)));
  table_.rejects_writes = true;
  scheduler_.Advance(absl::Seconds(20));
  for (int customer = 0; customer < 20; ++customer) {
    EXPECT_EQ(
        first->FindHomeInstance(absl::StrCat("c", customer), IsAnyInstance),
        homes[customer]);
  }
}

// An instance that isn't asked for its rows after a restore may be the only one
// that knows some of them.
TEST_F(InstanceRegistryTest, AnInstanceStaysListedIfARestoreLosesItsRow) {
  RecordingOwner owners[2];
  const auto observer = StartInstance(0, &owners[0]);
  auto other = StartInstance(1, &owners[1]);
  scheduler_.Advance(absl::Seconds(12));
  ASSERT_EQ(observer->OtherInstances().size(), 1U);
  table_.rejects_writes = true;
  table_.RestoreWithout("i1");
  scheduler_.Advance(absl::Seconds(8));
  EXPECT_EQ(observer->OtherInstances().size(), 1U);
}

TEST_F(InstanceRegistryTest, TheNextInstanceInRankReplacesAnUnusableOne) {
  RecordingOwner owners[3];
  const auto first = StartInstance(0, &owners[0]);
  const auto second = StartInstance(1, &owners[1]);
  const auto third = StartInstance(2, &owners[2]);
  scheduler_.Advance(absl::Seconds(12));
  int replaced = 0;
  for (int customer = 0; customer < 20; ++customer) {
    const std::string key = absl::StrCat("c", customer);
    const auto home = first->FindHomeInstance(key, IsAnyInstance);
    if (!home.has_value()) continue;
    const auto deputy = first->FindHomeInstance(
        key, [&home](const Endpoint& instance) { return instance != *home; });
    EXPECT_NE(deputy, home);
    if (deputy.has_value()) ++replaced;
  }
  EXPECT_GT(replaced, 0);
}

TEST_F(InstanceRegistryTest, TheCountIsAtLeastTheAssumedOneAfterTheStart) {
  RecordingOwner owner;
  const auto registry = StartInstance(0, &owner);
  EXPECT_EQ(owner.count, InstanceRegistryOptions().assumed_instances);
  scheduler_.Advance(absl::Seconds(1));
  EXPECT_EQ(owner.count, InstanceRegistryOptions().assumed_instances);
  scheduler_.Advance(absl::Seconds(12));
  EXPECT_EQ(owner.count, 1);
}

TEST_F(InstanceRegistryTest, AnIncarnationReceivesThePreviousHeartbeat) {
  RecordingOwner first;
  auto registry = StartInstance(0, &first);
  EXPECT_EQ(first.previous, std::nullopt);
  scheduler_.Advance(absl::Seconds(3));
  RecordingOwner second;
  const auto next = StartInstance(0, &second);
  scheduler_.Advance(absl::Milliseconds(10));
  ASSERT_TRUE(second.previous.has_value());
  EXPECT_EQ(second.previous->contact_ms, 4711);
}

TEST(InstanceHeartbeatTest, NamesTheIncarnationThatWroteIt) {
  const InstanceHeartbeat heartbeat{.address = {.host = "10.0.0.1", .port = 2},
                                    .number = 3,
                                    .contact_ms = 4,
                                    .incarnation = "ab12",
                                    .ended = {{"cd34", 5, 6}, {"ef56", 7, 8}}};
  EXPECT_EQ(DecodeInstanceHeartbeat(EncodeInstanceHeartbeat(heartbeat)),
            heartbeat);
  // As an old build wrote it.
  const auto old = DecodeInstanceHeartbeat("10.0.0.1 2 3 4");
  ASSERT_TRUE(old.has_value());
  EXPECT_EQ(old->incarnation, "");
  for (const char* bad : {"10.0.0.1 2 3 4 ab12 5", "10.0.0.1 2 3 4 a b 1 x",
                          "10.0.0.1 2 3 4 a b x 1"}) {
    EXPECT_EQ(DecodeInstanceHeartbeat(bad), std::nullopt) << bad;
  }
}

TEST(RouterSettingsTest, ARenderedTemplateIsParsed) {
  std::vector<SettingsProblem> problems;
  const auto settings = ParseRouterSettings(R"({
    // As the platform renders it.
    "instance": {"id": "front-a-1", "zone": "a"},
    "listen": {"callers": "10.1.0.40:8227", "ready": "10.1.0.40:8220",
               "peers": "10.1.0.40:8229"},
    "table": "10.200.1.7:8223",
    "seeds": [{"address": "10.1.0.40:8229" },{"address": "10.2.0.29:8229" }],
    "repeats": {"ratio": 0.2, "slack": 56, "window_s": 10},
    "link_mbps": 10.0,
    "machine": {"memory_mb": 88, "max_descriptors": 4100},
    "shutdown_grace_s": 8.5
  })",
                                            &problems);
  EXPECT_EQ(FormatProblems(problems), "");
  ASSERT_TRUE(settings.has_value());
  EXPECT_EQ(settings->seeds.size(), 2U);
  EXPECT_EQ(settings->shutdown_grace, absl::Milliseconds(8500));
  EXPECT_EQ(settings->retry.slack, 56);
  EXPECT_EQ(settings->machine,
            (RouterMachineSettings{.memory_mb = 88, .max_descriptors = 4100}));
}

TEST(RouterSettingsTest, AMachineThatIsTooSmallIsRejected) {
  std::vector<SettingsProblem> problems;
  EXPECT_EQ(ParseRouterSettings(R"({
    "instance": {"id": "front-a-1", "zone": "a"},
    "listen": {"callers": "10.1.0.40:8227", "ready": "10.1.0.40:8220",
               "peers": "10.1.0.40:8229"},
    "table": "10.200.1.7:8223",
    "machine": {"memory_mb": 0, "max_descriptors": 10}})",
                                &problems),
            std::nullopt);
  EXPECT_EQ(problems.size(), 2U);
}

TEST(RouterSettingsTest, AllProblemsAreListed) {
  std::vector<SettingsProblem> problems;
  EXPECT_EQ(ParseRouterSettings(R"({
    "instance": {"id": "", "zone": "a"},
    "listen": {"callers": "nowhere", "ready": "10.1.0.40:8220",
               "peers": "10.1.0.40:0"},
    "table": "10.200.1.7:8223", "colour": "red"})",
                                &problems),
            std::nullopt);
  EXPECT_EQ(problems.size(), 4U);
}

}  // namespace
}  // namespace wisteriareel
