#include "src/router/token_plane.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "test/fake_partition.h"
#include "test/manual_scheduler.h"

namespace wisteriareel {
namespace {

constexpr std::int64_t kPrepaid = 100'000;
constexpr std::int64_t kRequestTokens = 500;

// Runs what one process scheduled until that process ends.
class ProcessScheduler final : public Scheduler {
 public:
  explicit ProcessScheduler(ManualScheduler* scheduler)
      : scheduler_(scheduler) {}

  absl::Time Now() const override { return scheduler_->Now(); }
  void After(absl::Duration delay, std::function<void()> run) override {
    scheduler_->After(delay, [alive = std::weak_ptr<bool>(alive_), run] {
      if (!alive.expired()) run();
    });
  }

 private:
  ManualScheduler* const scheduler_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// The platform's rows, and which of its tables take calls.
struct Platform {
  static constexpr char kBudgets[] = "budgets";
  static constexpr char kMembers[] = "members";

  FakePartition rows;
  std::map<std::string, bool> is_away;
  // The rows of the members, which FakePartition doesn't list.
  std::map<PartitionRowKey, PartitionRow> members;
};

// One process's calls to the platform.
class ProcessTable final : public AsyncTable {
 public:
  ProcessTable(Platform* platform, Scheduler* scheduler)
      : platform_(platform), scheduler_(scheduler) {}

  std::uint64_t Era() const override { return 0; }
  std::optional<TableContact> LastContact() const override { return contact_; }
  std::optional<TableContact> LastCommitContact() const override {
    return commit_contact_;
  }
  void Commit(const PartitionTransaction& transaction,
              CommitDone done) override {
    const std::string& table = transaction.writes.front().key.table;
    CommitReply reply{.outcome = CommitOutcome::kRejected};
    if (!platform_->is_away[table]) {
      reply = platform_->rows.Commit(transaction);
      commit_contact_ = contact_ = Contact();
      if (table == Platform::kMembers) {
        for (const PartitionRowWrite& write : transaction.writes) {
          platform_->members[write.key] = {.key = write.key,
                                           .value = write.value.value_or(""),
                                           .version = reply.version};
        }
      }
    }
    scheduler_->After(absl::Milliseconds(5),
                      [done = std::move(done), reply] { done(reply); });
  }
  void Read(const std::string& table, const std::string& /*partition*/,
            ReadDone done) override {
    std::optional<RowsReply> reply;
    if (!platform_->is_away[table]) {
      contact_ = Contact();
      reply.emplace();
      for (const auto& [key, row] : platform_->members) {
        if (key.table == table) reply->rows.push_back(row);
      }
    }
    scheduler_->After(absl::Milliseconds(5), [done = std::move(done), reply] {
      done(reply, LastReason());
    });
  }
  void PollChanges(const std::string& /*table*/,
                   const TableVersion& /*version*/, absl::Duration /*wait*/,
                   PollDone /*done*/) override {}

 private:
  TableContact Contact() const {
    return {.platform_ms = absl::ToUnixMillis(scheduler_->Now()),
            .sent = scheduler_->Now(),
            .received = scheduler_->Now()};
  }

  Platform* const platform_;
  Scheduler* const scheduler_;
  std::optional<TableContact> contact_;
  std::optional<TableContact> commit_contact_;
};

class UnreachablePeers final : public PeerClient {
 public:
  explicit UnreachablePeers(Scheduler* scheduler) : scheduler_(scheduler) {}

  void Send(const Endpoint& /*peer*/, const std::string& /*path*/,
            absl::Duration timeout, Done done) override {
    scheduler_->After(timeout,
                      [done = std::move(done)] { done(std::nullopt); });
  }

 private:
  Scheduler* const scheduler_;
};

// A process of the only instance.
class Process final : private TokenPlaneOwner {
 public:
  Process(int incarnation, Platform* platform, ManualScheduler* scheduler)
      : scheduler_(scheduler),
        table_(platform, &scheduler_),
        peers_(&scheduler_),
        random_(MakeSeededRandom(static_cast<std::uint64_t>(incarnation))),
        plane_({.instance = InstanceId("i"),
                .incarnation = absl::StrCat("incarnation", incarnation),
                .address = {.host = "10.0.0.1", .port = 1}},
               {.table = &table_,
                .peers = &peers_,
                .scheduler = &scheduler_,
                .random = random_.get(),
                .log = DiscardEvents(),
                .owner = static_cast<TokenPlaneOwner*>(this)}) {
    plane_.Start();
  }

  void ApplyBudget() { plane_.ApplyConfig(MakeConfig(kPrepaid)); }

  // Serves a request if there are tokens for it, and returns those it consumed.
  std::int64_t Serve() {
    const Tokens amount(kRequestTokens);
    if (plane_.ledger()->Reserve(kCustomer, amount, scheduler_.Now()) !=
        ReserveResult::kReserved) {
      plane_.OnWaitingForTokens();
      return 0;
    }
    plane_.ledger()->Settle(kCustomer, amount, amount, /*delivered=*/true);
    return kRequestTokens;
  }

 private:
  void OnInstancesCounted(int /*count*/) override {}
  void OnTokensChanged(const CustomerId& /*customer*/) override {}

  ProcessScheduler scheduler_;
  ProcessTable table_;
  UnreachablePeers peers_;
  const std::unique_ptr<RandomSource> random_;
  TokenPlane plane_;
};

class SuccessiveProcessesTest : public ::testing::Test {
 protected:
  void StartProcess() {
    process_ =
        std::make_unique<Process>(++incarnations_, &platform_, &scheduler_);
  }
  // Ends the process without notice.
  void Kill() { process_.reset(); }

