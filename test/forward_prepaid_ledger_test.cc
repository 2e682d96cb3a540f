#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/forward/prepaid_ledger.h"
#include "test/fake_partition.h"

namespace wisteriareel {
namespace {

using ::testing::IsEmpty;
using ::testing::SizeIs;

// The previous incarnation may have run for any time after its last contact.
constexpr absl::Duration kUnknownGap = absl::InfiniteDuration();

// Returns what is known if `incarnation` ended `gap` after its last contact.
InheritedTimes EndedAfter(const std::string& incarnation, absl::Duration gap) {
  if (gap == kUnknownGap) return {};
  const std::int64_t started_ms = 1'000'700;
  return {.has_heartbeat = true,
          .started_ms = started_ms,
          .ended = {{.id = incarnation,
                     .contact_ms = started_ms - absl::ToInt64Milliseconds(gap),
                     .ended_ms = started_ms}}};
}

LoanRequest Needed(Tokens amount) {
  return {.customer = kCustomer, .amount = amount, .min_amount = amount};
}

bool IsReachable(const std::string& /*instance*/) { return true; }

class PrepaidLedgerScenarioTest : public ::testing::Test {
 protected:
  void CommitTransactions(PrepaidLedger* ledger) {
    for (const LedgerTransaction& due : ledger->TakeTransactions(now_)) {
      ledger->CompleteTransaction(due.customer, table_.Commit(due.transaction),
                                  now_);
    }
    ledger->RecordContact(now_);
  }

  std::unique_ptr<PrepaidLedger> MakeLedger(const std::string& incarnation,
                                            absl::Duration gap,
                                            std::int64_t prepaid = 100000) {
    auto ledger = std::make_unique<PrepaidLedger>(
        PrepaidLedgerOptions{.instance = "i", .incarnation = incarnation});
    ledger->SetInheritedTimes(EndedAfter("1", gap), now_ - absl::Minutes(1));
    ledger->SetInstances(2);
    ledger->SetBudgets(MakeConfig(prepaid), now_ - absl::Minutes(1));
    ledger->SetHomeCustomers([](const CustomerId&) { return true; });
    return ledger;
  }

  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  FakePartition table_;
};

TEST_F(PrepaidLedgerScenarioTest, ARequestWaitsForItsGrantAndIsThenReserved) {
  const auto ledger = MakeLedger("1", kUnknownGap);
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(30000), now_),
            ReserveResult::kWait);
  CommitTransactions(ledger.get());
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(30000), now_),
            ReserveResult::kReserved);
}

TEST_F(PrepaidLedgerScenarioTest, MoreThanTheRemainingBudgetIsExhausted) {
  const auto ledger = MakeLedger("1", kUnknownGap, 1000);
  CommitTransactions(ledger.get());
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(1001), now_),
            ReserveResult::kExhausted);
}

TEST_F(PrepaidLedgerScenarioTest, ATopUpCountsAsSoonAsItIsInForce) {
  const auto ledger = MakeLedger("1", kUnknownGap, 1000);
  CommitTransactions(ledger.get());
  ledger->SetBudgets(MakeConfig(50000), now_);
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(20000), now_),
            ReserveResult::kWait);
  CommitTransactions(ledger.get());
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(20000), now_),
            ReserveResult::kReserved);
}

TEST_F(PrepaidLedgerScenarioTest,
       TheReserveIsUsableOnlyWhileThePlatformIsUnavailable) {
  const auto ledger = MakeLedger("1", kUnknownGap);
  CommitTransactions(ledger.get());
  const Tokens authorized_only = ledger->FreeTokens(kCustomer, now_);
  const absl::Time later = now_ + absl::Seconds(4);
  EXPECT_GT(authorized_only, Tokens(0));
  EXPECT_GT(ledger->FreeTokens(kCustomer, later), authorized_only);
}

// Regression test: after all instances were killed, a third of the budgets
// stayed granted to their previous incarnations.
TEST_F(PrepaidLedgerScenarioTest,
       TheNextIncarnationRegainsWhatItsPredecessorCannotHaveUsed) {
  const auto first = MakeLedger("1", kUnknownGap);
  CommitTransactions(first.get());
  const Tokens held = first->GetSummary(kCustomer).held_here;
  const Tokens authorized = first->FreeTokens(kCustomer, now_);
  const auto second = MakeLedger("2", absl::Milliseconds(700));
  CommitTransactions(second.get());
  EXPECT_EQ(second->GetSummary(kCustomer).held_here, held - authorized);
}

