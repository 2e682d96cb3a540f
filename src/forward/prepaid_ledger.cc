#include "src/forward/prepaid_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

constexpr char kTable[] = "budgets";
constexpr char kPoolRow[] = "pool";
// Time constant of the average of demand.
constexpr absl::Duration kDemandMemory = absl::Seconds(4);
// A grant is requested when the held tokens fall below this share of the target
// holding.
constexpr double kRefillShare = 0.85;
// A home instance without requests so far holds 1 / kIdleDivisor of a budget.
constexpr int kIdleDivisor = 5;
// Maximum share of the ungranted and held tokens that a home instance holds, in
// percent. Instances that can't reach it can't use its tokens.
constexpr int kMaxHeldPercent = 80;
// Maximum share of the ungranted and held tokens that an instance authorizes
// ahead of use, in percent. They are lost when the instance is killed.
constexpr int kMaxAuthorizedPercent = 25;
// Less than 1 / kMinReturnDivisor of a budget isn't worth a transaction that
// returns it.
constexpr int kMinReturnDivisor = 1000;
// Settled tokens are reported at this interval, so that other instances can
// tell an exhausted budget from one that is held elsewhere. The interval grows
// with the number of instances.
constexpr absl::Duration kMinReportInterval = absl::Seconds(2);
constexpr absl::Duration kReportIntervalPerInstance = absl::Milliseconds(100);
// Factor on the report interval of instances that only borrow, so that the
// transactions of the home instance rarely conflict.
constexpr int kBorrowerReportFactor = 2;
// The first transactions of instances that start together are spread over this
// time.
constexpr absl::Duration kStartSpread = absl::Milliseconds(2500);
// Transactions that conflict are retried after a random share of this time,
// which doubles with each conflict. About the time of one table transaction.
constexpr absl::Duration kConflictDelay = absl::Milliseconds(8);
constexpr int kMaxConflictDoublings = 6;
// Time after which an empty pool is read again.
constexpr absl::Duration kEmptyPoolInterval = absl::Milliseconds(400);
// Time since the last contact for which the platform counts as available.
// Longer than the interval at which an instance polls the list of targets.
constexpr absl::Duration kRecentContact = absl::Seconds(2);
// A borrower returns the tokens that it doesn't expect to use in this time.
constexpr absl::Duration kBorrowerHoldTime = absl::Seconds(1);
// Tokens are authorized for this time in addition to `reserve_after`.
constexpr absl::Duration kAuthorizedMargin = absl::Milliseconds(500);
constexpr absl::Duration kFirstBackoff = absl::Milliseconds(150);
constexpr absl::Duration kMaxBackoff = absl::Seconds(1);

// Decodes the leading fields of a row as decimal numbers. Fields are separated
// by blanks; names follow the numbers.
template <typename... Numbers>
bool DecodeNumbers(const std::vector<std::string>& fields,
                   Numbers*... numbers) {
  std::size_t n = 0;
  return fields.size() >= sizeof...(numbers) &&
         (absl::SimpleAtoi(fields[n++], numbers) && ...);
}

}  // namespace

PrepaidLedger::PrepaidLedger(PrepaidLedgerOptions options)
    : options_(std::move(options)) {}

PartitionRowKey PrepaidLedger::PoolKey(const CustomerId& id) {
  return {.table = kTable, .partition = id.value(), .key = kPoolRow};
}

PartitionRowKey PrepaidLedger::HolderKey(const CustomerId& id) const {
  return {.table = kTable,
          .partition = id.value(),
          .key = absl::StrCat("holder/", options_.instance)};
}

void PrepaidLedger::SetBudgets(const RouteConfig& config, absl::Time now) {
  for (auto& [id, account] : accounts_) account.prepaid = std::nullopt;
  for (const CustomerSpec& customer : config.customers) {
    const auto [it, added] = accounts_.try_emplace(customer.id);
    Account& account = it->second;
    const bool changed = account.prepaid != customer.prepaid;
    account.prepaid = customer.prepaid;
    if (!changed) continue;
    account.pool_empty = false;
    // All instances learn of a budget at the same time, but only those with
    // requests need tokens immediately.
    account.next_transaction =
        now + (added ? NextJitter() * kStartSpread : absl::ZeroDuration());
  }
}

