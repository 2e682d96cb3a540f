#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"
#include "src/forward/prepaid_ledger.h"

namespace wisteriareel {
namespace {

const CustomerId kCustomer("c");

// The rows of one partition. Callers simulate lost requests, lost replies and
// late writes.
class FakePartition {
 public:
  CommitReply Commit(const PartitionTransaction& transaction) {
    for (const PartitionRowCondition& condition : transaction.conditions) {
      const auto it = rows_.find(condition.key);
      const std::uint64_t version = it == rows_.end() ? 0 : it->second.version;
      if (version != condition.version) return Conflict(transaction);
    }
    ++version_;
    for (const PartitionRowWrite& write : transaction.writes) {
      rows_[write.key] = {
          .key = write.key, .value = *write.value, .version = version_};
    }
    return {.outcome = CommitOutcome::kCommitted, .version = version_};
  }

 private:
  CommitReply Conflict(const PartitionTransaction& transaction) const {
    CommitReply reply{.outcome = CommitOutcome::kConflict};
    for (const PartitionRowCondition& condition : transaction.conditions) {
      const auto it = rows_.find(condition.key);
      if (it != rows_.end()) reply.current.push_back(it->second);
    }
    return reply;
  }

  std::uint64_t version_ = 0;
  std::map<PartitionRowKey, PartitionRow> rows_;
};

RouteConfig MakeConfig(std::int64_t prepaid) {
  return {.revision = Revision(1),
          .customers = {{.id = kCustomer, .prepaid = Tokens(prepaid)}}};
}

// One instance over several incarnations, driven by the property test.
struct Instance {
  std::string name;
  int incarnations = 0;
  std::unique_ptr<PrepaidLedger> ledger;
  // Reserved tokens of each running request.
  std::vector<std::int64_t> running;
  bool disconnected = false;
  // Contact time recorded by the last heartbeat, on the platform's clock.
  absl::Time last_recorded_contact = absl::InfinitePast();
  absl::Time contact = absl::InfinitePast();
};

class Deployment {
 public:
  Deployment(int size, std::int64_t prepaid) : prepaid_(prepaid) {
    for (int n = 0; n < size; ++n) {
      instances_.push_back({.name = absl::StrCat("i", n)});
      Restart(&instances_.back());
    }
  }

  void Restart(Instance* instance) {
    // Running requests may have consumed all their reserved tokens.
    for (const std::int64_t max_tokens : instance->running)
      consumed_ += max_tokens;
    instance->running.clear();
    instance->ledger = std::make_unique<PrepaidLedger>(PrepaidLedgerOptions{
        .instance = instance->name,
        .incarnation =
            absl::StrCat(instance->name, "-", ++instance->incarnations)});
    const PrepaidLedgerOptions defaults;
    instance->ledger->SetInheritedUse(now_ - instance->last_recorded_contact <
                                              defaults.reserve_after
                                          ? InheritedUse::kAuthorized
                                          : InheritedUse::kAll);
    instance->ledger->SetInstances(static_cast<int>(instances_.size()));
    instance->ledger->SetBudgets(MakeConfig(prepaid_), now_ - absl::Minutes(1));
    const bool home_instance = instance->name == "i0";
    instance->ledger->SetHomeCustomers(
        [home_instance](const CustomerId&) { return home_instance; });
  }

  void StartRequest(Instance* instance, std::int64_t max_tokens) {
    if (instance->ledger->Reserve(kCustomer, Tokens(max_tokens), now_) ==
        ReserveResult::kReserved) {
      instance->running.push_back(max_tokens);
    }
  }

  void FinishRequest(Instance* instance, double used_share) {
    if (instance->running.empty()) return;
    const std::int64_t max_tokens = instance->running.back();
    instance->running.pop_back();
    const auto used =
        static_cast<std::int64_t>(static_cast<double>(max_tokens) * used_share);
    consumed_ += used;
    instance->ledger->Settle(kCustomer, Tokens(max_tokens), Tokens(used));
  }