TEST(InheritedTimesTest, OnlyWhatIsKnownOfTheWriterOfARowCounts) {
  const InheritedTimes times{
      .has_heartbeat = true,
      .started_ms = 9000,
      .ended = {{.id = "b", .contact_ms = 8500, .ended_ms = 9000},
                {.id = "a", .contact_ms = 2000, .ended_ms = 7000}}};
  EXPECT_EQ(times.GapOf("b", 0), absl::Milliseconds(500));
  EXPECT_EQ(times.GapOf("a", 0), absl::Seconds(5));
  EXPECT_EQ(times.GapOf("a", 6000), absl::Seconds(1));
  // One that isn't known may have ended just before the start.
  EXPECT_EQ(times.GapOf("0", 1000), absl::Seconds(8));
  EXPECT_EQ(times.GapOf("0", 0), absl::InfiniteDuration());
  EXPECT_EQ(times.GapOf("", 0), absl::InfiniteDuration());
  EXPECT_EQ(InheritedTimes().GapOf("b", 8000), absl::InfiniteDuration());
}

// Regression test: a home instance that was cut off, wrote its row again and
// was then killed lost a fifth of a budget, since its heartbeats had not yet
// stated the new contact.
TEST_F(PrepaidLedgerScenarioTest, ARowThatWasWrittenLaterBoundsTheGap) {
  const auto first = MakeLedger("1", kUnknownGap);
  first->RecordClock(1'000'000, now_);
  CommitTransactions(first.get());
  const Tokens held = first->GetSummary(kCustomer).held_here;
  const Tokens authorized = first->FreeTokens(kCustomer, now_);
  PrepaidLedger second({.instance = "i", .incarnation = "2"});
  second.SetInheritedTimes(EndedAfter("1", absl::Seconds(9)),
                           now_ - absl::Minutes(1));
  second.SetBudgets(MakeConfig(100000), now_ - absl::Minutes(1));
  second.SetHomeCustomers([](const CustomerId&) { return true; });
  CommitTransactions(&second);
  EXPECT_EQ(second.GetSummary(kCustomer).held_here, held - authorized);
}

// Regression test: an instance was killed twice around an outage. The second
// incarnation used what it had inherited and never wrote the row, so that the
// third one inherited the same tokens.
TEST_F(PrepaidLedgerScenarioTest,
       TokensOfAnIncarnationThatNeverWroteTheRowAreNotInheritedAgain) {
  const auto first = MakeLedger("1", kUnknownGap);
  CommitTransactions(first.get());
  const Tokens held = first->GetSummary(kCustomer).held_here;
  const auto second = MakeLedger("2", absl::Milliseconds(700));
  CommitTransactions(second.get());
  const absl::Duration outage = absl::Seconds(5);
  const Tokens used = second->FreeTokens(kCustomer, now_ + outage);
  ASSERT_GT(used, Tokens(0));
  ASSERT_EQ(second->Reserve(kCustomer, used, now_ + outage),
            ReserveResult::kReserved);

  const std::int64_t second_started_ms = 1'000'700;
  const std::int64_t third_started_ms =
      second_started_ms + absl::ToInt64Milliseconds(outage);
  PrepaidLedger third({.instance = "i", .incarnation = "3"});
  third.SetInheritedTimes({.has_heartbeat = true,
                           .started_ms = third_started_ms,
                           .ended = {{.id = "2", .ended_ms = third_started_ms},
                                     {.id = "1",
                                      .contact_ms = second_started_ms - 700,
                                      .ended_ms = second_started_ms}}},
                          now_ - absl::Minutes(1));
  third.SetBudgets(MakeConfig(100000), now_ - absl::Minutes(1));
  third.SetHomeCustomers([](const CustomerId&) { return true; });
  CommitTransactions(&third);
  EXPECT_LE(third.GetSummary(kCustomer).held_here, held - used);
}