double PrepaidLedger::NextJitter() {
  return static_cast<double>(StableHash(options_.incarnation, ++spreads_) >>
                             11) *
         0x1.0p-53;
}

absl::Duration PrepaidLedger::ReportInterval() const {
  return std::max(kMinReportInterval, instances_ * kReportIntervalPerInstance);
}

void PrepaidLedger::SetInstances(int count) { instances_ = std::max(1, count); }

void PrepaidLedger::RecordContact(absl::Time sent) {
  last_contact_ = std::max(last_contact_, sent);
}

std::int64_t PrepaidLedger::UsedAmount(const Account& account) {
  return account.settled + account.reserved + account.lent +
         account.written_off;
}

bool PrepaidLedger::IsWithinAuthorized() const {
  return std::all_of(accounts_.begin(), accounts_.end(), [](const auto& entry) {
    const Account& account = entry.second;
    if (!account.prepaid.has_value()) return true;
    std::int64_t authorized = account.own.authorized;
    if (account.pending.has_value()) {
      authorized = std::min(authorized, account.pending->own.authorized);
    }
    return UsedAmount(account) <= authorized;
  });
}

std::int64_t PrepaidLedger::UsageLimit(const Account& account,
                                       absl::Time now) const {
  const bool reserve_usable = now - last_contact_ > options_.reserve_after;
  const auto limit = [reserve_usable](const Holding& own) {
    return reserve_usable ? own.granted : std::min(own.granted, own.authorized);
  };
  if (!account.pending.has_value()) return limit(account.own);
  return std::min(limit(account.own), limit(account.pending->own));
}

std::int64_t PrepaidLedger::FreeAmount(const Account& account,
                                       absl::Time now) const {
  return UsageLimit(account, now) - UsedAmount(account);
}

void PrepaidLedger::RecordUse(Account* account, std::int64_t amount,
                              absl::Time now) {
  if (account->rate_at != absl::InfinitePast()) {
    account->recent_use *=
        std::exp(-absl::FDivDuration(now - account->rate_at, kDemandMemory));
  }
  account->rate_at = now;
  account->recent_use += static_cast<double>(amount);
}

ReserveResult PrepaidLedger::Reserve(const CustomerId& customer,
                                     Tokens max_tokens, absl::Time now) {
  Account& account = accounts_[customer];
  if (!account.prepaid.has_value()) return ReserveResult::kReserved;
  const std::int64_t amount = max_tokens.value();
  if (FreeAmount(account, now) >= amount) {
    account.reserved += amount;
    RecordUse(&account, amount, now);
    return ReserveResult::kReserved;
  }
  if (account.pool_known) {
    const std::int64_t prepaid = account.prepaid->value();
    const std::int64_t unreported = account.settled - account.own.settled;
    if (prepaid - account.pool.settled - unreported < amount) {
      return ReserveResult::kExhausted;
    }
  }
  account.wanted += amount;
  account.min_wanted =
      account.min_wanted == 0 ? amount : std::min(account.min_wanted, amount);
  return HandleShortfall(&account, now);
}

std::int64_t PrepaidLedger::WantedFromPool(const Account& account) {
  return account.is_home || account.transaction_allowed ? account.wanted : 0;
}

bool PrepaidLedger::CanTransact(const Account& account, absl::Time now) {
  return !account.platform_unavailable &&
         (!account.pool_empty || account.next_transaction <= now);
}