  // `delivery` is 0 if the transaction is committed and answered, 1 if the
  // request is lost, 2 if the reply is lost, and 3 if the transaction is
  // committed late.
  void SendTransactions(Instance* instance, int delivery) {
    for (const LedgerTransaction& due :
         instance->ledger->TakeTransactions(now_)) {
      CommitReply reply;
      if (instance->disconnected) {
        instance->ledger->CompleteTransaction(kCustomer, reply, now_);
        continue;
      }
      if (delivery == 0) {
        reply = table_.Commit(due.transaction);
        instance->contact = now_;
        instance->ledger->RecordContact(now_);
      } else if (delivery == 2) {
        table_.Commit(due.transaction);
      } else if (delivery == 3) {
        delayed_.push_back(due.transaction);
      }
      instance->ledger->CompleteTransaction(kCustomer, reply, now_);
    }
  }

  void Heartbeat(Instance* instance) {
    if (instance->disconnected) return;
    instance->contact = now_;
    instance->ledger->RecordContact(now_);
    if (instance->ledger->IsWithinAuthorized())
      instance->last_recorded_contact = now_;
  }

  void Lend(Instance* from, Instance* to, std::int64_t wanted, bool lost) {
    for (const LoanRequest& loan : to->ledger->TakeLoanRequests(now_)) {
      const Tokens amount =
          from->ledger->Lend(loan.customer, loan.amount, loan.min_amount, now_)
              .amount;
      if (!lost) to->ledger->Borrow(loan.customer, amount);
      to->ledger->CompleteLoan(loan.customer,
                               amount >= loan.min_amount
                                   ? std::nullopt
                                   : std::optional(LoanAvailability::kNone),
                               now_);
    }
    const Tokens amount =
        from->ledger->Lend(kCustomer, Tokens(wanted), Tokens(0), now_).amount;
    if (!lost) to->ledger->Borrow(kCustomer, amount);
  }

  // Makes `from` transfer the tokens that it can't return to `to`.
  void TransferTokens(Instance* from, Instance* to, bool lost) {
    from->ledger->StartReturningTokens();
    for (const TokenTransfer& transfer : from->ledger->TakeTransfers(now_)) {
      if (!lost && to != from) {
        to->ledger->Borrow(transfer.customer, transfer.amount);
      }
    }
  }

  void ApplyDelayed() {
    if (delayed_.empty()) return;
    table_.Commit(delayed_.front());
    delayed_.pop_front();
  }

  void Advance(absl::Duration duration) { now_ += duration; }
  Instance& at(int n) { return instances_[n % instances_.size()]; }
  std::vector<Instance>& instances() { return instances_; }

  // Returns the consumed tokens if all running requests consume all their
  // reserved tokens.
  std::int64_t MaxConsumed() const {
    std::int64_t sum = consumed_;
    for (const Instance& instance : instances_) {
      for (const std::int64_t max_tokens : instance.running) sum += max_tokens;
    }
    return sum;
  }