TEST_F(PrepaidLedgerScenarioTest,
       ALaterStartLosesWhatTheLimitOfThePredecessorCanHaveGrownTo) {
  const auto first = MakeLedger("1", kUnknownGap);
  CommitTransactions(first.get());
  const Tokens held = first->GetSummary(kCustomer).held_here;
  const Tokens usable = first->FreeTokens(kCustomer, now_ + absl::Seconds(4));
  EXPECT_GT(usable, first->FreeTokens(kCustomer, now_));
  EXPECT_LT(usable, held);
  const auto second = MakeLedger("2", absl::Seconds(4));
  CommitTransactions(second.get());
  EXPECT_EQ(second->GetSummary(kCustomer).held_here, held - usable);
  const auto third = MakeLedger("3", kUnknownGap);
  third->Reserve(kCustomer, Tokens(10), now_);
  CommitTransactions(third.get());
  EXPECT_EQ(third->GetSummary(kCustomer).held_here, Tokens(0));
}

// Regression test: while the platform was slow, its reads succeeded and its
// writes didn't. An instance then could use neither what it held nor get more.
TEST_F(PrepaidLedgerScenarioTest,
       TheLimitGrowsWhileThePlatformAcknowledgesNoWrites) {
  const auto ledger = MakeLedger("1", kUnknownGap);
  CommitTransactions(ledger.get());
  const Tokens held = ledger->GetSummary(kCustomer).held_here;
  EXPECT_EQ(ledger->FreeTokens(kCustomer, now_ + absl::Minutes(5)), held);
  ledger->RecordContact(now_ + absl::Minutes(5));
  EXPECT_LT(ledger->FreeTokens(kCustomer, now_ + absl::Minutes(5)), held);
}

TEST_F(PrepaidLedgerScenarioTest, TokensOfAReturnInDoubtCannotBeUsed) {
  const auto ledger = MakeLedger("1", kUnknownGap);
  ASSERT_EQ(ledger->Reserve(kCustomer, Tokens(40000), now_),
            ReserveResult::kWait);
  CommitTransactions(ledger.get());
  ASSERT_EQ(ledger->Reserve(kCustomer, Tokens(40000), now_),
            ReserveResult::kReserved);
  ledger->Settle(kCustomer, Tokens(40000), Tokens(0), /*delivered=*/false);
  ledger->StartReturningTokens();
  const auto transactions = ledger->TakeTransactions(now_);
  ASSERT_EQ(transactions.size(), 1U);
  ledger->CompleteTransaction(kCustomer, {.outcome = CommitOutcome::kUnknown},
                              now_);
  EXPECT_LE(ledger->FreeTokens(kCustomer, now_ + absl::Minutes(9)), Tokens(0));
}

TEST_F(PrepaidLedgerScenarioTest, StartReturningTokensReturnsAll) {
  const auto ledger = MakeLedger("1", kUnknownGap);
  CommitTransactions(ledger.get());
  ledger->StartReturningTokens();
  CommitTransactions(ledger.get());
  EXPECT_TRUE(ledger->IsSettled());
  EXPECT_EQ(ledger->GetSummary(kCustomer).granted, Tokens(0));
}

TEST_F(PrepaidLedgerScenarioTest,
       WhatAHomeInstanceCannotLendBecomesPartOfItsNextTransaction) {
  const auto home_instance = MakeLedger("1", kUnknownGap);
  CommitTransactions(home_instance.get());
  const Tokens wanted(70000);
  EXPECT_EQ(
      home_instance->Lend(Needed(wanted), now_),
      (Loan{.amount = Tokens(0), .availability = LoanAvailability::kSoon}));
  CommitTransactions(home_instance.get());
  EXPECT_EQ(home_instance->Lend(Needed(wanted), now_).amount, wanted);
}

TEST_F(PrepaidLedgerScenarioTest,
       AHomeInstanceThatReturnsItsTokensAnnouncesNoLoans) {
  const auto home_instance = MakeLedger("1", kUnknownGap);
  CommitTransactions(home_instance.get());
  home_instance->StartReturningTokens();
  const Tokens wanted(70000);
  EXPECT_EQ(home_instance->Lend(Needed(wanted), now_), Loan{});
}