ReserveResult PrepaidLedger::HandleShortfall(Account* account, absl::Time now) {
  const bool can_transact = CanTransact(*account, now);
  if (account->is_home && can_transact) return ReserveResult::kWait;
  if (account->loan_in_flight) return ReserveResult::kWait;
  if (account->next_loan <= now) {
    account->loan_wanted = true;
    return ReserveResult::kWait;
  }
  if (account->shortage == LoanAvailability::kSoon) return ReserveResult::kWait;
  if (account->shortage == LoanAvailability::kPoolEmpty) {
    return ReserveResult::kHeldElsewhere;
  }
  if (can_transact) {
    account->transaction_allowed = true;
    return ReserveResult::kWait;
  }
  return account->platform_unavailable ? ReserveResult::kPlatformUnavailable
                                       : ReserveResult::kHeldElsewhere;
}

void PrepaidLedger::Settle(const CustomerId& customer, Tokens max_tokens,
                           Tokens used) {
  Account& account = accounts_[customer];
  // Nothing was reserved if the customer's budget was unlimited at that time.
  const std::int64_t reserved = std::min(account.reserved, max_tokens.value());
  if (reserved == 0) return;
  account.reserved -= reserved;
  account.settled += std::min(used.value(), reserved);
}

double PrepaidLedger::ReservationRate(const Account& account,
                                      absl::Time now) const {
  if (account.rate_at == absl::InfinitePast()) return 0;
  return account.recent_use *
         std::exp(-absl::FDivDuration(now - account.rate_at, kDemandMemory)) /
         absl::ToDoubleSeconds(kDemandMemory);
}

std::int64_t PrepaidLedger::TargetHolding(const Account& account,
                                          absl::Time now) const {
  if (returning_tokens_ || !account.is_home) return 0;
  const std::int64_t prepaid = account.prepaid->value();
  const std::int64_t available = prepaid - account.pool.granted;
  const double by_rate =
      ReservationRate(account, now) * absl::ToDoubleSeconds(options_.horizon);
  const std::int64_t target =
      std::max(static_cast<std::int64_t>(by_rate), prepaid / kIdleDivisor);
  // Held tokens count too; otherwise a grant would lower the target that it
  // fills.
  const std::int64_t held =
      std::max<std::int64_t>(0, account.own.granted - UsedAmount(account));
  const std::int64_t max_holding =
      (std::max<std::int64_t>(0, available) + held) * kMaxHeldPercent / 100;
  return std::clamp<std::int64_t>(target, 0, max_holding);
}

std::int64_t PrepaidLedger::AuthorizationAhead(const Account& account,
                                               absl::Time now) const {
  if (returning_tokens_) return 0;
  const absl::Duration time = options_.reserve_after + kAuthorizedMargin;
  const double by_rate =
      ReservationRate(account, now) * absl::ToDoubleSeconds(time);
  // A home instance without requests so far authorizes its idle holding in
  // proportion to the time.
  const bool unused = account.rate_at == absl::InfinitePast();
  const double idle = account.is_home && unused
                          ? static_cast<double>(account.prepaid->value()) /
                                kIdleDivisor *
                                absl::FDivDuration(time, options_.horizon)
                          : 0;
  const std::int64_t left = std::max<std::int64_t>(
      0, account.prepaid->value() - account.pool.granted + account.own.granted -
             UsedAmount(account));
  return std::min(static_cast<std::int64_t>(std::max(by_rate, idle)),
                  left * kMaxAuthorizedPercent / 100);
}

std::int64_t PrepaidLedger::PlanGrant(const Account& account,
                                      absl::Time now) const {
  if (returning_tokens_) return 0;
  const std::int64_t available =
      account.prepaid->value() - account.pool.granted;
  const std::int64_t held = account.own.granted - UsedAmount(account);
  const std::int64_t target = TargetHolding(account, now);
  std::int64_t grant = 0;
  if (static_cast<double>(held) < kRefillShare * static_cast<double>(target)) {
    grant = target - held;
  }
  const std::int64_t wanted = WantedFromPool(account);
  if (wanted > held) {
    grant = std::max(grant, wanted - held + target / 2);
  }
  grant = std::min(grant, available);
  // A grant that doesn't cover the smallest waiting request is useless.
  if (held + grant < account.min_wanted) return 0;
  return std::max<std::int64_t>(0, grant);
}

