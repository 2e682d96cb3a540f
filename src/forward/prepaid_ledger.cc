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

// Share of a budget that may have been used for requests without any response
// when the budget counts as exhausted.
constexpr double kMaxUndeliveredShare = 0.03;

// Time constant of the average of demand.
constexpr absl::Duration kDemandMemory = absl::Seconds(4);
// Weight of a new request in the mean size of requests.
constexpr double kMeanRequestWeight = 0.05;
// The first transactions of instances that start together begin once they know
// each other, and are spread over this time.
constexpr absl::Duration kStartDelay = absl::Seconds(1);
constexpr absl::Duration kStartSpread = absl::Seconds(2);
// The tokens of previous incarnations are needed at once. The transactions that
// read them are spread over a time that grows with the number of instances,
// which may all have started again together.
constexpr absl::Duration kMinInheritSpread = absl::Milliseconds(150);
constexpr absl::Duration kInheritSpreadPerInstance = absl::Milliseconds(15);
// When the table was restored, all instances read their rows again. Home
// instances come first, since the others borrow from them.
constexpr absl::Duration kMinRereadSpread = absl::Milliseconds(100);
constexpr absl::Duration kRereadInterval = absl::Milliseconds(4);
// A request waits if the limit will have grown enough within this time.
constexpr absl::Duration kGrowthWait = absl::Milliseconds(300);

}  // namespace

std::int64_t PrepaidLedger::Holding::LimitAfter(absl::Duration gap) const {
  const absl::Duration open = std::max(gap - delay, absl::ZeroDuration());
  const double grown =
      growth <= 0 ? 0
                  : static_cast<double>(growth) * absl::ToDoubleSeconds(open);
  const std::int64_t room = std::max<std::int64_t>(0, granted - authorized);
  // Also covers an infinite gap.
  if (grown >= static_cast<double>(room)) return granted;
  return std::min(granted, authorized + static_cast<std::int64_t>(grown));
}

absl::Duration PrepaidLedger::Holding::GapForLimit(std::int64_t amount) const {
  if (amount <= std::min(granted, authorized)) return absl::ZeroDuration();
  if (amount > granted || growth <= 0) return absl::InfiniteDuration();
  return delay + absl::Seconds(static_cast<double>(amount - authorized) /
                               static_cast<double>(growth));
}

PrepaidLedger::PrepaidLedger(PrepaidLedgerOptions options)
    : options_(std::move(options)) {}

void PrepaidLedger::SetBudgets(const RouteConfig& config, absl::Time now) {
  for (auto& [id, account] : accounts_) account.prepaid = std::nullopt;
  for (const CustomerSpec& customer : config.customers) {
    const auto [it, added] = accounts_.try_emplace(customer.id);
    Account& account = it->second;
    const bool changed = account.prepaid != customer.prepaid;
    account.prepaid = customer.prepaid;
    if (!changed) continue;
    account.pool_empty = false;
    account.shortage = std::nullopt;
    account.next_loan = absl::InfinitePast();
    account.next_gathering = absl::InfinitePast();
    // All instances learn of a budget at the same time, but only those with
    // requests need tokens immediately.
    account.next_transaction = added ? FirstTransactionAt(now) : now;
  }
}

void PrepaidLedger::RecordClock(std::int64_t platform_ms, absl::Time time) {
  clock_ms_ = platform_ms;
  clock_at_ = time;
}

void PrepaidLedger::SetEra(std::uint64_t era, absl::Time now) {
  if (era <= era_) return;
  era_ = era;
  const absl::Duration spread =
      std::max(kMinRereadSpread, kRereadInterval * instances_ *
                                     static_cast<int>(accounts_.size()));
  for (auto& [id, account] : accounts_) {
    // Nothing is known of the rows yet that may be outdated.
    if (!account.inherited && !account.pool_known) continue;
    account.reread = true;
    account.pool_empty = false;
    account.shortage = std::nullopt;
    account.next_loan = absl::InfinitePast();
    account.next_gathering = absl::InfinitePast();
    account.returnable_until = absl::InfinitePast();
    account.next_transaction =
        now + NextJitter() * (account.is_home ? kMinRereadSpread : spread);
  }
}

void PrepaidLedger::SetInheritedTimes(const InheritedTimes& times,
                                      absl::Time now) {
  inherited_times_ = times;
  for (auto& [id, account] : accounts_) {
    account.next_transaction = FirstTransactionAt(now);
  }
}