TEST_F(PrepaidLedgerScenarioTest,
       AHomeInstanceAsksForTokensBeforeItReportsAnEmptyPool) {
  const auto home_instance = MakeLedger("1", kUnknownGap);
  CommitTransactions(home_instance.get());
  // Another instance holds what the pool lacks.
  home_instance->Lend({.customer = kCustomer,
                       .amount = Tokens(90000),
                       .min_amount = Tokens(90000)},
                      now_);
  CommitTransactions(home_instance.get());
  ASSERT_EQ(home_instance->Lend(Needed(Tokens(90000)), now_).amount,
            Tokens(90000));
  const Tokens wanted(50000);
  EXPECT_EQ(home_instance->Lend(Needed(wanted), now_).availability,
            LoanAvailability::kSoon);
  CommitTransactions(home_instance.get());
  EXPECT_EQ(home_instance->Lend(Needed(wanted), now_).availability,
            LoanAvailability::kSoon);
  ASSERT_EQ(home_instance->TakeGatherings(now_).size(), 1U);
  EXPECT_TRUE(home_instance
                  ->CompleteGathering(kCustomer, std::vector<PartitionRow>{},
                                      IsReachable, now_)
                  .empty());
  EXPECT_EQ(home_instance->Lend(Needed(wanted), now_).availability,
            LoanAvailability::kPoolEmpty);
  EXPECT_TRUE(home_instance->TakeGatherings(now_).empty());
}

// Regression test: after a loss of the platform, the conflicting transactions
// of 59 instances for a customer's tokens kept all of them and the home
// instance from getting any for ten seconds.
TEST_F(PrepaidLedgerScenarioTest,
       ABorrowerLeavesTheTransactionToTheHomeInstance) {
  PrepaidLedger borrower({.instance = "j", .incarnation = "1"});
  borrower.SetBudgets(MakeConfig(100000), now_ - absl::Minutes(1));
  borrower.SetHomeCustomers([](const CustomerId&) { return false; });
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kWait);
  ASSERT_EQ(borrower.TakeLoanRequests(now_).size(), 1U);
  const auto retry_after =
      borrower.CompleteLoan(kCustomer, LoanAvailability::kSoon, now_);
  ASSERT_TRUE(retry_after.has_value());
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kWait);
  EXPECT_TRUE(borrower.TakeTransactions(now_).empty());
  now_ += *retry_after;
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kWait);
  EXPECT_EQ(borrower.TakeLoanRequests(now_).size(), 1U);
}

TEST_F(PrepaidLedgerScenarioTest,
       ABorrowerReturnsAllTokensDespiteWaitingRequests) {
  PrepaidLedger borrower({.instance = "j", .incarnation = "1"});
  borrower.SetBudgets(MakeConfig(100000), now_ - absl::Minutes(1));
  borrower.SetHomeCustomers([](const CustomerId&) { return false; });
  borrower.Borrow(kCustomer, Tokens(300));
  borrower.Reserve(kCustomer, Tokens(500), now_);
  borrower.TakeLoanRequests(now_);
  borrower.CompleteLoan(kCustomer, LoanAvailability::kSoon, now_);
  borrower.Reserve(kCustomer, Tokens(500), now_);
  borrower.RecordContact(now_);
  borrower.StartReturningTokens();
  CommitTransactions(&borrower);
  CommitTransactions(&borrower);
  EXPECT_TRUE(borrower.IsSettled());
}

TEST_F(PrepaidLedgerScenarioTest,
       ABorrowerIsRefusedImmediatelyIfThePoolIsEmpty) {
  PrepaidLedger borrower({.instance = "j", .incarnation = "1"});
  borrower.SetBudgets(MakeConfig(100000), now_ - absl::Minutes(1));
  borrower.SetHomeCustomers([](const CustomerId&) { return false; });
  borrower.Reserve(kCustomer, Tokens(500), now_);
  ASSERT_EQ(borrower.TakeLoanRequests(now_).size(), 1U);
  borrower.CompleteLoan(kCustomer, LoanAvailability::kPoolEmpty, now_);
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kHeldElsewhere);
}

TEST_F(PrepaidLedgerScenarioTest,
       ABorrowerStartsATransactionIfTheHomeInstanceCannotHelp) {
  PrepaidLedger borrower({.instance = "j", .incarnation = "1"});
  borrower.SetBudgets(MakeConfig(100000), now_ - absl::Minutes(1));
  borrower.SetHomeCustomers([](const CustomerId&) { return false; });
  borrower.Reserve(kCustomer, Tokens(500), now_);
  ASSERT_EQ(borrower.TakeLoanRequests(now_).size(), 1U);
  borrower.CompleteLoan(kCustomer, LoanAvailability::kNone, now_);
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kWait);
  CommitTransactions(&borrower);
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kReserved);
}