 private:
  const std::int64_t prepaid_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  FakePartition table_;
  std::deque<PartitionTransaction> delayed_;
  std::deque<Instance> storage_;
  std::vector<Instance> instances_;
  std::int64_t consumed_ = 0;
};

RC_GTEST_PROP(PrepaidLedgerTest, ConsumptionNeverExceedsThePrepaidAmount, ()) {
  const auto prepaid = *rc::gen::inRange<std::int64_t>(1000, 100000);
  Deployment deployment(*rc::gen::inRange(1, 5), prepaid);
  const int steps = *rc::gen::inRange(20, 400);
  for (int n = 0; n < steps; ++n) {
    Instance& instance = deployment.at(*rc::gen::inRange(0, 100));
    switch (*rc::gen::inRange(0, 13)) {
      case 0:
      case 1:
      case 2:
        deployment.StartRequest(&instance,
                                *rc::gen::inRange<std::int64_t>(
                                    1, std::max<std::int64_t>(2, prepaid / 5)));
        break;
      case 3:
        deployment.FinishRequest(&instance, *rc::gen::inRange(0, 11) / 10.0);
        break;
      case 4:
      case 5:
      case 6:
        deployment.SendTransactions(&instance,
                                    *rc::gen::element(0, 0, 0, 1, 2, 3));
        break;
      case 7:
        deployment.Heartbeat(&instance);
        break;
      case 8:
        deployment.Lend(&instance, &deployment.at(*rc::gen::inRange(0, 100)),
                        *rc::gen::inRange<std::int64_t>(0, prepaid),
                        *rc::gen::inRange(0, 4) == 0);
        break;
      case 9:
        deployment.ApplyDelayed();
        break;
      case 10:
        if (*rc::gen::inRange(0, 3) == 0) deployment.Restart(&instance);
        instance.disconnected = *rc::gen::inRange(0, 3) == 0;
        break;
      case 11:
        deployment.Advance(absl::Milliseconds(*rc::gen::inRange(0, 4000)));
        break;
      case 12:
        deployment.TransferTokens(&instance,
                                  &deployment.at(*rc::gen::inRange(0, 100)),
                                  *rc::gen::inRange(0, 4) == 0);
        if (*rc::gen::inRange(0, 2) == 0) deployment.Restart(&instance);
        break;
      default:
        break;
    }
    RC_ASSERT(deployment.MaxConsumed() <= prepaid);
  }
}

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
                                            InheritedUse use,
                                            std::int64_t prepaid = 100000) {
    auto ledger = std::make_unique<PrepaidLedger>(
        PrepaidLedgerOptions{.instance = "i", .incarnation = incarnation});
    ledger->SetInheritedUse(use);
    ledger->SetInstances(2);
    ledger->SetBudgets(MakeConfig(prepaid), now_ - absl::Minutes(1));
    return ledger;
  }

  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  FakePartition table_;
};

TEST_F(PrepaidLedgerScenarioTest, ARequestWaitsForItsGrantAndIsThenReserved) {
  const auto ledger = MakeLedger("1", InheritedUse::kAll);
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(30000), now_),
            ReserveResult::kWait);
  CommitTransactions(ledger.get());
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(30000), now_),
            ReserveResult::kReserved);
}

TEST_F(PrepaidLedgerScenarioTest, MoreThanTheRemainingBudgetIsExhausted) {
  const auto ledger = MakeLedger("1", InheritedUse::kAll, 1000);
  CommitTransactions(ledger.get());
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(1001), now_),
            ReserveResult::kExhausted);
}

TEST_F(PrepaidLedgerScenarioTest, ATopUpCountsAsSoonAsItIsInForce) {
  const auto ledger = MakeLedger("1", InheritedUse::kAll, 1000);
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
  const auto ledger = MakeLedger("1", InheritedUse::kAll);
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
  const auto first = MakeLedger("1", InheritedUse::kAll);
  CommitTransactions(first.get());
  const std::int64_t granted = first->GetSummary(kCustomer).granted.value();
  const Tokens authorized = first->FreeTokens(kCustomer, now_);
  const auto second = MakeLedger("2", InheritedUse::kAuthorized);
  CommitTransactions(second.get());
  CommitTransactions(second.get());
  EXPECT_EQ(second->GetSummary(kCustomer).held_here,
            Tokens(second->GetSummary(kCustomer).granted.value()) - authorized);
  const auto third = MakeLedger("3", InheritedUse::kAll);
  CommitTransactions(third.get());
  EXPECT_EQ(third->FreeTokens(kCustomer, now_ + absl::Seconds(9)), Tokens(0));
  EXPECT_GT(granted, authorized.value());
}

