#include "src/router/quarantine_sync.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "test/manual_scheduler.h"

namespace wisteriareel {
namespace {

using ::testing::IsEmpty;
using ::testing::SizeIs;

constexpr absl::Duration kTableTime = absl::Milliseconds(8);

// The platform's table as one instance reaches it. All copies share the rows.
class FleetTable final : public AsyncTable {
 public:
  struct Rows {
    std::map<PartitionRowKey, PartitionRow> rows;
    std::uint64_t version = 0;
    int commits = 0;
    std::vector<std::function<void()>> polls;
  };

  FleetTable(ManualScheduler* scheduler, Rows* rows)
      : scheduler_(scheduler), rows_(rows) {}

  void SetAvailable(bool available) { available_ = available; }

  std::uint64_t Era() const override { return 0; }
  std::optional<TableContact> LastContact() const override { return contact_; }
  std::optional<TableContact> LastCommitContact() const override {
    return contact_;
  }
  void Commit(const PartitionTransaction& transaction,
              CommitDone done) override {
    scheduler_->After(kTableTime, [this, transaction, done = std::move(done)] {
      if (!available_) {
        done({.outcome = CommitOutcome::kUnknown});
        return;
      }
      RecordContact();
      ++rows_->commits;
      ++rows_->version;
      for (const PartitionRowWrite& write : transaction.writes) {
        if (!write.value.has_value()) {
          rows_->rows.erase(write.key);
          continue;
        }
        rows_->rows[write.key] = {.key = write.key,
                                  .value = *write.value,
                                  .version = {.number = rows_->version}};
      }
      done({.outcome = CommitOutcome::kCommitted,
            .version = {.number = rows_->version}});
      for (auto& poll : std::exchange(rows_->polls, {})) poll();
    });
  }
  void Read(const std::string& /*table*/, const std::string& /*partition*/,
            ReadDone done) override {
    scheduler_->After(kTableTime, [this, done = std::move(done)] {
      if (!available_) {
        done(std::nullopt, LastReason());
        return;
      }
      RecordContact();
      done(RowsAfter(0), LastReason());
    });
  }
  void PollChanges(const std::string& table, const TableVersion& version,
                   absl::Duration wait, PollDone done) override {
    scheduler_->After(kTableTime, [=, this, done = std::move(done)] {
      if (!available_) {
        done({}, LastReason());
        return;
      }
      RowsReply changes = RowsAfter(version.number);
      if (changes.rows.empty()) {
        rows_->polls.push_back(
            [=, this] { PollChanges(table, version, wait, done); });
        return;
      }
      done({.outcome = PollOutcome::kChanges, .changes = std::move(changes)},
           LastReason());
    });
  }

 private:
  void RecordContact() {
    contact_ = TableContact{
        .platform_ms = absl::ToUnixMillis(scheduler_->Now()) + 5000,
        .sent = scheduler_->Now(),
        .received = scheduler_->Now()};
  }
  RowsReply RowsAfter(std::uint64_t version) const {
    RowsReply reply{.version = {.number = rows_->version}};
    for (const auto& [key, row] : rows_->rows) {
      if (row.version.number > version) reply.rows.push_back(row);
    }
    return reply;
  }

  ManualScheduler* const scheduler_;
  Rows* const rows_;
  bool available_ = true;
  std::optional<TableContact> contact_;
};

class Fleet;

struct FleetPeers final : public PeerClient {
  FleetPeers(Fleet* fleet, std::size_t self) : fleet(fleet), self(self) {}
  void Send(const Endpoint& peer, const std::string& path,
            absl::Duration timeout, Done done) override;

  Fleet* const fleet;
  const std::size_t self;
  int sent = 0;
};

struct Instance {
  Instance(Fleet* fleet, std::size_t number, const std::string& id);

  FleetTable table;
  FleetPeers peers;
  std::unique_ptr<RandomSource> random;
  PromptQuarantine quarantine;
  bool isolated = false;
  int notified = 0;
  std::unique_ptr<QuarantineSync> sync;
};

class Fleet {
 public:
  explicit Fleet(std::size_t size) {
    for (std::size_t n = 0; n < size; ++n) Start(absl::StrCat("i", n));
  }

  void Start(const std::string& id) {
    instances.push_back(std::make_unique<Instance>(this, instances.size(), id));
    instances.back()->sync->Start();
  }