// Regression test: a rolling restart while the platform was unavailable left
// the tokens that the instances held unusable.
TEST_F(PrepaidLedgerScenarioTest,
       AnInstanceThatEndsWithoutThePlatformTransfersItsTokens) {
  const auto ending = MakeLedger("1", kUnknownGap);
  CommitTransactions(ending.get());
  const Tokens held = ending->GetSummary(kCustomer).held_here;
  ASSERT_GT(held, Tokens(0));
  ending->StartReturningTokens();
  EXPECT_TRUE(ending->TakeTransfers(now_).empty());
  // By then the limit has grown to all tokens.
  now_ += absl::Minutes(1);
  EXPECT_TRUE(ending->TakeTransactions(now_).empty());
  EXPECT_EQ(
      ending->TakeTransfers(now_),
      (std::vector<TokenTransfer>{{.customer = kCustomer, .amount = held}}));
  EXPECT_TRUE(ending->TakeTransfers(now_).empty());

  PrepaidLedger receiver({.instance = "j", .incarnation = "1"});
  receiver.SetBudgets(MakeConfig(100000), now_ - absl::Minutes(1));
  receiver.SetHomeCustomers([](const CustomerId&) { return false; });
  receiver.Borrow(kCustomer, held);
  // No return without a reply puts the tokens in doubt.
  EXPECT_TRUE(receiver.TakeTransactions(now_).empty());
  EXPECT_EQ(receiver.Reserve(kCustomer, held, now_), ReserveResult::kReserved);
}

TEST_F(PrepaidLedgerScenarioTest, ALoanMovesTokensWithoutThePlatform) {
  const auto lender = MakeLedger("1", kUnknownGap);
  CommitTransactions(lender.get());
  PrepaidLedger borrower({.instance = "j", .incarnation = "1"});
  borrower.SetInstances(2);
  borrower.SetBudgets(MakeConfig(100000), now_);
  const Tokens lent = lender->Lend(Needed(Tokens(500)), now_).amount;
  EXPECT_EQ(lent, Tokens(500));
  borrower.Borrow(kCustomer, lent);
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kReserved);
  EXPECT_NE(borrower.Reserve(kCustomer, Tokens(1), now_),
            ReserveResult::kReserved);
}

// Regression test: on slow machines a twentieth of a customer's tokens got lost
// with the responses to loan requests.
TEST_F(PrepaidLedgerScenarioTest, TokensOfALostResponseReturnToTheLender) {
  const auto lender = MakeLedger("1", kUnknownGap);
  CommitTransactions(lender.get());
  const Tokens free = lender->FreeTokens(kCustomer, now_);
  LoanRequest request = Needed(Tokens(200));
  request.borrower_incarnation = "j1";
  request.sequence = 1;
  ASSERT_EQ(lender->Lend(request, now_).amount, Tokens(200));
  // The response was lost: the next request says that nothing was received.
  request.sequence = 2;
  ASSERT_EQ(lender->Lend(request, now_).amount, Tokens(200));
  EXPECT_EQ(lender->FreeTokens(kCustomer, now_), free - Tokens(200));
  // A copy of the first request arrives last.
  request.sequence = 1;
  EXPECT_EQ(lender->Lend(request, now_).amount, Tokens(0));
  request.sequence = 3;
  request.received = Tokens(200);
  ASSERT_EQ(lender->Lend(request, now_).amount, Tokens(200));
  EXPECT_EQ(lender->FreeTokens(kCustomer, now_), free - Tokens(400));
}

class SpareTokensTest : public PrepaidLedgerScenarioTest {
 protected:
  SpareTokensTest() : home_(MakeLedger("1", kUnknownGap)) {
    CommitTransactions(home_.get());
    borrower_.SetInstances(2);
    borrower_.SetBudgets(MakeConfig(100000), now_ - absl::Minutes(1));
    borrower_.SetHomeCustomers([](const CustomerId&) { return false; });
    borrower_.RecordContact(now_);
  }

  // Lends the spare tokens that the borrower requests.
  Tokens LendSpareTokens() {
    // The first requests are spread over a time.
    borrower_.TakeLoanRequests(now_);
    now_ += absl::Minutes(1);
    home_->RecordContact(now_);
    borrower_.RecordContact(now_);
    Tokens sum(0);
    for (const LoanRequest& request : borrower_.TakeLoanRequests(now_)) {
      EXPECT_EQ(request.kind, LoanKind::kSpare);
      Loan loan = home_->Lend(request, now_);
      if (loan.availability == LoanAvailability::kSoon) {
        CommitTransactions(home_.get());
        loan = home_->Lend(request, now_);
      }
      borrower_.Borrow(kCustomer, loan.amount);
      borrower_.CompleteLoan(kCustomer, std::nullopt, now_);
      sum = sum + loan.amount;
    }
    return sum;
  }

