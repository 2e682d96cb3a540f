#include "test/budget_fleet.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "src/budget/budget_rows.h"
#include "src/budget/budget_snapshot.h"
#include "src/budget/store_record_reader.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(1);
// Clock rates differ from the shared clock by at most two steps, which is less
// than half the margin, so that two rates differ by less than the margin.
constexpr double kRateStep = kDefaultClockRateMargin / 5;

}  // namespace

void PlatformLink::DeliverDelayed() {
  for (const Transaction& transaction : delayed_) {
    table_->Commit(transaction, kTimeout);
  }
  delayed_.clear();
}

CommitOutcome PlatformLink::Commit(const Transaction& transaction,
                                   absl::Duration timeout) {
  if (cut) return CommitOutcome::kRejected;
  if (lose_requests > 0) {
    --lose_requests;
    return CommitOutcome::kUnknown;
  }
  if (delay_commits > 0) {
    --delay_commits;
    delayed_.push_back(transaction);
    return CommitOutcome::kUnknown;
  }
  const CommitOutcome outcome = table_->Commit(transaction, timeout);
  if (outcome == CommitOutcome::kCommitted) {
    ++transactions;
    rows_written += transaction.writes.size();
  }
  if (lose_replies > 0) {
    --lose_replies;
    return CommitOutcome::kUnknown;
  }
  return outcome;
}

std::optional<std::vector<Row>> PlatformLink::Read(
    const std::vector<RowKey>& keys, absl::Duration timeout,
    LastReason* reason) {
  if (!cut) return table_->Read(keys, timeout, reason);
  reason->Set(Reason::kPlatformUnavailable);
  return std::nullopt;
}

std::optional<std::vector<Row>> PlatformLink::Scan(const std::string& table,
                                                   const std::string& after,
                                                   int limit,
                                                   absl::Duration timeout,
                                                   LastReason* reason) {
  if (!cut) return table_->Scan(table, after, limit, timeout, reason);
  reason->Set(Reason::kPlatformUnavailable);
  return std::nullopt;
}

CommitOutcome PlatformLink::Put(const std::string& name,
                                const std::string& bytes,
                                absl::Duration timeout) {
  if (cut) return CommitOutcome::kRejected;
  const CommitOutcome outcome = store_->Put(name, bytes, timeout);
  if (outcome == CommitOutcome::kCommitted) ++objects_written;
  if (lose_puts == 0) return outcome;
  --lose_puts;
  return CommitOutcome::kUnknown;
}

std::optional<std::string> PlatformLink::Get(const std::string& name,
                                             absl::Duration timeout,
                                             LastReason* reason) {
  if (!cut) return store_->Get(name, timeout, reason);
  reason->Set(Reason::kPlatformUnavailable);
  return std::nullopt;
}

std::optional<std::vector<std::string>> PlatformLink::List(
    const std::string& prefix, const std::string& after, int limit,
    absl::Duration timeout, LastReason* reason) {
  if (!cut) return store_->List(prefix, after, limit, timeout, reason);
  reason->Set(Reason::kPlatformUnavailable);
  return std::nullopt;
}

BudgetFleet::BudgetFleet(int instances, int budgets, const SizingPolicy* policy,
                         const GrantManagerOptions& options, std::uint64_t seed)
    : options_(options),
      policy_(policy),
      random_(MakeSeededRandom(seed)),
      admin_({.stripes = 3}, &table_, &clock_),
      ledgers_(static_cast<std::size_t>(budgets)) {
  options_.holders = instances;
  ids_ = std::make_unique<RequestIdGenerator>(InstanceId("ids"), &clock_,
                                              random_.get());
  for (int i = 0; i < instances; ++i) {
    BudgetInstance instance;
    instance.clock = std::make_unique<SkewedClock>(
        &clock_, absl::Seconds(7 * i), 1 + kRateStep * (i % 5 - 2));
    instance.link = std::make_unique<PlatformLink>(&table_, &store_);
    instances_.push_back(std::move(instance));
    Replace(i);
  }
}

BudgetId BudgetFleet::budget(int n) const {
  return BudgetId(absl::StrCat("b", n));
}

void BudgetFleet::TopUp(int budget, std::int64_t amount, int lost_replies) {
  const OrderId order(absl::StrCat("top-up-", ++top_ups_));
  table_.SetFaults({.lose_replies = lost_replies});
  LastReason reason;
  admin_.TopUp(this->budget(budget), order, Tokens(amount), "op", kTimeout,
               &reason);
  table_.SetFaults({});
  // Operator tools retry the order.
  admin_.TopUp(this->budget(budget), order, Tokens(amount), "op", kTimeout,
               &reason);
}

