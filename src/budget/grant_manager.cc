#include "src/budget/grant_manager.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

// Wait between steps while the platform is unavailable or requests wait for a
// grant.
constexpr absl::Duration kRetryDelay = absl::Milliseconds(250);

// Returns `record` with the fields that identify its account taken from
// `reservation`, and with `billed` limited to the reserved amount.
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
                           const GrantManagerDependencies& dependencies)
    : options_(options),
      dependencies_(dependencies),
      holders_(options.holders) {
  StartLease();
  dependencies_.journal->SetPersistedObserver(
      [this](std::uint64_t number, const std::vector<RequestRecord>& records) {
        OnRecordsPersisted(number, records);
      });
}

void GrantManager::StartLease() {
  auto grants = std::make_unique<LeasedGrants>(
      options_, dependencies_.random->Next(), dependencies_.table,
      dependencies_.policy, dependencies_.clock, dependencies_.counters);
  std::lock_guard<std::mutex> lock(leased_grants_mutex_);
  current_.store(grants.get(), std::memory_order_release);
  leased_grants_.push_back(std::move(grants));
}

LeasedGrants* GrantManager::Find(std::uint64_t number) {
  LeasedGrants* current = Current();
  if (current->number() == number) return current;
  std::lock_guard<std::mutex> lock(leased_grants_mutex_);
  for (const auto& grants : leased_grants_) {
    if (grants->number() == number) return grants.get();
  }
  return nullptr;
}

std::vector<LeasedGrants*> GrantManager::AllLeasedGrants() {
  std::lock_guard<std::mutex> lock(leased_grants_mutex_);
  std::vector<LeasedGrants*> all;
  for (const auto& grants : leased_grants_) all.push_back(grants.get());
  return all;
}

std::optional<Reservation> GrantManager::Reserve(const BudgetId& budget,
                                                 const RequestId& request,
                                                 Tokens worst_case,
                                                 absl::Time deadline,
                                                 LastReason* reason) {
  Reason refusal = Reason::kNone;
  if (draining_) refusal = Reason::kDraining;
  if (!dependencies_.journal->HasRoom()) refusal = Reason::kRecordJournalFull;
  if (worst_case < Tokens(0)) refusal = Reason::kMalformed;
  if (refusal != Reason::kNone) {
    reason->Set(refusal, budget.value());
    return std::nullopt;
  }

  const std::int64_t amount = worst_case.value();
  LeasedGrants* grants = Current();
  BudgetAccount* account = grants->accounts().FindOrCreate(budget);
  account->RecordWorstCase(amount);
  refusal = grants->TryReserve(account, amount);
  if (refusal == Reason::kNone) {
    return Reservation{.budget = budget,
                       .request = request,
                       .amount = worst_case,
                       .grant = grants->number()};
  }
  const absl::Time until =
      std::min(deadline, dependencies_.clock->Now() + options_.reserve_timeout);
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
    LeasedGrants* grants = Current();
    BudgetAccount* account = grants->accounts().FindOrCreate(budget);
    const std::uint64_t attempts = account->grant_attempts;
    account->RequestGrant(amount);
    const Reason result = grants->TryReserve(account, amount);
    if (result == Reason::kNone) {
      --waiting_;
      return Reservation{.budget = budget,
                         .request = request,
                         .amount = Tokens(amount),
                         .grant = grants->number()};
    }
    if (!woken) Wake();
    woken = true;

    const absl::Duration remaining = until - dependencies_.clock->Now();
    bool stepped = false;
    if (remaining > absl::ZeroDuration()) {
      std::unique_lock<std::mutex> lock(stepped_mutex_);
      stepped = stepped_.wait_for(lock, absl::ToChronoNanoseconds(remaining),
                                  [&] { return steps_ != steps; });
    }
    const Reason last = account->last_refusal;
    refusal = last == Reason::kNone ? result : last;
    const bool final =
        account->grant_attempts != attempts &&
        (last == Reason::kBudgetExhausted || last == Reason::kBudgetUnknown);
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
  LeasedGrants* grants = Find(reservation.grant);
  if (grants == nullptr) return;
  const RequestRecord charged =
      ForAccount(record, reservation, options_.instance);
  BudgetAccount* account = grants->accounts().FindOrCreate(reservation.budget);
  account->Charge(reservation.amount.value(), charged.billed.value());
  dependencies_.journal->Append(charged);
  dependencies_.counters->Add(
      Counter::kTokensBilled,
      static_cast<std::uint64_t>(charged.billed.value()));
}

void GrantManager::Release(const Reservation& reservation) {
  LeasedGrants* grants = Find(reservation.grant);
  if (grants == nullptr) return;
  BudgetAccount* account = grants->accounts().FindOrCreate(reservation.budget);
  account->Deposit(reservation.amount.value());
}

void GrantManager::OnRecordsPersisted(
    std::uint64_t number, const std::vector<RequestRecord>& records) {
  for (LeasedGrants* grants : AllLeasedGrants()) {
    grants->RecordPersistedBatch(number, records);
  }
}

absl::Duration GrantManager::Step() {
  std::lock_guard<std::mutex> step_lock(step_mutex_);
  const int holders = std::max(1, holders_.load());
  GrantStepResult total;
  for (LeasedGrants* grants : AllLeasedGrants()) {
    const bool retired = grants != Current();
    if (retired && grants->IsSettled()) continue;
    const GrantStepResult step = grants->Step(holders);
    total.more |= step.more;
    total.platform_reached &= step.platform_reached;
  }
  if (Current()->reclaimed()) {
    dependencies_.events->Write(
        EventId::kGrantsReclaimed, Severity::kWarning,
        "grants of this instance were reclaimed after their lease expired; "
        "requesting new grants",
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
  for (LeasedGrants* grants : AllLeasedGrants()) grants->BeginReturn();
}

bool GrantManager::FinishDrain() {
  Step();
  std::lock_guard<std::mutex> step_lock(step_mutex_);
  for (LeasedGrants* grants : AllLeasedGrants()) {
    if (!grants->IsSettled()) return false;
  }
  return Current()->Close();
}

void GrantManager::AddBalance(const LeasedGrants& grants,
                              const BudgetAccount& account,
                              GrantBalance* balance) {
  const Tokens available(account.available());
  balance->available += available + Tokens(account.pending_return);
  if (grants.IsLeaseValid()) balance->spendable += available;
  balance->reserved += Tokens(account.reserved());
  balance->unreported += Tokens(account.settled() - account.reported);
}

GrantBalance GrantManager::Balance() {
  std::lock_guard<std::mutex> step_lock(step_mutex_);
  GrantBalance balance;
  for (LeasedGrants* grants : AllLeasedGrants()) {
    for (const BudgetAccount* account : grants->accounts().All()) {
      AddBalance(*grants, *account, &balance);
    }
  }
  return balance;
}

GrantBalance GrantManager::BalanceOf(const BudgetId& budget) {
  std::lock_guard<std::mutex> step_lock(step_mutex_);
  GrantBalance balance;
  for (LeasedGrants* grants : AllLeasedGrants()) {
    const BudgetAccount* account = grants->accounts().Find(budget);
    if (account != nullptr) AddBalance(*grants, *account, &balance);
  }
  return balance;
}

}  // namespace wisteriareel