absl::Time PrepaidLedger::FirstTransactionAt(absl::Time now) {
  if (inherited_times_.has_heartbeat) {
    return now +
           NextJitter() * std::max(kMinInheritSpread,
                                   instances_ * kInheritSpreadPerInstance);
  }
  return now + kStartDelay + NextJitter() * kStartSpread;
}

double PrepaidLedger::NextJitter() {
  return static_cast<double>(StableHash(options_.incarnation, ++spreads_) >>
                             11) *
         0x1.0p-53;
}

void PrepaidLedger::SetInstances(int count) { instances_ = std::max(1, count); }

void PrepaidLedger::RecordContact(absl::Time sent) {
  last_contact_ = std::max(last_contact_, sent);
  // Other writes than transactions of budgets show that the platform is back.
  if (failures_ > 0 && sent > failed_at_) RecordSuccess(sent);
}

std::int64_t PrepaidLedger::UsedAmount(const Account& account) {
  return account.settled + account.reserved + account.lent +
         account.written_off;
}

bool PrepaidLedger::IsWithinAuthorized() const {
  return std::all_of(accounts_.begin(), accounts_.end(), [](const auto& entry) {
    const Account& account = entry.second;
    std::int64_t authorized = account.own.authorized;
    if (account.pending.has_value()) {
      authorized = std::min(authorized, account.pending->own.authorized);
    }
    return UsedAmount(account) <= authorized;
  });
}

