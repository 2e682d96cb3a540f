#include "src/budget/grant_manager.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kRetryDelay = absl::Milliseconds(250);

RequestRecord ForAccount(const RequestRecord& record,
                         const Reservation& reservation,
                         const InstanceId& instance) {
  RequestRecord copy = record;
  copy.request = reservation.request;
  copy.budget = reservation.budget;
  copy.grant = reservation.grant;
  copy.instance = instance;
  copy.billed = std::clamp(record.billed, Tokens(0), reservation.amount);
  return copy;
}

}  // namespace

GrantManager::GrantManager(const GrantManagerOptions& options,
                           const GrantManagerDependencies& parts)
    : options_(options), parts_(parts), holders_(options.holders) {
  StartLease();
  parts_.journal->SetPersistedObserver(
      [this](std::uint64_t number, const std::vector<RequestRecord>& records) {
        OnRecordsPersisted(number, records);
      });
}

void GrantManager::StartLease() {
  auto holding =
      std::make_unique<Holding>(options_, parts_.random->Next(), parts_.table,
                                parts_.policy, parts_.clock, parts_.counters);
  std::lock_guard<std::mutex> lock(leased_grants_mutex_);
  current_.store(holding.get(), std::memory_order_release);
  leased_grants_.push_back(std::move(holding));
}

Holding* GrantManager::Find(std::uint64_t number) {
  Holding* current = Current();
  if (current->number() == number) return current;
  std::lock_guard<std::mutex> lock(leased_grants_mutex_);
  for (const auto& holding : leased_grants_) {
    if (holding->number() == number) return holding.get();
  }
  return nullptr;
}

std::vector<Holding*> GrantManager::AllLeasedGrants() {
  std::lock_guard<std::mutex> lock(leased_grants_mutex_);
  std::vector<Holding*> all;
  for (const auto& holding : leased_grants_) all.push_back(holding.get());
  return all;
}

std::optional<Reservation> GrantManager::Reserve(const BudgetId& budget,
                                                 const RequestId& request,
                                                 Tokens worst_case,
                                                 absl::Time deadline,
                                                 LastReason* reason) {
  Reason refusal = Reason::kNone;
  if (draining_) refusal = Reason::kDraining;
  if (!parts_.journal->HasRoom()) refusal = Reason::kRecordJournalFull;
  if (worst_case < Tokens(0)) refusal = Reason::kMalformed;
  if (refusal != Reason::kNone) {
    reason->Set(refusal, budget.value());
    return std::nullopt;
  }

  const std::int64_t amount = worst_case.value();
  Holding* holding = Current();
  Account* account = holding->accounts().FindOrCreate(budget);
  account->RecordWorstCase(amount);
  refusal = holding->TryReserve(account, amount);
  if (refusal == Reason::kNone) {
    return Reservation{.budget = budget,
                       .request = request,
                       .amount = worst_case,
                       .grant = holding->number()};
  }
  const absl::Time until =
      std::min(deadline, parts_.clock->Now() + options_.patience);
  return WaitForGrant(budget, request, amount, until, refusal, reason);
}

std::optional<Reservation> GrantManager::WaitForGrant(
    const BudgetId& budget, const RequestId& request, std::int64_t amount,
    absl::Time until, Reason refusal, LastReason* reason) {
  ++waiting_;
  bool woken = false;
  while (true) {
    std::uint64_t steps = 0;
    {
      std::lock_guard<std::mutex> lock(stepped_mutex_);
      steps = steps_;
    }
    Holding* holding = Current();
    Account* account = holding->accounts().FindOrCreate(budget);
    const std::uint64_t answers = account->answers;
    account->RequestGrant(amount);
    const Reason tried = holding->TryReserve(account, amount);
    if (tried == Reason::kNone) {
      --waiting_;
      return Reservation{.budget = budget,
                         .request = request,
                         .amount = Tokens(amount),
                         .grant = holding->number()};
    }
    if (!woken) Wake();
    woken = true;

    const absl::Duration left = until - parts_.clock->Now();
    bool stepped = false;
    if (left > absl::ZeroDuration()) {
      std::unique_lock<std::mutex> lock(stepped_mutex_);
      stepped = stepped_.wait_for(lock, absl::ToChronoNanoseconds(left),
                                  [&] { return steps_ != steps; });
    }
    const Reason said = account->refusal;
    refusal = said == Reason::kNone ? tried : said;
    const bool final =
        account->answers != answers &&
        (said == Reason::kBudgetExhausted || said == Reason::kBudgetUnknown);
    if (stepped && !final && !draining_) continue;
    break;
  }
  --waiting_;
  reason->Set(refusal, budget.value());
  return std::nullopt;
}

