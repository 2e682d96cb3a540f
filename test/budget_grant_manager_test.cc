#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "src/budget/grant_manager.h"
#include "src/budget/grant_reclaimer.h"
#include "src/budget/journal_writer.h"
#include "src/budget/request_id_generator.h"
#include "src/budget/table_budget_admin.h"
#include "standin/fakes/manual_clock.h"
#include "standin/fakes/memory_object_store.h"
#include "standin/fakes/memory_table.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(1);
const BudgetId kBudget("b1");

class GrantManagerTest : public testing::Test {
 protected:
  GrantManagerTest() {
    dependencies_ = GrantManagerDependencies{.table = &table_,
                                             .policy = policy_.get(),
                                             .journal = &journal_,
                                             .clock = &clock_,
                                             .random = random_.get()};
    manager_ = std::make_unique<GrantManager>(options_, dependencies_);
    TopUp("o1", 10'000);
  }

  void TopUp(const std::string& order, std::int64_t amount) {
    LastReason reason;
    ASSERT_TRUE(admin_.TopUp(kBudget, OrderId(order), Tokens(amount), "op",
                             kTimeout, &reason))
        << ReasonName(reason.reason());
  }

  // Reserves without waiting.
  std::optional<Reservation> TryReserve(std::int64_t amount) {
    return manager_->Reserve(kBudget, ids_.Next(), Tokens(amount), clock_.Now(),
                             &reason_);
  }

  // Reserves, with one step of the manager if the first attempt fails.
  std::optional<Reservation> Reserve(std::int64_t amount) {
    if (auto reservation = TryReserve(amount)) return reservation;
    manager_->Step();
    return TryReserve(amount);
  }

  void Settle(const Reservation& reservation, std::int64_t billed) {
    manager_->Settle(reservation, RequestRecord{.request = reservation.request,
                                                .billed = Tokens(billed),
                                                .started = clock_.Now(),
                                                .finished = clock_.Now()});
  }

  BudgetStatus Status() {
    LastReason reason;
    const auto status = admin_.Status(kBudget, kTimeout, &reason);
    EXPECT_TRUE(status.has_value());
    return status.value_or(BudgetStatus{});
  }

  ManualClock clock_;
  MemoryTable table_;
  MemoryObjectStore store_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);
  std::unique_ptr<SizingPolicy> policy_ = MakeHorizonSizing({});
  GrantManagerOptions options_{.instance = InstanceId("i1")};
  JournalWriter journal_{
      {.instance = InstanceId("i1")}, &store_, &clock_, random_.get()};
  RequestIdGenerator ids_{InstanceId("i1"), &clock_, random_.get()};
  TableBudgetAdmin admin_{{.stripes = 3}, &table_, &clock_};
  GrantManagerDependencies dependencies_;
  std::unique_ptr<GrantManager> manager_;
  LastReason reason_;
};

TEST_F(GrantManagerTest, ReservesWithoutTableAccessWhileGrantSuffices) {
  const auto first = Reserve(100);
  ASSERT_TRUE(first.has_value());
  Settle(*first, 60);
  const auto commits = table_.commits();
  const auto reads = table_.reads();
  const auto second = TryReserve(100);
  ASSERT_TRUE(second.has_value());
  manager_->Release(*second);
  EXPECT_EQ(table_.commits(), commits);
  EXPECT_EQ(table_.reads(), reads);
}

TEST_F(GrantManagerTest, ReportsOnlyPersistedRecordsAsSettled) {
  Settle(*Reserve(100), 60);
  clock_.Advance(absl::Minutes(2));
  manager_->Step();
  EXPECT_EQ(Status().settled, Tokens(0));
  journal_.Step();
  clock_.Advance(absl::Minutes(2));
  manager_->Step();
  EXPECT_EQ(Status().settled, Tokens(60));
}

TEST_F(GrantManagerTest, DrainReturnsAllTokens) {
  Settle(*Reserve(100), 60);
  manager_->BeginDrain();
  EXPECT_FALSE(manager_->FinishDrain());
  journal_.Step();
  EXPECT_TRUE(manager_->FinishDrain());
  EXPECT_EQ(Status().granted, Tokens(60));
  EXPECT_EQ(Status().settled, Tokens(60));
  EXPECT_FALSE(TryReserve(1).has_value());
  GrantReclaimer reclaimer({}, &table_, &store_);
  reclaimer.ReclaimStep(clock_.Now());
  LastReason reason;
  const auto rows = table_.Scan(kHolderTable, "", 10, kTimeout, &reason);
  ASSERT_TRUE(rows.has_value());
  EXPECT_TRUE(rows->empty());
}

TEST_F(GrantManagerTest, RefusalHasReason) {
  EXPECT_FALSE(Reserve(20'000).has_value());
  EXPECT_EQ(reason_.reason(), Reason::kBudgetExhausted);
  table_.SetFaults({.outage = true});
  EXPECT_FALSE(Reserve(100).has_value());
  EXPECT_EQ(reason_.reason(), Reason::kBudgetPlatformAway);
}

TEST_F(GrantManagerTest, TopUpIsIdempotentPerOrderId) {
  table_.SetFaults({.lose_replies = 1});
  TopUp("o2", 500);
  TopUp("o2", 500);
  EXPECT_EQ(Status().topped_up, Tokens(10'500));
  LastReason reason;
  EXPECT_FALSE(admin_.TopUp(kBudget, OrderId("o2"), Tokens(501), "op", kTimeout,
                            &reason));
  EXPECT_EQ(reason.reason(), Reason::kConflict);
  EXPECT_EQ(admin_.History(kBudget, kTimeout, &reason)->size(), 2u);
}

}  // namespace
}  // namespace wisteriareel