std::int64_t PrepaidLedger::UsageLimit(const Account& account,
                                       absl::Time now) const {
  const std::int64_t limit = account.own.LimitAfter(GapSince(account.own, now));
  if (!account.pending.has_value()) return limit;
  const Holding& pending = account.pending->own;
  return std::min(limit, pending.LimitAfter(GapSince(pending, now)));
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

double PrepaidLedger::ReservationRate(const Account& account,
                                      absl::Time now) const {
  if (account.rate_at == absl::InfinitePast()) return 0;
  return account.recent_use *
         std::exp(-absl::FDivDuration(now - account.rate_at, kDemandMemory)) /
         absl::ToDoubleSeconds(kDemandMemory);
}

ReserveResult PrepaidLedger::Reserve(const CustomerId& customer,
                                     Tokens max_tokens, absl::Time now) {
  Account& account = accounts_[customer];
  if (!account.prepaid.has_value()) return ReserveResult::kReserved;
  const std::int64_t amount = max_tokens.value();
  if (FreeAmount(account, now) >= amount) {
    account.reserved += amount;
    RecordUse(&account, amount, now);
    const auto size = static_cast<double>(amount);
    mean_request_ =
        mean_request_ == 0
            ? size
            : mean_request_ + kMeanRequestWeight * (size - mean_request_);
    return ReserveResult::kReserved;
  }
  if (IsExhausted(account, amount, now)) return ReserveResult::kExhausted;
  const ReserveResult result = HandleShortfall(&account, amount, now);
  if (result != ReserveResult::kWait) return result;
  account.wanted += amount;
  account.min_wanted =
      account.min_wanted == 0 ? amount : std::min(account.min_wanted, amount);
  account.waited_at = now;
  return result;
}

bool PrepaidLedger::IsExhausted(const Account& account, std::int64_t amount,
                                absl::Time now) {
  if (!account.pool_known) return false;
  const std::int64_t prepaid = account.prepaid->value();
  const std::int64_t undelivered =
      prepaid - account.pool.delivered - account.unreported;
  if (undelivered < amount) return true;
  // All tokens are used, a few of them without a response.
  return now < account.returnable_until && account.returnable < amount &&
         static_cast<double>(undelivered - amount) <
             kMaxUndeliveredShare * static_cast<double>(prepaid);
}

ReserveResult PrepaidLedger::HandleShortfall(Account* account,
                                             std::int64_t amount,
                                             absl::Time now) {
  if (FreeAmount(*account, now + kGrowthWait) >= amount) {
    return ReserveResult::kWait;
  }
  const bool can_transact = CanTransact(*account, now);
  const bool unavailable = IsPlatformUnavailable(*account);
  if (IsHome(*account, now)) {
    if (can_transact) return ReserveResult::kWait;
    if (!unavailable) {
      return GatherTokens(account, now) ? ReserveResult::kWait
                                        : ReserveResult::kHeldElsewhere;
    }
  }
  if (account->loan_in_flight) return ReserveResult::kWait;
  // The spare tokens of this instance are the last resort.
  const bool lends_none = account->shortage.has_value() &&
                          account->shortage != LoanAvailability::kSoon &&
                          account->next_loan > now;
  if (lends_none && can_transact &&
      account->own.granted - UsedAmount(*account) >= amount) {
    account->transaction_allowed = true;
    return ReserveResult::kWait;
  }
  // A shortage of more tokens says nothing about a smaller request.
  if (account->next_loan <= now ||
      (account->shortage.has_value() && amount < account->shortage_amount)) {
    account->loan_wanted = true;
    return ReserveResult::kWait;
  }
  switch (account->shortage.value_or(LoanAvailability::kNone)) {
    case LoanAvailability::kSoon:
      return ReserveResult::kWait;
    case LoanAvailability::kPoolEmpty:
      return ReserveResult::kHeldElsewhere;
    case LoanAvailability::kExhausted:
      return ReserveResult::kExhausted;
    case LoanAvailability::kNone:
      break;
  }
  if (can_transact) {
    account->transaction_allowed = true;
    return ReserveResult::kWait;
  }
  return unavailable ? ReserveResult::kPlatformUnavailable
                     : ReserveResult::kHeldElsewhere;
}

void PrepaidLedger::Settle(const CustomerId& customer, Tokens max_tokens,
                           Tokens used, bool delivered) {
  Account& account = accounts_[customer];
  // Nothing was reserved if the customer's budget was unlimited at that time.
  const std::int64_t reserved = std::min(account.reserved, max_tokens.value());
  if (reserved == 0) return;
  const std::int64_t settled = std::min(used.value(), reserved);
  account.reserved -= reserved;
  account.settled += settled;
  if (delivered) account.unreported += settled;
}

std::vector<CustomerId> PrepaidLedger::CustomersToRetry(absl::Time now) {
  std::vector<CustomerId> customers;
  if (now - last_contact_ <= LimitDelay(/*is_home=*/true)) return customers;
  for (auto& [id, account] : accounts_) {
    if (now - account.waited_at > 2 * kGrowthWait) continue;
    if (FreeAmount(account, now) <= 0) continue;
    customers.push_back(id);
  }
  return customers;
}

void PrepaidLedger::ForgetWaitingRequests(const CustomerId& customer) {
  const auto it = accounts_.find(customer);
  if (it == accounts_.end()) return;
  it->second.wanted = 0;
  it->second.min_wanted = 0;
}

bool PrepaidLedger::IsSettled() const {
  for (const auto& [id, account] : accounts_) {
    if (!account.prepaid.has_value()) continue;
    if (account.pending.has_value() || account.reserved > 0) return false;
    if (account.own.granted > UsedAmount(account) || account.unreported > 0) {
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

absl::Duration PrepaidLedger::TimeUntilCovered(const CustomerId& customer,
                                               Tokens max_tokens,
                                               absl::Time now) const {
  const auto it = accounts_.find(customer);
  if (it == accounts_.end()) return absl::InfiniteDuration();
  const Account& account = it->second;
  const std::int64_t needed = UsedAmount(account) + max_tokens.value();
  absl::Duration wait =
      account.own.GapForLimit(needed) - GapSince(account.own, now);
  if (account.pending.has_value()) {
    const Holding& pending = account.pending->own;
    wait = std::max(wait, pending.GapForLimit(needed) - GapSince(pending, now));
  }
  return std::max(absl::ZeroDuration(), wait);
}

PrepaidLedger::Summary PrepaidLedger::GetSummary(
    const CustomerId& customer) const {
  const auto it = accounts_.find(customer);
  if (it == accounts_.end()) return {};
  const Account& account = it->second;
  return {
      .prepaid = account.prepaid.value_or(Tokens(0)),
      .granted = Tokens(account.pool.granted),
      .delivered = Tokens(account.pool.delivered),
      .held_here = Tokens(account.own.granted - UsedAmount(account)),
      .authorized_here = Tokens(account.own.authorized - UsedAmount(account)),
      .reserved_here = Tokens(account.reserved)};
}

}  // namespace wisteriareel