bool BudgetFleet::Request(int instance, int budget, std::int64_t worst_case,
                          bool paused_late) {
  BudgetInstance& at = instances_[static_cast<std::size_t>(instance)];
  if (!at.process) {
    at.clock->CancelPause();
    return false;
  }
  LastReason reason;
  const auto reservation = at.process->manager.Reserve(
      this->budget(budget), ids_->Next(), Tokens(worst_case),
      absl::InfinitePast(), &reason);
  at.clock->CancelPause();
  if (!reservation) return false;
  at.process->open.push_back(*reservation);
  if (violation_.empty() && !paused_late) {
    violation_ = CheckReservation(instance, *reservation);
  }
  return true;
}

// Checks that the reservation was not made after its grants were reclaimed.
std::string BudgetFleet::CheckReservation(int instance,
                                          const Reservation& reservation) {
  const std::string holder =
      HolderName(InstanceId(absl::StrCat("i", instance)), reservation.grant);
  LastReason reason;
  const auto rows = table_.Read({HolderKey(holder)}, kTimeout, &reason);
  if (rows->empty()) return absl::StrCat("no holder row for ", holder);
  const auto row = DecodeHolder(rows->front().value);
  if (row->state == HolderState::kActive) return "";
  return absl::StrCat(holder, " reserved ", reservation.amount.value(),
                      " after its grants were reclaimed");
}

void BudgetFleet::Finish(int instance, std::size_t n, std::int64_t billed,
                         bool release) {
  BudgetInstance& at = instances_[static_cast<std::size_t>(instance)];
  if (!at.process || at.process->open.empty()) return;
  std::vector<Reservation>& open = at.process->open;
  const std::size_t index = n % open.size();
  const Reservation reservation = open[index];
  open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
  if (release) {
    at.process->manager.Release(reservation);
    return;
  }
  const std::int64_t charged = std::min(billed, reservation.amount.value());
  const int number = std::stoi(reservation.budget.value().substr(1));
  Ledger& ledger = ledgers_[static_cast<std::size_t>(number)];
  ledger.billed += charged;
  ledger.spent += charged;
  at.process->manager.Settle(reservation,
                             RequestRecord{.request = reservation.request,
                                           .billed = Tokens(charged),
                                           .started = at.clock->Now(),
                                           .finished = at.clock->Now()});
}

void BudgetFleet::Kill(int instance) {
  BudgetInstance& at = instances_[static_cast<std::size_t>(instance)];
  if (!at.process) return;
  for (const Reservation& reservation : at.process->open) {
    const int number = std::stoi(reservation.budget.value().substr(1));
    Ledger& ledger = ledgers_[static_cast<std::size_t>(number)];
    ledger.spent += reservation.amount.value();
  }
  at.process.reset();
}

void BudgetFleet::Replace(int instance) {
  BudgetInstance& at = instances_[static_cast<std::size_t>(instance)];
  if (at.process) return;
  GrantManagerOptions options = options_;
  options.instance = InstanceId(absl::StrCat("i", instance));
  at.process = std::make_unique<BudgetProcess>(options, at.link.get(), policy_,
                                               at.clock.get(), random_.get());
}

void BudgetFleet::ReclaimAll(int instance) {
  BudgetInstance& at = instances_[static_cast<std::size_t>(instance)];
  if (!at.process) return;
  GrantReclaimer& reclaimer = at.process->reclaimer;
  reclaimer.ReclaimStep(at.clock->Now());
  clock_.Advance(options_.lease * 1.05);
  at.process->manager.Step();
  reclaimer.ReclaimStep(at.clock->Now());
  reclaimer.ReclaimStep(at.clock->Now());
}

void BudgetFleet::Quiesce() {
  for (int i = 0; i < size(); ++i) {
    PlatformLink& link = *instance(i).link;
    link.cut = false;
    link.lose_replies = link.lose_requests = 0;
    link.delay_commits = link.lose_puts = 0;
    link.DeliverDelayed();
    while (instance(i).process && !instance(i).process->open.empty()) {
      Finish(i, 0, 1, /*release=*/false);
    }
  }
  for (int n = 0; n < 12; ++n) {
    clock_.Advance(options_.report_interval);
    for (int i = 0; i < size(); ++i) {
      if (!instance(i).process) continue;
      instance(i).process->journal.Step();
      instance(i).process->manager.Step();
    }
  }
}