  std::unique_ptr<PrepaidLedger> home_;
  PrepaidLedger borrower_{{.instance = "j", .incarnation = "j1"}};
};

// The load pattern: each of many instances sees few of a customer's requests
// and is cut off from the platform and from all others at once.
TEST_F(SpareTokensTest, ServeRequestsOfAnInstanceThatIsCutOff) {
  const Tokens spare = LendSpareTokens();
  ASSERT_GT(spare, Tokens(0));
  CommitTransactions(&borrower_);
  // While it can borrow, it leaves them alone.
  EXPECT_LE(borrower_.FreeTokens(kCustomer, now_), Tokens(0));
  EXPECT_EQ(borrower_.Reserve(kCustomer, spare, now_ + absl::Minutes(1)),
            ReserveResult::kReserved);
}

TEST_F(SpareTokensTest, AreRegainedByTheNextIncarnation) {
  const Tokens spare = LendSpareTokens();
  CommitTransactions(&borrower_);
  PrepaidLedger next({.instance = "j", .incarnation = "j2"});
  next.SetInheritedTimes(EndedAfter("j1", absl::Seconds(1)),
                         now_ - absl::Minutes(1));
  next.SetBudgets(MakeConfig(100000), now_ - absl::Minutes(1));
  CommitTransactions(&next);
  EXPECT_EQ(next.GetSummary(kCustomer).held_here, spare);
}

// The load pattern: the last tokens of a customer lie idle at many instances.
TEST_F(SpareTokensTest, ReturnToAHomeInstanceThatNeedsThem) {
  const Tokens spare = LendSpareTokens();
  CommitTransactions(&borrower_);
  const LoanRequest request{.customer = kCustomer,
                            .amount = Tokens(1'000'000),
                            .min_amount = Tokens(1),
                            .kind = LoanKind::kReturn};
  EXPECT_EQ(borrower_.Lend(request, now_).availability,
            LoanAvailability::kSoon);
  CommitTransactions(&borrower_);
  EXPECT_EQ(borrower_.Lend(request, now_).amount, spare);
  EXPECT_EQ(borrower_.GetSummary(kCustomer).held_here, Tokens(0));
}

TEST_F(SpareTokensTest, AreAskedForWhereTheRowsShowThem) {
  LendSpareTokens();
  CommitTransactions(&borrower_);
  // The rows of a partition, as the platform lists them.
  std::vector<PartitionRow> rows;
  PrepaidLedger probe({.instance = "j", .incarnation = "x"});
  probe.SetInheritedTimes(EndedAfter("j1", absl::Seconds(1)),
                          now_ - absl::Minutes(1));
  probe.SetBudgets(MakeConfig(100000), now_ - absl::Minutes(1));
  for (const LedgerTransaction& due : probe.TakeTransactions(now_)) {
    rows = table_.Commit(due.transaction).current;
  }
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(home_->CompleteGathering(kCustomer, rows, IsReachable, now_),
            std::vector<std::string>{"j"});
}

constexpr int kCustomers = 40;