TEST_F(PrepaidLedgerScenarioTest, TokensOfAReturnInDoubtCannotBeUsed) {
  const auto ledger = MakeLedger("1", InheritedUse::kAll);
  ASSERT_EQ(ledger->Reserve(kCustomer, Tokens(40000), now_),
            ReserveResult::kWait);
  CommitTransactions(ledger.get());
  ASSERT_EQ(ledger->Reserve(kCustomer, Tokens(40000), now_),
            ReserveResult::kReserved);
  ledger->Settle(kCustomer, Tokens(40000), Tokens(0));
  ledger->StartReturningTokens();
  const auto transactions = ledger->TakeTransactions(now_);
  ASSERT_EQ(transactions.size(), 1U);
  ledger->CompleteTransaction(kCustomer, {.outcome = CommitOutcome::kUnknown},
                              now_);
  EXPECT_LE(ledger->FreeTokens(kCustomer, now_ + absl::Seconds(9)), Tokens(0));
}

TEST_F(PrepaidLedgerScenarioTest, StartReturningTokensReturnsAll) {
  const auto ledger = MakeLedger("1", InheritedUse::kAll);
  CommitTransactions(ledger.get());
  ledger->StartReturningTokens();
  CommitTransactions(ledger.get());
  EXPECT_TRUE(ledger->IsSettled());
  EXPECT_EQ(ledger->GetSummary(kCustomer).granted, Tokens(0));
}

TEST_F(PrepaidLedgerScenarioTest,
       WhatAHomeInstanceCannotLendBecomesPartOfItsNextTransaction) {
  const auto home_instance = MakeLedger("1", InheritedUse::kAll);
  CommitTransactions(home_instance.get());
  const Tokens wanted(70000);
  EXPECT_EQ(home_instance->Lend(kCustomer, wanted, wanted, now_),
            (Loan{.availability = LoanAvailability::kSoon}));
  CommitTransactions(home_instance.get());
  EXPECT_EQ(home_instance->Lend(kCustomer, wanted, wanted, now_).amount,
            wanted);
}

TEST_F(PrepaidLedgerScenarioTest,
       AHomeInstanceThatReturnsItsTokensAnnouncesNoLoans) {
  const auto home_instance = MakeLedger("1", InheritedUse::kAll);
  CommitTransactions(home_instance.get());
  home_instance->StartReturningTokens();
  const Tokens wanted(70000);
  EXPECT_EQ(home_instance->Lend(kCustomer, wanted, wanted, now_), Loan{});
}

TEST_F(PrepaidLedgerScenarioTest, AHomeInstanceReportsThatThePoolIsEmpty) {
  const auto home_instance = MakeLedger("1", InheritedUse::kAll);
  CommitTransactions(home_instance.get());
  const Tokens wanted(200000);
  EXPECT_EQ(home_instance->Lend(kCustomer, wanted, wanted, now_).availability,
            LoanAvailability::kSoon);
  CommitTransactions(home_instance.get());
  EXPECT_EQ(home_instance->Lend(kCustomer, wanted, wanted, now_).availability,
            LoanAvailability::kPoolEmpty);
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
  const auto ending = MakeLedger("1", InheritedUse::kAll);
  CommitTransactions(ending.get());
  const Tokens held = ending->GetSummary(kCustomer).held_here;
  ASSERT_GT(held, Tokens(0));
  ending->StartReturningTokens();
  EXPECT_TRUE(ending->TakeTransfers(now_).empty());
  now_ += absl::Seconds(4);
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
  const auto lender = MakeLedger("1", InheritedUse::kAll);
  CommitTransactions(lender.get());
  PrepaidLedger borrower({.instance = "j", .incarnation = "1"});
  borrower.SetInstances(2);
  borrower.SetBudgets(MakeConfig(100000), now_);
  const Tokens lent =
      lender->Lend(kCustomer, Tokens(500), Tokens(0), now_).amount;
  EXPECT_EQ(lent, Tokens(500));
  borrower.Borrow(kCustomer, lent);
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kReserved);
  EXPECT_NE(borrower.Reserve(kCustomer, Tokens(1), now_),
            ReserveResult::kReserved);
}

}  // namespace
}  // namespace wisteriareel