Tokens BudgetFleet::AcceptedTopUps(int budget) {
  LastReason reason;
  const auto lines = admin_.History(this->budget(budget), kTimeout, &reason);
  Tokens sum;
  for (const AcceptedTopUp& line : *lines) sum += line.amount;
  return sum;
}

void BudgetFleet::ReadNewRecords() {
  LastReason reason;
  const auto names = store_.List("records/", "", 1'000'000, kTimeout, &reason);
  for (const std::string& name : *names) {
    if (!batches_read_.insert(name).second) continue;
    const auto records = DecodeRecords(*store_.Get(name, kTimeout, &reason));
    for (const RequestRecord& record : *records) {
      recorded_sums_[record.budget] += record.billed.value();
      if (recorded_.insert(record.request).second) continue;
      violation_ = "recorded twice: " + record.request.value();
    }
  }
}

std::string BudgetFleet::Check() {
  if (!violation_.empty()) return violation_;
  ReadNewRecords();
  for (std::size_t i = 0; i < ledgers_.size(); ++i) {
    const int number = static_cast<int>(i);
    std::string violation = CheckBudget(number);
    if (!violation.empty()) return violation;
    LastReason reason;
    const auto status = admin_.Status(budget(number), kTimeout, &reason);
    if (!status) continue;
    const std::int64_t recorded = recorded_sums_[budget(number)];
    if (status->settled > Tokens(recorded)) {
      return absl::StrCat(budget(number).value(), ": settled ",
                          status->settled.value(), " but recorded ", recorded);
    }
    if (recorded > ledgers_[i].billed) {
      return absl::StrCat(budget(number).value(), ": recorded ", recorded,
                          " but billed ", ledgers_[i].billed);
    }
  }
  return violation_;
}

// Checks that the top-ups cover the tokens that were spent, may still be spent
// and may still be granted, and that the stripes match the grant rows.
std::string BudgetFleet::CheckBudget(int number) {
  LastReason reason;
  const BudgetId id = budget(number);
  const auto snapshots =
      ReadBudgetSnapshots(&table_, {id}, {0}, kTimeout, &reason);
  const std::int64_t topped_up = AcceptedTopUps(number).value();
  const std::int64_t free =
      snapshots->front() ? snapshots->front()->Ungranted().value() : 0;
  const StripeRow sum =
      snapshots->front() ? snapshots->front()->Sum() : StripeRow{};
  std::int64_t spendable = 0;
  for (BudgetInstance& at : instances_) {
    if (!at.process) continue;
    const GrantBalance balance = at.process->manager.BalanceOf(id);
    spendable += balance.reserved.value() + balance.spendable.value();
  }
  const std::int64_t spent = ledgers_[static_cast<std::size_t>(number)].spent;
  if (free < 0 || spent + spendable + free > topped_up) {
    return absl::StrCat(id.value(), ": spent ", spent, " + spendable ",
                        spendable, " + free ", free, " > topped up ",
                        topped_up);
  }
  GrantRow rows;
  const auto grants =
      table_.Scan(kGrantTable, "", 1'000'000, kTimeout, &reason);
  for (const Row& row : *grants) {
    if (row.key.key.substr(row.key.key.rfind('/') + 1) != id.value()) continue;
    const auto grant = DecodeGrant(row.value);
    rows.granted += grant->Outstanding();
    rows.written_off += grant->written_off;
  }
  if (rows.granted != sum.Outstanding() ||
      rows.written_off != sum.written_off) {
    return absl::StrCat(id.value(), ": rows have ", rows.granted.value(),
                        " outstanding and ", rows.written_off.value(),
                        " written off, stripes ", sum.Outstanding().value(),
                        " and ", sum.written_off.value());
  }
  return "";
}

std::string BudgetFleet::CheckQuiet() {
  for (BudgetInstance& at : instances_) {
    if (!at.process) continue;
    const GrantBalance balance = at.process->manager.Balance();
    if (balance.unreported != Tokens(0) ||
        at.process->journal.pending_records() != 0) {
      return absl::StrCat(
          "unreported: ", balance.unreported.value(),
          ", records waiting: ", at.process->journal.pending_records());
    }
  }
  return Check();
}

}  // namespace wisteriareel
