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

// Rows of one part, with writes that may be lost, answered without being
// seen, or carried out late.
class PartTable {
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

RouteConfig Budget(std::int64_t prepaid) {
  return {.revision = Revision(1),
          .customers = {{.id = kCustomer, .prepaid = Tokens(prepaid)}}};
}

// One instance over several lives, as the property test drives it.
struct Instance {
  std::string name;
  int lives = 0;
  std::unique_ptr<PrepaidLedger> ledger;
  // Reserved worst cases of running requests.
  std::vector<std::int64_t> running;
  bool cut_off = false;
  // What the last heartbeat told: the platform's clock of a contact.
  absl::Time told = absl::InfinitePast();
  absl::Time contact = absl::InfinitePast();
};

class Fleet {
 public:
  Fleet(int size, std::int64_t prepaid) : prepaid_(prepaid) {
    for (int n = 0; n < size; ++n) {
      instances_.push_back({.name = absl::StrCat("i", n)});
      Restart(&instances_.back());
    }
  }

  void Restart(Instance* instance) {
    // Whatever ran may have been consumed to the last token.
    for (const std::int64_t most : instance->running) consumed_ += most;
    instance->running.clear();
    instance->ledger = std::make_unique<PrepaidLedger>(PrepaidLedgerOptions{
        .instance = instance->name,
        .incarnation = absl::StrCat(instance->name, "-", ++instance->lives)});
    const PrepaidLedgerOptions defaults;
    instance->ledger->SetInheritedUse(now_ - instance->told <
                                              defaults.reserve_after
                                          ? InheritedUse::kAuthorized
                                          : InheritedUse::kAll);
    instance->ledger->SetInstances(static_cast<int>(instances_.size()));
    instance->ledger->SetBudgets(Budget(prepaid_), now_ - absl::Minutes(1));
    const bool home = instance->name == "i0";
    instance->ledger->SetHomeCustomers(
        [home](const CustomerId&) { return home; });
  }

  void Request(Instance* instance, std::int64_t most) {
    if (instance->ledger->Reserve(kCustomer, Tokens(most), now_) ==
        ReserveResult::kReserved) {
      instance->running.push_back(most);
    }
  }

  void End(Instance* instance, double used_share) {
    if (instance->running.empty()) return;
    const std::int64_t most = instance->running.back();
    instance->running.pop_back();
    const auto used =
        static_cast<std::int64_t>(static_cast<double>(most) * used_share);
    consumed_ += used;
    instance->ledger->Settle(kCustomer, Tokens(most), Tokens(used));
  }

  // `fate`: 0 answered, 1 lost before, 2 lost after it took effect, 3 late.
  void Order(Instance* instance, int fate) {
    for (const LedgerTransaction& transaction :
         instance->ledger->TakeTransactions(now_)) {
      CommitReply reply;
      if (instance->cut_off) {
        instance->ledger->CompleteTransaction(kCustomer, reply, now_);
        continue;
      }
      if (fate == 0) {
        reply = table_.Commit(transaction.transaction);
        instance->contact = now_;
        instance->ledger->RecordContact(now_);
      } else if (fate == 2) {
        table_.Commit(transaction.transaction);
      } else if (fate == 3) {
        late_.push_back(transaction.transaction);
      }
      instance->ledger->CompleteTransaction(kCustomer, reply, now_);
    }
  }