void GrantManager::Wake() {
  if (wake_) wake_();
}

void GrantManager::Settle(const Reservation& reservation,
                          const RequestRecord& record) {
  Holding* holding = Find(reservation.grant);
  if (holding == nullptr) return;
  const RequestRecord charged =
      ForAccount(record, reservation, options_.instance);
  Account* account = holding->accounts().FindOrCreate(reservation.budget);
  account->Charge(reservation.amount.value(), charged.billed.value());
  parts_.journal->Append(charged);
  parts_.counters->Add(Counter::kTokensBilled,
                       static_cast<std::uint64_t>(charged.billed.value()));
}

void GrantManager::Release(const Reservation& reservation) {
  Holding* holding = Find(reservation.grant);
  if (holding == nullptr) return;
  Account* account = holding->accounts().FindOrCreate(reservation.budget);
  account->Put(reservation.amount.value());
}

void GrantManager::OnRecordsPersisted(
    std::uint64_t number, const std::vector<RequestRecord>& records) {
  for (Holding* holding : AllLeasedGrants())
    holding->RecordPersistedBatch(number, records);
}

absl::Duration GrantManager::Step() {
  std::lock_guard<std::mutex> step_lock(step_mutex_);
  const int holders = std::max(1, holders_.load());
  GrantStepResult total;
  for (Holding* holding : AllLeasedGrants()) {
    const bool retired = holding != Current();
    if (retired && holding->Settled()) continue;
    const GrantStepResult step = holding->Step(holders);
    total.more |= step.more;
    total.platform_reached &= step.platform_reached;
  }
  if (Current()->reclaimed()) {
    parts_.events->Write(
        EventId::kGrantsReclaimed, Severity::kWarning,
        "this instance's grants were reclaimed after their lease lapsed",
        {{"holder", HolderName(options_.instance, Current()->number())}});
    StartLease();
  }
  {
    std::lock_guard<std::mutex> lock(stepped_mutex_);
    ++steps_;
    stepped_.notify_all();
  }
  if (!total.platform_reached) return kRetryDelay;
  if (total.more) return absl::ZeroDuration();
  if (waiting_ > 0) return std::min(kRetryDelay, options_.poll_interval);
  return options_.poll_interval;
}

void GrantManager::BeginDrain() {
  draining_ = true;
  for (Holding* holding : AllLeasedGrants()) holding->GiveUp();
}

bool GrantManager::FinishDrain() {
  Step();
  std::lock_guard<std::mutex> step_lock(step_mutex_);
  for (Holding* holding : AllLeasedGrants()) {
    if (!holding->Settled()) return false;
  }
  return Current()->Close();
}

void GrantManager::AddBalance(const Holding& holding, const Account& account,
                              GrantBalance* balance) {
  const Tokens available(account.available());
  balance->available += available + Tokens(account.pending_return);
  if (holding.IsLeaseValid()) balance->spendable += available;
  balance->reserved += Tokens(account.reserved());
  balance->unreported += Tokens(account.settled() - account.reported);
}

GrantBalance GrantManager::Balance() {
  std::lock_guard<std::mutex> step_lock(step_mutex_);
  GrantBalance balance;
  for (Holding* holding : AllLeasedGrants()) {
    for (const Account* account : holding->accounts().All()) {
      AddBalance(*holding, *account, &balance);
    }
  }
  return balance;
}

GrantBalance GrantManager::BalanceOf(const BudgetId& budget) {
  std::lock_guard<std::mutex> step_lock(step_mutex_);
  GrantBalance balance;
  for (Holding* holding : AllLeasedGrants()) {
    const Account* account = holding->accounts().Find(budget);
    if (account != nullptr) AddBalance(*holding, *account, &balance);
  }
  return balance;
}

}  // namespace wisteriareel