  void SetTableAvailable(bool available) {
    for (const auto& instance : instances) {
      instance->table.SetAvailable(available);
    }
  }

  void Crash(std::size_t instance, const std::vector<std::string>& ids) {
    ++crashes_;
    RequestInfo request{.id = RequestId(absl::StrCat("q", crashes_))};
    for (const std::string& id : ids) {
      request.prompt_segments.push_back({.id = id});
    }
    instances[instance]->quarantine.RecordCrash(
        request, {.id = TargetId(absl::StrCat("t", crashes_))}, true,
        scheduler.Now());
  }

  bool IsRefused(std::size_t instance, const std::vector<std::string>& ids) {
    std::vector<PromptSegment> segments;
    segments.reserve(ids.size());
    for (const std::string& id : ids) segments.push_back({.id = id});
    return instances[instance]
        ->quarantine.Find(segments, scheduler.Now())
        .has_value();
  }

  int CountRefusing(const std::vector<std::string>& ids) {
    int count = 0;
    for (std::size_t n = 0; n < instances.size(); ++n) {
      if (IsRefused(n, ids)) ++count;
    }
    return count;
  }

  ManualScheduler scheduler;
  FleetTable::Rows rows;
  std::vector<std::unique_ptr<Instance>> instances;

 private:
  int crashes_ = 0;
};

void FleetPeers::Send(const Endpoint& peer, const std::string& path,
                      absl::Duration timeout, Done done) {
  ++sent;
  fleet->scheduler.After(absl::Milliseconds(2), [=, this] {
    Instance* const other = fleet->instances[peer.port].get();
    if (other->isolated || fleet->instances[self]->isolated) {
      fleet->scheduler.After(timeout, [done] { done(std::nullopt); });
      return;
    }
    const std::optional<std::string> body =
        other->sync->HandlePeerRequest(path);
    done(PeerResponse{.accepted = body.has_value(), .body = body.value_or("")});
  });
}

Instance::Instance(Fleet* fleet, std::size_t number, const std::string& id)
    : table(&fleet->scheduler, &fleet->rows),
      peers(fleet, number),
      random(MakeSeededRandom(number + 1)),
      sync(std::make_unique<QuarantineSync>(
          QuarantineSyncOptions{.self = InstanceId(id)},
          QuarantineSyncDependencies{
              .quarantine = &quarantine,
              .table = &table,
              .peers = &peers,
              .scheduler = &fleet->scheduler,
              .random = random.get(),
              .log = DiscardEvents(),
              .list_peers =
                  [fleet, number] {
                    std::vector<Endpoint> others;
                    for (std::size_t n = 0; n < fleet->instances.size(); ++n) {
                      if (n == number) continue;
                      others.push_back(
                          {.host = "h", .port = static_cast<std::uint16_t>(n)});
                    }
                    return others;
                  },
              .quarantined = [this] { ++notified; }})) {}

const std::vector<std::string> kBad = {"a", "dead", "own"};

TEST(QuarantineSyncTest, CrashesSeenByDifferentInstancesAddUpEverywhere) {
  Fleet fleet(95);
  fleet.scheduler.Advance(absl::Seconds(1));
  for (const std::size_t n : {3, 40, 77}) {
    fleet.Crash(n, kBad);
    fleet.scheduler.Advance(absl::Milliseconds(300));
  }
  EXPECT_EQ(fleet.CountRefusing(kBad), 95);
  EXPECT_EQ(fleet.CountRefusing({"a", "own"}), 0);
  // Each crash costs one write, however many instances there are.
  EXPECT_EQ(fleet.rows.commits, 3);
  fleet.scheduler.Advance(absl::Seconds(1));
  EXPECT_EQ(fleet.instances[0]->notified, 1);
}

TEST(QuarantineSyncTest, InstancesTellEachOtherWhileTheTableIsUnavailable) {
  Fleet fleet(8);
  fleet.scheduler.Advance(absl::Seconds(1));
  fleet.SetTableAvailable(false);
  fleet.scheduler.Advance(absl::Seconds(16));
  for (const std::size_t n : {1, 3, 5}) fleet.Crash(n, kBad);
  fleet.scheduler.Advance(absl::Seconds(3));
  EXPECT_EQ(fleet.CountRefusing(kBad), 8);
}

// The table answers the polls that wait, but no write.
TEST(QuarantineSyncTest, EvidenceOfAnOutageIsPublishedAfterIt) {
  Fleet fleet(3);
  fleet.scheduler.Advance(absl::Seconds(1));
  for (const auto& instance : fleet.instances) instance->isolated = true;
  fleet.SetTableAvailable(false);
  for (const std::size_t n : {0, 1, 2}) fleet.Crash(n, kBad);
  fleet.scheduler.Advance(absl::Seconds(5));
  EXPECT_EQ(fleet.CountRefusing(kBad), 0);
  fleet.SetTableAvailable(true);
  fleet.scheduler.Advance(absl::Seconds(1));
  EXPECT_EQ(fleet.CountRefusing(kBad), 3);
}

TEST(QuarantineSyncTest, AnInstanceThatReachesOnlyTheTableLearns) {
  Fleet fleet(4);
  fleet.scheduler.Advance(absl::Seconds(1));
  fleet.instances[0]->isolated = true;
  for (const std::size_t n : {1, 2, 3}) fleet.Crash(n, kBad);
  fleet.scheduler.Advance(absl::Seconds(1));
  EXPECT_TRUE(fleet.IsRefused(0, kBad));
}

TEST(QuarantineSyncTest, AnInstanceThatReachesOnlyOthersLearnsAndTells) {
  Fleet fleet(4);
  fleet.scheduler.Advance(absl::Seconds(1));
  fleet.instances[0]->table.SetAvailable(false);
  for (const std::size_t n : {0, 1, 2}) fleet.Crash(n, kBad);
  fleet.scheduler.Advance(absl::Seconds(3));
  EXPECT_EQ(fleet.CountRefusing(kBad), 4);
}

TEST(QuarantineSyncTest, ANewInstanceKnowsTheQuarantineWhenItHasReadTheRows) {
  Fleet fleet(3);
  fleet.scheduler.Advance(absl::Seconds(1));
  for (const std::size_t n : {0, 1, 2}) fleet.Crash(n, kBad);
  fleet.scheduler.Advance(absl::Seconds(1));
  fleet.Start("i9");
  fleet.scheduler.Advance(absl::Milliseconds(100));
  EXPECT_TRUE(fleet.IsRefused(3, kBad));
}

// All instances are killed at once and keep what they knew in their rows, which
// the next incarnations don't overwrite.
TEST(QuarantineSyncTest, AQuarantineOutlivesAllInstances) {
  Fleet fleet(3);
  fleet.scheduler.Advance(absl::Seconds(1));
  for (const std::size_t n : {0, 1, 2}) fleet.Crash(n, kBad);
  fleet.scheduler.Advance(absl::Seconds(1));
  Fleet next(0);
  next.scheduler.Advance(fleet.scheduler.Now() - next.scheduler.Now());
  next.rows = fleet.rows;
  next.rows.polls.clear();
  for (const char* id : {"i0", "i1", "i2"}) next.Start(id);
  next.scheduler.Advance(absl::Milliseconds(100));
  EXPECT_EQ(next.CountRefusing(kBad), 3);
  next.Crash(0, {"b", "other", "own"});
  next.scheduler.Advance(absl::Seconds(1));
  next.Start("i3");
  next.scheduler.Advance(absl::Milliseconds(100));
  EXPECT_TRUE(next.IsRefused(3, kBad));
}

TEST(QuarantineSyncTest, ASegmentThatOneInstanceServesIsClearedEverywhere) {
  Fleet fleet(20);
  fleet.scheduler.Advance(absl::Seconds(1));
  for (std::size_t n = 10; n < 20; ++n) {
    fleet.instances[n]->quarantine.RecordProof({{.id = "a"}, {.id = "own"}},
                                               fleet.scheduler.Now());
  }
  fleet.scheduler.Advance(absl::Seconds(1));
  for (std::size_t n = 0; n < 6; ++n) {
    fleet.Crash(n, {"a", absl::StrCat("dead", n % 2), "own"});
    fleet.scheduler.Advance(absl::Milliseconds(100));
  }
  const int commits = fleet.rows.commits;
  fleet.scheduler.Advance(absl::Seconds(1));
  EXPECT_EQ(fleet.CountRefusing({"a", "own"}), 0);
  EXPECT_EQ(fleet.CountRefusing({"a", "dead1", "own"}), 20);
  // Few of the ten instances that could clear the segment do so.
  EXPECT_LE(commits, 6 + 5);
}

TEST(QuarantineSyncTest, ARowThatHasOnlyProofsIsKept) {
  Fleet fleet(2);
  fleet.scheduler.Advance(absl::Seconds(1));
  fleet.instances[1]->quarantine.RecordProof({{.id = "a"}, {.id = "own"}},
                                             fleet.scheduler.Now());
  for (int n = 0; n < 2; ++n) fleet.Crash(0, {"a", "own"});
  fleet.scheduler.Advance(absl::Seconds(1));
  ASSERT_THAT(fleet.rows.rows, SizeIs(2));
  fleet.Start("i2");
  fleet.scheduler.Advance(absl::Seconds(1));
  EXPECT_THAT(fleet.rows.rows, SizeIs(2));
}

// One write fails while the table answers polls.
TEST(QuarantineSyncTest, InstancesStopAskingEachOtherAfterASuccessfulWrite) {
  Fleet fleet(2);
  fleet.scheduler.Advance(absl::Seconds(1));
  fleet.instances[0]->table.SetAvailable(false);
  fleet.Crash(0, kBad);
  fleet.scheduler.Advance(absl::Milliseconds(100));
  fleet.instances[0]->table.SetAvailable(true);
  fleet.scheduler.Advance(absl::Seconds(3));
  const int sent = fleet.instances[0]->peers.sent;
  fleet.scheduler.Advance(absl::Seconds(5));
  EXPECT_EQ(fleet.instances[0]->peers.sent, sent);
}

TEST(QuarantineSyncTest, RowsOfExpiredEvidenceAreRemoved) {
  Fleet fleet(2);
  fleet.scheduler.Advance(absl::Seconds(1));
  fleet.Crash(0, kBad);
  fleet.scheduler.Advance(absl::Minutes(11));
  EXPECT_THAT(fleet.rows.rows, SizeIs(1));
  fleet.Start("i2");
  fleet.scheduler.Advance(absl::Seconds(1));
  EXPECT_THAT(fleet.rows.rows, IsEmpty());
}

TEST(PromptEvidenceCodecTest, EvidenceIsDecodedAsItWasEncoded) {
  const absl::Time epoch = absl::UnixEpoch() + absl::Hours(2);
  const PromptEvidence evidence = {
      .crashes = {{.id = 1,
                   .target_run = 0xffffffffffffffff,
                   .segments = {2, 0},
                   .response_begun = true,
                   .at = epoch - absl::Seconds(3)},
                  {.id = 5,
                   .target_run = 6,
                   .segments = {7},
                   .at = epoch + absl::Milliseconds(1)}},
      .proofs = {{.segment = 9, .at = epoch}}};
  EXPECT_EQ(
      DecodePromptEvidence(EncodePromptEvidence(evidence, epoch, 1000), epoch),
      evidence);
}

TEST(PromptEvidenceCodecTest, MalformedEntriesAreSkipped) {
  const absl::Time epoch = absl::UnixEpoch();
  EXPECT_EQ(DecodePromptEvidence("", epoch), PromptEvidence());
  EXPECT_EQ(DecodePromptEvidence("b;b,,,,;b,1,2,x,3;b,1,2,3,;w,1,2,3,g;p,1;"
                                 "p,1,99999999999999999999;x,1,2;%00;,,,;;",
                                 epoch),
            PromptEvidence());
  const std::string segments(10000, '.');
  EXPECT_EQ(DecodePromptEvidence("b,1,2,3," + segments, epoch),
            PromptEvidence());
  EXPECT_THAT(DecodePromptEvidence("?;b,1,2,3,4;?", epoch).crashes, SizeIs(1));
}

TEST(PromptEvidenceCodecTest, TheTextIsAtMostAsLongAsAllowed) {
  PromptEvidence evidence;
  for (std::uint64_t n = 0; n < 100; ++n) {
    evidence.crashes.push_back(
        {.id = n, .target_run = n, .segments = {1}, .at = absl::UnixEpoch()});
  }
  const std::string text =
      EncodePromptEvidence(evidence, absl::UnixEpoch(), 100);
  EXPECT_LE(text.size(), 100);
  EXPECT_EQ(DecodePromptEvidence(text, absl::UnixEpoch()).crashes.front(),
            evidence.crashes.front());
}

}  // namespace
}  // namespace wisteriareel