  void Heartbeat(Instance* instance) {
    if (instance->cut_off) return;
    instance->contact = now_;
    instance->ledger->RecordContact(now_);
    if (instance->ledger->IsWithinAuthorized()) instance->told = now_;
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

  // The instance ends and gives what it can't return to another one.
  void TransferTokens(Instance* from, Instance* to, bool lost) {
    from->ledger->StartReturningTokens();
    for (const TokenTransfer& transfer : from->ledger->TakeTransfers(now_)) {
      if (!lost && to != from) {
        to->ledger->Borrow(transfer.customer, transfer.amount);
      }
    }
  }

  void ApplyLate() {
    if (late_.empty()) return;
    table_.Commit(late_.front());
    late_.pop_front();
  }

  void Advance(absl::Duration duration) { now_ += duration; }
  Instance& at(int n) { return instances_[n % instances_.size()]; }
  std::vector<Instance>& instances() { return instances_; }

  // Returns what was consumed if all that runs consumes its worst case.
  std::int64_t MostConsumed() const {
    std::int64_t sum = consumed_;
    for (const Instance& instance : instances_) {
      for (const std::int64_t most : instance.running) sum += most;
    }
    return sum;
  }

 private:
  const std::int64_t prepaid_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  PartTable table_;
  std::deque<PartitionTransaction> late_;
  std::deque<Instance> storage_;
  std::vector<Instance> instances_;
  std::int64_t consumed_ = 0;
};

RC_GTEST_PROP(PrepaidLedgerTest, NeverMoreThanWasPaidIsConsumed, ()) {
  const auto prepaid = *rc::gen::inRange<std::int64_t>(1000, 100000);
  Fleet fleet(*rc::gen::inRange(1, 5), prepaid);
  const int steps = *rc::gen::inRange(20, 400);
  for (int n = 0; n < steps; ++n) {
    Instance& instance = fleet.at(*rc::gen::inRange(0, 100));
    switch (*rc::gen::inRange(0, 13)) {
      case 0:
      case 1:
      case 2:
        fleet.Request(&instance,
                      *rc::gen::inRange<std::int64_t>(
                          1, std::max<std::int64_t>(2, prepaid / 5)));
        break;
      case 3:
        fleet.End(&instance, *rc::gen::inRange(0, 11) / 10.0);
        break;
      case 4:
      case 5:
      case 6:
        fleet.Order(&instance, *rc::gen::element(0, 0, 0, 1, 2, 3));
        break;
      case 7:
        fleet.Heartbeat(&instance);
        break;
      case 8:
        fleet.Lend(&instance, &fleet.at(*rc::gen::inRange(0, 100)),
                   *rc::gen::inRange<std::int64_t>(0, prepaid),
                   *rc::gen::inRange(0, 4) == 0);
        break;
      case 9:
        fleet.ApplyLate();
        break;
      case 10:
        if (*rc::gen::inRange(0, 3) == 0) fleet.Restart(&instance);
        instance.cut_off = *rc::gen::inRange(0, 3) == 0;
        break;
      case 11:
        fleet.Advance(absl::Milliseconds(*rc::gen::inRange(0, 4000)));
        break;
      case 12:
        fleet.TransferTokens(&instance, &fleet.at(*rc::gen::inRange(0, 100)),
                             *rc::gen::inRange(0, 4) == 0);
        if (*rc::gen::inRange(0, 2) == 0) fleet.Restart(&instance);
        break;
      default:
        break;
    }
    RC_ASSERT(fleet.MostConsumed() <= prepaid);
  }
}

class PrepaidLedgerScript : public ::testing::Test {
 protected:
  void Serve(PrepaidLedger* ledger) {
    for (const LedgerTransaction& transaction :
         ledger->TakeTransactions(now_)) {
      ledger->CompleteTransaction(transaction.customer,
                                  table_.Commit(transaction.transaction), now_);
    }
    ledger->RecordContact(now_);
  }

  std::unique_ptr<PrepaidLedger> Make(const std::string& incarnation,
                                      InheritedUse use,
                                      std::int64_t prepaid = 100000) {
    auto ledger = std::make_unique<PrepaidLedger>(
        PrepaidLedgerOptions{.instance = "i", .incarnation = incarnation});
    ledger->SetInheritedUse(use);
    ledger->SetInstances(2);
    ledger->SetBudgets(Budget(prepaid), now_ - absl::Minutes(1));
    return ledger;
  }

  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  PartTable table_;
};

TEST_F(PrepaidLedgerScript, ARequestWaitsForItsGrantAndIsThenReserved) {
  const auto ledger = Make("1", InheritedUse::kAll);
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(30000), now_),
            ReserveResult::kWait);
  Serve(ledger.get());
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(30000), now_),
            ReserveResult::kReserved);
}

TEST_F(PrepaidLedgerScript, MoreThanIsLeftIsRefusedForGood) {
  const auto ledger = Make("1", InheritedUse::kAll, 1000);
  Serve(ledger.get());
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(1001), now_),
            ReserveResult::kExhausted);
}

TEST_F(PrepaidLedgerScript, ATopUpCountsAsSoonAsItIsInForce) {
  const auto ledger = Make("1", InheritedUse::kAll, 1000);
  Serve(ledger.get());
  ledger->SetBudgets(Budget(50000), now_);
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(20000), now_),
            ReserveResult::kWait);
  Serve(ledger.get());
  EXPECT_EQ(ledger->Reserve(kCustomer, Tokens(20000), now_),
            ReserveResult::kReserved);
}