// Regression test: 74 instances sent up to 7,000 transactions per second while
// the platform rejected them, one for each customer and instance without a
// pause.
TEST_F(PrepaidLedgerScenarioTest, AnOutageCostsFewerCallsThanNormalOperation) {
  RouteConfig config{.revision = Revision(1)};
  for (int n = 0; n < kCustomers; ++n) {
    config.customers.push_back({.id = CustomerId(absl::StrCat("c", n)),
                                .prepaid = Tokens(10'000'000)});
  }
  PrepaidLedger ledger({.instance = "i", .incarnation = "1"});
  ledger.SetInstances(95);
  ledger.SetBudgets(config, now_ - absl::Minutes(1));
  ledger.SetHomeCustomers([](const CustomerId&) { return true; });
  const auto run = [&](CommitOutcome outcome) {
    int calls = 0;
    for (int n = 0; n < 600; ++n) {
      now_ += absl::Milliseconds(10);
      const CustomerId customer(absl::StrCat("c", n % kCustomers));
      ledger.Reserve(customer, Tokens(20'000), now_);
      for (const LedgerTransaction& due : ledger.TakeTransactions(now_)) {
        ++calls;
        CommitReply reply{.outcome = outcome};
        if (outcome == CommitOutcome::kCommitted) {
          reply = table_.Commit(due.transaction);
          ledger.RecordContact(now_);
        }
        ledger.CompleteTransaction(due.customer, reply, now_);
      }
    }
    return calls;
  };
  const int calm = run(CommitOutcome::kCommitted);
  const int rejected = run(CommitOutcome::kRejected);
  const int silent = run(CommitOutcome::kUnknown);
  EXPECT_LT(rejected, calm);
  EXPECT_LT(silent, calm);
  EXPECT_GT(rejected, 0);
}

TEST_F(PrepaidLedgerScenarioTest, ADeputyDrawsTokensForALostHomeInstance) {
  PrepaidLedger deputy({.instance = "j", .incarnation = "1"});
  deputy.SetInstances(3);
  deputy.SetBudgets(MakeConfig(100000), now_ - absl::Minutes(1));
  deputy.SetHomeCustomers([](const CustomerId&) { return false; });
  LoanRequest request = Needed(Tokens(5000));
  EXPECT_EQ(deputy.Lend(request, now_).availability, LoanAvailability::kNone);
  request.kind = LoanKind::kNeededFromDeputy;
  EXPECT_EQ(deputy.Lend(request, now_).availability, LoanAvailability::kSoon);
  CommitTransactions(&deputy);
  EXPECT_EQ(deputy.Lend(request, now_).amount, Tokens(5000));
}

// Only complete responses prove that tokens were consumed.
TEST_F(PrepaidLedgerScenarioTest, ABudgetIsExhaustedOnlyByCompleteResponses) {
  for (const bool complete : {false, true}) {
    table_ = FakePartition();
    const auto ledger = MakeLedger("1", kUnknownGap);
    CommitTransactions(ledger.get());
    ledger->Reserve(kCustomer, Tokens(95000), now_);
    CommitTransactions(ledger.get());
    ASSERT_EQ(ledger->Reserve(kCustomer, Tokens(95000), now_),
              ReserveResult::kReserved);
    ledger->Settle(kCustomer, Tokens(95000), Tokens(95000), complete);
    EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(6000), now_) ==
                  ReserveResult::kExhausted,
              complete);
    LoanRequest request = Needed(Tokens(6000));
    EXPECT_EQ(ledger->Lend(request, now_).availability ==
                  LoanAvailability::kExhausted,
              complete);
  }
}

// Regression test: after all tokens were used, a few of them for incomplete
// responses, callers were told for the rest of the day to come back.
TEST_F(PrepaidLedgerScenarioTest, ABudgetThatIsAllUsedIsExhausted) {
  const auto ledger = MakeLedger("1", kUnknownGap);
  const auto use = [&](Tokens tokens, bool complete) {
    ledger->Reserve(kCustomer, tokens, now_);
    CommitTransactions(ledger.get());
    ASSERT_EQ(ledger->Reserve(kCustomer, tokens, now_),
              ReserveResult::kReserved);
    ledger->Settle(kCustomer, tokens, tokens, complete);
    CommitTransactions(ledger.get());
  };
  use(Tokens(97500), /*delivered=*/true);
  use(Tokens(2500), /*delivered=*/false);
  const Tokens wanted(1000);
  ledger->Reserve(kCustomer, wanted, now_);
  CommitTransactions(ledger.get());
  // Other instances may hold tokens until their rows were read.
  EXPECT_EQ(ledger->Lend(Needed(wanted), now_).availability,
            LoanAvailability::kSoon);
  ledger->Reserve(kCustomer, wanted, now_);
  ASSERT_THAT(ledger->TakeGatherings(now_), SizeIs(1));
  EXPECT_THAT(ledger->CompleteGathering(kCustomer, std::vector<PartitionRow>{},
                                        IsReachable, now_),
              IsEmpty());
  EXPECT_EQ(ledger->Reserve(kCustomer, wanted, now_),
            ReserveResult::kExhausted);
  EXPECT_EQ(ledger->Lend(Needed(wanted), now_).availability,
            LoanAvailability::kExhausted);
}

}  // namespace
}  // namespace wisteriareel