std::int64_t PrepaidLedger::PlanReturn(const Account& account,
                                       absl::Time now) const {
  // Tokens of a return in doubt can't be used by any instance. While the
  // platform is unavailable, this or another instance can still use the held
  // tokens.
  if (now - last_contact_ > kRecentContact) return 0;
  const std::int64_t held = account.own.granted - UsedAmount(account);
  if (returning_tokens_) return std::max<std::int64_t>(0, held);
  if (WantedFromPool(account) > 0) return 0;
  const std::int64_t target =
      account.is_home
          ? TargetHolding(account, now)
          : static_cast<std::int64_t>(ReservationRate(account, now) *
                                      absl::ToDoubleSeconds(kBorrowerHoldTime));
  const std::int64_t spare = held - target;
  const std::int64_t min_return = account.prepaid->value() / kMinReturnDivisor;
  return spare > std::max(target, min_return) ? spare : 0;
}

std::optional<PrepaidLedger::PendingTransaction> PrepaidLedger::PlanTransaction(
    const CustomerId& id, const Account& account, absl::Time now) const {
  const std::int64_t grant = PlanGrant(account, now);
  const std::int64_t return_amount = grant > 0 ? 0 : PlanReturn(account, now);
  const std::int64_t report = account.settled - account.own.settled;
  const bool report_due =
      report > 0 &&
      (returning_tokens_ ||
       account.next_transaction +
               ReportInterval() *
                   (account.is_home ? 1 : kBorrowerReportFactor) <=
           now);
  const std::int64_t used = UsedAmount(account);
  PendingTransaction pending;
  pending.own = {.granted = account.own.granted + grant - return_amount,
                 .settled = account.settled};
  const std::int64_t ahead = AuthorizationAhead(account, now);
  const std::int64_t wanted = WantedFromPool(account);
  pending.own.authorized =
      std::max(used, std::min(pending.own.granted, used + wanted + ahead));
  const std::int64_t authorized_free = account.own.authorized - used;
  const bool authorize =
      authorized_free < 0 ||
      (pending.own.authorized > account.own.authorized &&
       (wanted > authorized_free || authorized_free < ahead / 2));
  // If the pool seems too small for a waiting request, a transaction without
  // changes reads it again: it conflicts if the pool has changed.
  const bool recheck_pool = wanted > account.own.granted - used;
  if (grant == 0 && return_amount == 0 && !report_due && !authorize &&
      !recheck_pool) {
    return std::nullopt;
  }
  pending.pool = {.granted = account.pool.granted + grant - return_amount,
                  .settled = account.pool.settled + report};
  pending.transaction.conditions = {
      {.key = PoolKey(id), .version = account.pool_version},
      {.key = HolderKey(id), .version = account.own_version}};
  pending.transaction.writes = {
      {.key = PoolKey(id),
       .value = absl::StrCat(pending.pool.granted, " ", pending.pool.settled)},
      {.key = HolderKey(id),
       .value =
           absl::StrCat(pending.own.granted, " ", pending.own.settled, " ",
                        pending.own.authorized, " ", options_.incarnation)}};
  return pending;
}

std::vector<LedgerTransaction> PrepaidLedger::TakeTransactions(absl::Time now) {
  std::vector<LedgerTransaction> transactions;
  for (auto& [id, account] : accounts_) {
    if (!account.prepaid.has_value() || account.in_flight) continue;
    // A waiting request bypasses the spreading of the first transactions.
    const bool urgent = WantedFromPool(account) > 0 && !account.pool_known;
    if (account.next_transaction > now && !urgent) continue;
    if (!account.pending.has_value())
      account.pending = PlanTransaction(id, account, now);
    if (!account.pending.has_value()) continue;
    account.in_flight = true;
    transactions.push_back(
        {.customer = id, .transaction = account.pending->transaction});
  }
  return transactions;
}

void PrepaidLedger::InheritUse(Account* account) {
  Holding& own = account->own;
  const std::int64_t base = inherited_use_ == InheritedUse::kAuthorized
                                ? std::min(own.authorized, own.granted)
                                : own.granted;
  account->settled += own.settled;
  account->written_off += base - own.settled;
}