TEST_F(PrepaidLedgerScript, TheReserveIsUsedOnlyOnceThePlatformIsAway) {
  const auto ledger = Make("1", InheritedUse::kAll);
  Serve(ledger.get());
  const Tokens near = ledger->FreeTokens(kCustomer, now_);
  const absl::Time later = now_ + absl::Seconds(4);
  EXPECT_GT(near, Tokens(0));
  EXPECT_GT(ledger->FreeTokens(kCustomer, later), near);
}

// Seen on a played day: after all instances were killed, a third of the
// budgets stayed granted to lives that had ended.
TEST_F(PrepaidLedgerScript,
       TheNextLifeGetsBackWhatItsPredecessorCannotHaveUsed) {
  const auto first = Make("1", InheritedUse::kAll);
  Serve(first.get());
  const std::int64_t granted = first->GetSummary(kCustomer).granted.value();
  const Tokens authorized = first->FreeTokens(kCustomer, now_);
  const auto second = Make("2", InheritedUse::kAuthorized);
  Serve(second.get());
  Serve(second.get());
  EXPECT_EQ(second->GetSummary(kCustomer).held_here,
            Tokens(second->GetSummary(kCustomer).granted.value()) - authorized);
  const auto third = Make("3", InheritedUse::kAll);
  Serve(third.get());
  EXPECT_EQ(third->FreeTokens(kCustomer, now_ + absl::Seconds(9)), Tokens(0));
  EXPECT_GT(granted, authorized.value());
}

TEST_F(PrepaidLedgerScript, AReturnInDoubtCannotBeSpent) {
  const auto ledger = Make("1", InheritedUse::kAll);
  ASSERT_EQ(ledger->Reserve(kCustomer, Tokens(40000), now_),
            ReserveResult::kWait);
  Serve(ledger.get());
  ASSERT_EQ(ledger->Reserve(kCustomer, Tokens(40000), now_),
            ReserveResult::kReserved);
  ledger->Settle(kCustomer, Tokens(40000), Tokens(0));
  ledger->StartReturningTokens();
  const auto orders = ledger->TakeTransactions(now_);
  ASSERT_EQ(orders.size(), 1U);
  ledger->CompleteTransaction(kCustomer, {.outcome = CommitOutcome::kUnknown},
                              now_);
  EXPECT_LE(ledger->FreeTokens(kCustomer, now_ + absl::Seconds(9)), Tokens(0));
}

TEST_F(PrepaidLedgerScript, AtTheEndAllIsReturned) {
  const auto ledger = Make("1", InheritedUse::kAll);
  Serve(ledger.get());
  ledger->StartReturningTokens();
  Serve(ledger.get());
  EXPECT_TRUE(ledger->IsSettled());
  EXPECT_EQ(ledger->GetSummary(kCustomer).granted, Tokens(0));
}

TEST_F(PrepaidLedgerScript, WhatAHomeCannotLendYetBecomesPartOfItsOrder) {
  const auto home = Make("1", InheritedUse::kAll);
  Serve(home.get());
  const Tokens wanted(70000);
  EXPECT_EQ(home->Lend(kCustomer, wanted, wanted, now_),
            (Loan{.availability = LoanAvailability::kSoon}));
  Serve(home.get());
  EXPECT_EQ(home->Lend(kCustomer, wanted, wanted, now_).amount, wanted);
}

TEST_F(PrepaidLedgerScript, AHomeThatEndsPromisesNothing) {
  const auto home = Make("1", InheritedUse::kAll);
  Serve(home.get());
  home->StartReturningTokens();
  const Tokens wanted(70000);
  EXPECT_EQ(home->Lend(kCustomer, wanted, wanted, now_), Loan{});
}

TEST_F(PrepaidLedgerScript, AHomeSaysThatThePoolIsEmpty) {
  const auto home = Make("1", InheritedUse::kAll);
  Serve(home.get());
  const Tokens wanted(200000);
  EXPECT_EQ(home->Lend(kCustomer, wanted, wanted, now_).availability,
            LoanAvailability::kSoon);
  Serve(home.get());
  EXPECT_EQ(home->Lend(kCustomer, wanted, wanted, now_).availability,
            LoanAvailability::kPoolEmpty);
}