  // Sends a request each 50 ms and returns the tokens that were consumed.
  std::int64_t ServeFor(absl::Duration duration) {
    std::int64_t consumed = 0;
    for (absl::Duration elapsed; elapsed < duration;
         elapsed += absl::Milliseconds(50)) {
      consumed += process_->Serve();
      scheduler_.Advance(absl::Milliseconds(50));
    }
    return consumed;
  }

  // Runs a process that uses tokens while the platform is away, and is killed.
  std::int64_t ServeThroughOutage() {
    StartProcess();
    process_->ApplyBudget();
    scheduler_.Advance(absl::Seconds(5));
    const std::int64_t consumed = ServeFor(absl::Seconds(4));
    platform_.is_away[Platform::kBudgets] = true;
    platform_.is_away[Platform::kMembers] = true;
    const std::int64_t in_outage = ServeFor(absl::Seconds(4));
    EXPECT_GT(in_outage, 0);
    Kill();
    scheduler_.Advance(absl::Milliseconds(800));
    platform_.is_away[Platform::kMembers] = false;
    return consumed + in_outage;
  }

  // Runs the last process to the end of the budget.
  std::int64_t ServeToTheEnd() {
    scheduler_.Advance(absl::Milliseconds(800));
    platform_.is_away[Platform::kBudgets] = false;
    StartProcess();
    process_->ApplyBudget();
    return ServeFor(absl::Minutes(3));
  }

  ManualScheduler scheduler_;
  Platform platform_;
  int incarnations_ = 0;
  std::unique_ptr<Process> process_;
};

TEST_F(SuccessiveProcessesTest, ABudgetIsUsedOnceAfterOneKill) {
  const std::int64_t consumed = ServeThroughOutage();
  EXPECT_LE(consumed + ServeToTheEnd(), kPrepaid);
}

// Tokens that were used in an outage were used again: the process after it
// stated a contact without having read what its predecessor held, and was
// killed too.
TEST_F(SuccessiveProcessesTest, ABudgetIsUsedOnceIfAProcessCannotReadItsRow) {
  const std::int64_t consumed = ServeThroughOutage();
  StartProcess();
  process_->ApplyBudget();
  scheduler_.Advance(absl::Milliseconds(1500));
  Kill();
  EXPECT_LE(consumed + ServeToTheEnd(), kPrepaid);
}

// The same for a process that doesn't know the customer.
TEST_F(SuccessiveProcessesTest, ABudgetIsUsedOnceIfAProcessDoesNotKnowOfIt) {
  const std::int64_t consumed = ServeThroughOutage();
  StartProcess();
  scheduler_.Advance(absl::Milliseconds(1500));
  Kill();
  EXPECT_LE(consumed + ServeToTheEnd(), kPrepaid);
}

// The same for several such processes in a row.
TEST_F(SuccessiveProcessesTest, ABudgetIsUsedOnceAfterManyShortLives) {
  const std::int64_t consumed = ServeThroughOutage();
  for (int n = 0; n < 4; ++n) {
    StartProcess();
    process_->ApplyBudget();
    scheduler_.Advance(absl::Milliseconds(1500));
    Kill();
    scheduler_.Advance(absl::Milliseconds(500));
  }
  EXPECT_LE(consumed + ServeToTheEnd(), kPrepaid);
}

// A process whose heartbeat was removed while it was away doesn't look for its
// rows, so its contacts say nothing of them.
TEST_F(SuccessiveProcessesTest, ABudgetIsUsedOnceAfterTheHeartbeatWasRemoved) {
  const std::int64_t consumed = ServeThroughOutage();
  platform_.members.clear();
  StartProcess();
  process_->ApplyBudget();
  scheduler_.Advance(absl::Milliseconds(1500));
  Kill();
  EXPECT_LE(consumed + ServeToTheEnd(), kPrepaid);
}

// The last process before the outage wrote rows, but no heartbeat.
TEST_F(SuccessiveProcessesTest, ABudgetIsUsedOnceIfNoHeartbeatWasWritten) {
  for (int n = 0; n < 2; ++n) {
    StartProcess();
    scheduler_.Advance(absl::Seconds(3));
    Kill();
    scheduler_.Advance(absl::Milliseconds(800));
  }
  StartProcess();
  scheduler_.Advance(absl::Milliseconds(3));
  platform_.is_away[Platform::kMembers] = true;
  process_->ApplyBudget();
  scheduler_.Advance(absl::Seconds(5));
  std::int64_t consumed = ServeFor(absl::Seconds(4));
  platform_.is_away[Platform::kBudgets] = true;
  const std::int64_t in_outage = ServeFor(absl::Seconds(4));
  EXPECT_GT(in_outage, 0);
  Kill();
  platform_.is_away[Platform::kMembers] = false;
  consumed += in_outage;
  EXPECT_LE(consumed + ServeToTheEnd(), kPrepaid);
}

// What is held by a process that is killed twice in a row isn't lost once the
// process between read its row.
TEST_F(SuccessiveProcessesTest, HeldTokensSurviveTwoKillsWithoutAnOutage) {
  StartProcess();
  process_->ApplyBudget();
  scheduler_.Advance(absl::Seconds(5));
  std::int64_t consumed = ServeFor(absl::Seconds(4));
  for (int n = 0; n < 2; ++n) {
    Kill();
    scheduler_.Advance(absl::Milliseconds(800));
    StartProcess();
    process_->ApplyBudget();
    scheduler_.Advance(absl::Seconds(10));
  }
  consumed += ServeFor(absl::Minutes(3));
  EXPECT_LE(consumed, kPrepaid);
  EXPECT_GE(consumed, kPrepaid * 9 / 10);
}

}  // namespace
}  // namespace wisteriareel