void PrepaidLedger::ApplyRows(Account* account,
                              const std::vector<PartitionRow>& rows) {
  account->pool = {};
  account->pool_version = 0;
  account->own = {};
  account->own_version = 0;
  for (const PartitionRow& row : rows) {
    const std::vector<std::string> fields = absl::StrSplit(row.value, ' ');
    if (row.key.key == kPoolRow) {
      account->pool_version = row.version;
      if (!DecodeNumbers(fields, &account->pool.granted,
                         &account->pool.settled)) {
        // A pool row that can't be decoded grants nothing.
        account->pool.granted = INT64_MAX / 2;
      }
      continue;
    }
    account->own_version = row.version;
    Holding& own = account->own;
    if (!DecodeNumbers(fields, &own.granted, &own.settled, &own.authorized)) {
      own = {};
    }
    if (!account->inherited && fields.back() != options_.incarnation) {
      InheritUse(account);
    }
  }
  account->pool_known = true;
  // The row of an earlier incarnation is inherited only once.
  account->inherited = true;
}

void PrepaidLedger::CompleteTransaction(const CustomerId& customer,
                                        const CommitReply& reply,
                                        absl::Time now) {
  Account& account = accounts_[customer];
  account.in_flight = false;
  if (!account.pending.has_value()) return;
  if (reply.outcome == CommitOutcome::kRejected ||
      reply.outcome == CommitOutcome::kUnknown) {
    account.platform_unavailable = true;
    account.backoff =
        std::clamp(account.backoff * 2, kFirstBackoff, kMaxBackoff);
    account.next_transaction = now + account.backoff * (0.5 + NextJitter());
    return;
  }
  account.platform_unavailable = false;
  account.backoff = absl::ZeroDuration();
  if (reply.outcome == CommitOutcome::kCommitted) {
    account.pool = account.pending->pool;
    account.own = account.pending->own;
    account.pool_version = reply.version;
    account.own_version = reply.version;
    account.pool_known = true;
    account.inherited = true;
    account.conflicts = 0;
  } else {
    ApplyRows(&account, reply.current);
    account.conflicts = std::min(account.conflicts + 1, kMaxConflictDoublings);
  }
  account.pending.reset();
  account.transaction_allowed = false;
  account.next_transaction = now;
  if (account.conflicts > 1) {
    account.next_transaction +=
        NextJitter() * kConflictDelay * (1 << account.conflicts);
  }
  const std::int64_t available =
      account.prepaid.value_or(Tokens(0)).value() - account.pool.granted;
  account.pool_empty =
      account.min_wanted - (account.own.granted - UsedAmount(account)) >
      available;
  if (account.pool_empty) account.next_transaction = now + kEmptyPoolInterval;
  account.wanted = 0;
  account.min_wanted = 0;
}

bool PrepaidLedger::IsSettled() const {
  for (const auto& [id, account] : accounts_) {
    if (!account.prepaid.has_value()) continue;
    if (account.pending.has_value() || account.reserved > 0) return false;
    if (account.own.granted > UsedAmount(account) ||
        account.settled > account.own.settled) {
      return false;
    }
  }
  return true;
}

Tokens PrepaidLedger::FreeTokens(const CustomerId& customer,
                                 absl::Time now) const {
  const auto it = accounts_.find(customer);
  return it == accounts_.end() ? Tokens(0)
                               : Tokens(FreeAmount(it->second, now));
}

PrepaidLedger::Summary PrepaidLedger::GetSummary(
    const CustomerId& customer) const {
  const auto it = accounts_.find(customer);
  if (it == accounts_.end()) return {};
  const Account& account = it->second;
  return {.prepaid = account.prepaid.value_or(Tokens(0)),
          .granted = Tokens(account.pool.granted),
          .settled = Tokens(account.pool.settled),
          .held_here = Tokens(account.own.granted - UsedAmount(account)),
          .reserved_here = Tokens(account.reserved)};
}

}  // namespace wisteriareel