// Seen on a played day: 59 instances that all ordered the tokens of a customer
// after a cut kept each other and the home from getting any for ten seconds.
TEST_F(PrepaidLedgerScript, ABorrowerLeavesTheOrderToItsHome) {
  PrepaidLedger borrower({.instance = "j", .incarnation = "1"});
  borrower.SetBudgets(Budget(100000), now_ - absl::Minutes(1));
  borrower.SetHomeCustomers([](const CustomerId&) { return false; });
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kWait);
  ASSERT_EQ(borrower.TakeLoanRequests(now_).size(), 1U);
  const auto again =
      borrower.CompleteLoan(kCustomer, LoanAvailability::kSoon, now_);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kWait);
  EXPECT_TRUE(borrower.TakeTransactions(now_).empty());
  now_ += *again;
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kWait);
  EXPECT_EQ(borrower.TakeLoanRequests(now_).size(), 1U);
}

TEST_F(PrepaidLedgerScript, ABorrowerThatEndsReturnsAllWhateverWasWaitedFor) {
  PrepaidLedger borrower({.instance = "j", .incarnation = "1"});
  borrower.SetBudgets(Budget(100000), now_ - absl::Minutes(1));
  borrower.SetHomeCustomers([](const CustomerId&) { return false; });
  borrower.Borrow(kCustomer, Tokens(300));
  borrower.Reserve(kCustomer, Tokens(500), now_);
  borrower.TakeLoanRequests(now_);
  borrower.CompleteLoan(kCustomer, LoanAvailability::kSoon, now_);
  borrower.Reserve(kCustomer, Tokens(500), now_);
  borrower.RecordContact(now_);
  borrower.StartReturningTokens();
  Serve(&borrower);
  Serve(&borrower);
  EXPECT_TRUE(borrower.IsSettled());
}

TEST_F(PrepaidLedgerScript, ABorrowerIsRefusedAtOnceWhereThePoolIsEmpty) {
  PrepaidLedger borrower({.instance = "j", .incarnation = "1"});
  borrower.SetBudgets(Budget(100000), now_ - absl::Minutes(1));
  borrower.SetHomeCustomers([](const CustomerId&) { return false; });
  borrower.Reserve(kCustomer, Tokens(500), now_);
  ASSERT_EQ(borrower.TakeLoanRequests(now_).size(), 1U);
  borrower.CompleteLoan(kCustomer, LoanAvailability::kPoolEmpty, now_);
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kHeldElsewhere);
}

TEST_F(PrepaidLedgerScript, WithoutItsHomeABorrowerOrdersItself) {
  PrepaidLedger borrower({.instance = "j", .incarnation = "1"});
  borrower.SetBudgets(Budget(100000), now_ - absl::Minutes(1));
  borrower.SetHomeCustomers([](const CustomerId&) { return false; });
  borrower.Reserve(kCustomer, Tokens(500), now_);
  ASSERT_EQ(borrower.TakeLoanRequests(now_).size(), 1U);
  borrower.CompleteLoan(kCustomer, LoanAvailability::kNone, now_);
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kWait);
  Serve(&borrower);
  EXPECT_EQ(borrower.Reserve(kCustomer, Tokens(500), now_),
            ReserveResult::kReserved);
}

// Seen on a played day: instances that were restarted in turn while the
// platform was away stranded what they held.
TEST_F(PrepaidLedgerScript, AnInstanceThatEndsWithoutThePlatformGivesAway) {
  const auto ending = Make("1", InheritedUse::kAll);
  Serve(ending.get());
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

  PrepaidLedger heir({.instance = "j", .incarnation = "1"});
  heir.SetBudgets(Budget(100000), now_ - absl::Minutes(1));
  heir.SetHomeCustomers([](const CustomerId&) { return false; });
  heir.Borrow(kCustomer, held);
  // It isn't put in doubt by a return that nobody answers.
  EXPECT_TRUE(heir.TakeTransactions(now_).empty());
  EXPECT_EQ(heir.Reserve(kCustomer, held, now_), ReserveResult::kReserved);
}

TEST_F(PrepaidLedgerScript, ALoanMovesTokensWithoutThePlatform) {
  const auto lender = Make("1", InheritedUse::kAll);
  Serve(lender.get());
  PrepaidLedger borrower({.instance = "j", .incarnation = "1"});
  borrower.SetInstances(2);
  borrower.SetBudgets(Budget(100000), now_);
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
