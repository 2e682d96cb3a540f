#include "src/forward/prepaid_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace wisteriareel {
namespace {

constexpr char kTable[] = "budgets";
constexpr char kPoolRow[] = "pool";
// Demand is averaged over this time.
constexpr absl::Duration kRateMemory = absl::Seconds(4);
// An order is due when less than this share of the target is free.
constexpr double kRefillShare = 0.6;
// An instance that has seen no request holds this share of its even part.
constexpr int kIdleShare = 8;
// All instances together hold at most one part in this many of what is left in
// the pool, beside what is reserved: what is held elsewhere is of no use to a
// request here, and what a killed instance held is lost. A scarce budget is
// so granted request by request.
constexpr int kPoolDivisor = 1;
// Less than one part in this many of a budget isn't worth an order to return
// it.
constexpr int kCrumbDivisor = 1000;
// Settled tokens are reported at least this often, so that others can tell an
// exhausted budget from one that is held elsewhere.
constexpr absl::Duration kReportInterval = absl::Seconds(2);
// A pool found empty is asked again after this time.
constexpr absl::Duration kEmptyPoolInterval = absl::Milliseconds(400);
// Others are asked again this long after they couldn't lend enough.
constexpr absl::Duration kLoanInterval = absl::Milliseconds(400);
// A lender keeps what it needs for this time; a borrower asks for a little
// more, so that not every request has to ask.
constexpr absl::Duration kLenderReserve = absl::Milliseconds(300);
constexpr absl::Duration kBorrowAhead = absl::Milliseconds(600);
// What is authorised lasts this much longer than the time after which the
// reserve may be used.
constexpr absl::Duration kAuthorisedMargin = absl::Milliseconds(500);
constexpr absl::Duration kFirstBackoff = absl::Milliseconds(150);
constexpr absl::Duration kLongestBackoff = absl::Seconds(1);

// Rows hold decimal numbers, and names last, with blanks between.
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

PartRowKey PrepaidLedger::PoolKey(const CustomerId& id) {
  return {.table = kTable, .part = id.value(), .key = kPoolRow};
}

PartRowKey PrepaidLedger::HolderKey(const CustomerId& id) const {
  return {.table = kTable,
          .part = id.value(),
          .key = absl::StrCat("holder/", options_.instance)};
}

void PrepaidLedger::SetBudgets(const RouteConfig& config) {
  for (auto& [id, account] : accounts_) account.prepaid = std::nullopt;
  for (const CustomerSpec& customer : config.customers) {
    Account& account = accounts_[customer.id];
    account.prepaid = customer.prepaid;
    account.next_order = absl::InfinitePast();
  }
}

void PrepaidLedger::SetInstances(int count) { instances_ = std::max(1, count); }

void PrepaidLedger::NoteContact(absl::Time sent) {
  last_contact_ = std::max(last_contact_, sent);
}

std::int64_t PrepaidLedger::UsedOf(const Account& account) {
  return account.settled + account.reserved + account.lent +
         account.written_off;
}

bool PrepaidLedger::WithinAuthorised() const {
  return std::all_of(accounts_.begin(), accounts_.end(), [](const auto& entry) {
    const Account& account = entry.second;
    if (!account.prepaid.has_value()) return true;
    std::int64_t authorised = account.own.authorised;
    if (account.order.has_value()) {
      authorised = std::min(authorised, account.order->own.authorised);
    }
    return UsedOf(account) <= authorised;
  });
}

std::int64_t PrepaidLedger::LimitOf(const Account& account,
                                    absl::Time now) const {
  const bool reserve_open = now - last_contact_ > options_.reserve_after;
  const auto limit = [reserve_open](const Holding& own) {
    return reserve_open ? own.granted : std::min(own.granted, own.authorised);
  };
  if (!account.order.has_value()) return limit(account.own);
  return std::min(limit(account.own), limit(account.order->own));
}

std::int64_t PrepaidLedger::FreeOf(const Account& account,
                                   absl::Time now) const {
  return LimitOf(account, now) - UsedOf(account);
}

void PrepaidLedger::NoteUse(Account* account, std::int64_t amount,
                            absl::Time now) {
  if (account->rate_at != absl::InfinitePast()) {
    account->recent *=
        std::exp(-absl::FDivDuration(now - account->rate_at, kRateMemory));
  }
  account->rate_at = now;
  account->recent += static_cast<double>(amount);
}

ReserveResult PrepaidLedger::Reserve(const CustomerId& customer, Tokens most,
                                     absl::Time now) {
  Account& account = accounts_[customer];
  if (!account.prepaid.has_value()) return ReserveResult::kReserved;
  const std::int64_t amount = most.value();
  if (FreeOf(account, now) >= amount) {
    account.reserved += amount;
    NoteUse(&account, amount, now);
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
  account.least_wanted = account.least_wanted == 0
                             ? amount
                             : std::min(account.least_wanted, amount);
  if (!account.platform_away && !account.pool_empty) {
    return ReserveResult::kWait;
  }
  if (account.loan_in_flight) return ReserveResult::kWait;
  if (account.next_loan <= now) {
    account.loan_wanted = true;
    return ReserveResult::kWait;
  }
  return account.platform_away ? ReserveResult::kPlatformAway
                               : ReserveResult::kHeldElsewhere;
}

void PrepaidLedger::Settle(const CustomerId& customer, Tokens most, Tokens used,
                           absl::Time now) {
  Account& account = accounts_[customer];
  // A customer that became limited meanwhile reserved nothing.
  const std::int64_t reserved = std::min(account.reserved, most.value());
  if (reserved == 0) return;
  account.reserved -= reserved;
  account.settled += std::min(used.value(), reserved);
  account.changed_at = now;
}

double PrepaidLedger::RateOf(const Account& account, absl::Time now) const {
  if (account.rate_at == absl::InfinitePast()) return 0;
  return account.recent *
         std::exp(-absl::FDivDuration(now - account.rate_at, kRateMemory)) /
         absl::ToDoubleSeconds(kRateMemory);
}

std::int64_t PrepaidLedger::TargetOf(const Account& account,
                                     absl::Time now) const {
  if (giving_up_) return 0;
  const std::int64_t prepaid = account.prepaid->value();
  const std::int64_t available = prepaid - account.pool.granted;
  const double by_rate =
      RateOf(account, now) * absl::ToDoubleSeconds(options_.horizon);
  const std::int64_t target = std::max(static_cast<std::int64_t>(by_rate),
                                       prepaid / (kIdleShare * instances_));
  return std::clamp<std::int64_t>(
      target, 0,
      std::max<std::int64_t>(0, available) / (kPoolDivisor * instances_));
}

std::int64_t PrepaidLedger::AheadOf(const Account& account,
                                    absl::Time now) const {
  if (giving_up_) return 0;
  const absl::Duration time = options_.reserve_after + kAuthorisedMargin;
  const double by_rate = RateOf(account, now) * absl::ToDoubleSeconds(time);
  // An instance without requests so far authorises in the same proportion.
  const double idle = static_cast<double>(account.prepaid->value()) /
                      (kIdleShare * instances_) *
                      absl::FDivDuration(time, options_.horizon);
  return static_cast<std::int64_t>(std::max(by_rate, idle));
}

std::int64_t PrepaidLedger::PlanGrant(const Account& account,
                                      absl::Time now) const {
  if (giving_up_) return 0;
  const std::int64_t available =
      account.prepaid->value() - account.pool.granted;
  const std::int64_t held = account.own.granted - UsedOf(account);
  const std::int64_t target = TargetOf(account, now);
  std::int64_t grant = 0;
  if (static_cast<double>(held) < kRefillShare * static_cast<double>(target)) {
    grant = target - held;
  }
  if (account.wanted > held) {
    grant = std::max(grant, account.wanted - held + target / 2);
  }
  grant = std::min(grant, available);
  // Part of what a request needs is of no use here.
  if (held + grant < account.least_wanted) return 0;
  return std::max<std::int64_t>(0, grant);
}

std::int64_t PrepaidLedger::PlanReturn(const Account& account,
                                       absl::Time now) const {
  const std::int64_t held = account.own.granted - UsedOf(account);
  if (giving_up_) return std::max<std::int64_t>(0, held);
  if (account.wanted > 0) return 0;
  const std::int64_t target = TargetOf(account, now);
  const std::int64_t spare = held - target;
  const std::int64_t crumb = account.prepaid->value() / kCrumbDivisor;
  return spare > std::max(target, crumb) ? spare : 0;
}

std::optional<PrepaidLedger::Order> PrepaidLedger::Plan(const CustomerId& id,
                                                        const Account& account,
                                                        absl::Time now) const {
  const std::int64_t grant = PlanGrant(account, now);
  const std::int64_t give_back = grant > 0 ? 0 : PlanReturn(account, now);
  const std::int64_t report = account.settled - account.own.settled;
  const bool report_due =
      report > 0 && (giving_up_ || account.next_order + kReportInterval <= now);
  const std::int64_t used = UsedOf(account);
  Order order;
  order.own = {.granted = account.own.granted + grant - give_back,
               .settled = account.settled};
  const std::int64_t ahead = AheadOf(account, now);
  order.own.authorised = std::max(
      used, std::min(order.own.granted, used + account.wanted + ahead));
  const std::int64_t authorised_free = account.own.authorised - used;
  const bool authorise =
      authorised_free < 0 ||
      (order.own.authorised > account.own.authorised &&
       (account.wanted > authorised_free || authorised_free < ahead / 2));
  // A pool that seems too small for a waiting request is looked at again: an
  // order that changes nothing conflicts if the pool has changed.
  const bool look_again = account.wanted > account.own.granted - used;
  if (grant == 0 && give_back == 0 && !report_due && !authorise &&
      !look_again) {
    return std::nullopt;
  }
  order.pool = {.granted = account.pool.granted + grant - give_back,
                .settled = account.pool.settled + report};
  order.transaction.conditions = {
      {.key = PoolKey(id), .version = account.pool_version},
      {.key = HolderKey(id), .version = account.own_version}};
  order.transaction.writes = {
      {.key = PoolKey(id),
       .value = absl::StrCat(order.pool.granted, " ", order.pool.settled)},
      {.key = HolderKey(id),
       .value = absl::StrCat(order.own.granted, " ", order.own.settled, " ",
                             order.own.authorised, " ", options_.life)}};
  return order;
}

std::vector<LedgerOrder> PrepaidLedger::TakeOrders(absl::Time now) {
  std::vector<LedgerOrder> orders;
  for (auto& [id, account] : accounts_) {
    if (!account.prepaid.has_value() || account.in_flight) continue;
    if (account.next_order > now) continue;
    if (!account.order.has_value()) account.order = Plan(id, account, now);
    if (!account.order.has_value()) continue;
    account.in_flight = true;
    orders.push_back(
        {.customer = id, .transaction = account.order->transaction});
  }
  return orders;
}

void PrepaidLedger::Inherit(Account* account) {
  Holding& own = account->own;
  const std::int64_t base = inherited_use_ == InheritedUse::kAuthorised
                                ? std::min(own.authorised, own.granted)
                                : own.granted;
  account->settled += own.settled;
  account->written_off += base - own.settled;
}

void PrepaidLedger::Adopt(Account* account, const std::vector<PartRow>& rows) {
  account->pool = {};
  account->pool_version = 0;
  account->own = {};
  account->own_version = 0;
  for (const PartRow& row : rows) {
    const std::vector<std::string> fields = absl::StrSplit(row.value, ' ');
    if (row.key.key == kPoolRow) {
      account->pool_version = row.version;
      if (!DecodeNumbers(fields, &account->pool.granted,
                         &account->pool.settled)) {
        // An unreadable pool grants nothing.
        account->pool.granted = INT64_MAX / 2;
      }
      continue;
    }
    account->own_version = row.version;
    Holding& own = account->own;
    if (!DecodeNumbers(fields, &own.granted, &own.settled, &own.authorised)) {
      own = {};
    }
    if (!account->inherited && fields.back() != options_.life) {
      Inherit(account);
    }
  }
  account->pool_known = true;
  // A row that another life wrote is inherited once.
  account->inherited = true;
}

void PrepaidLedger::Complete(const CustomerId& customer,
                             const CommitReply& reply, absl::Time now) {
  Account& account = accounts_[customer];
  account.in_flight = false;
  if (!account.order.has_value()) return;
  if (reply.outcome == CommitOutcome::kRejected ||
      reply.outcome == CommitOutcome::kUnknown) {
    account.platform_away = true;
    account.backoff =
        std::clamp(account.backoff * 2, kFirstBackoff, kLongestBackoff);
    account.next_order = now + account.backoff;
    return;
  }
  account.platform_away = false;
  account.backoff = absl::ZeroDuration();
  if (reply.outcome == CommitOutcome::kCommitted) {
    account.pool = account.order->pool;
    account.own = account.order->own;
    account.pool_version = reply.version;
    account.own_version = reply.version;
    account.pool_known = true;
    account.inherited = true;
  } else {
    Adopt(&account, reply.current);
  }
  account.order.reset();
  account.next_order = now;
  const std::int64_t available =
      account.prepaid.value_or(Tokens(0)).value() - account.pool.granted;
  account.pool_empty =
      account.least_wanted - (account.own.granted - UsedOf(account)) >
      available;
  if (account.pool_empty) account.next_order = now + kEmptyPoolInterval;
  account.wanted = 0;
  account.least_wanted = 0;
}

bool PrepaidLedger::Settled() const {
  for (const auto& [id, account] : accounts_) {
    if (!account.prepaid.has_value()) continue;
    if (account.order.has_value() || account.reserved > 0) return false;
    if (account.own.granted > UsedOf(account) ||
        account.settled > account.own.settled) {
      return false;
    }
  }
  return true;
}

Tokens PrepaidLedger::Free(const CustomerId& customer, absl::Time now) const {
  const auto it = accounts_.find(customer);
  return it == accounts_.end() ? Tokens(0) : Tokens(FreeOf(it->second, now));
}

PrepaidLedger::View PrepaidLedger::ViewOf(const CustomerId& customer) const {
  const auto it = accounts_.find(customer);
  if (it == accounts_.end()) return {};
  const Account& account = it->second;
  return {.prepaid = account.prepaid.value_or(Tokens(0)),
          .granted = Tokens(account.pool.granted),
          .settled = Tokens(account.pool.settled),
          .held_here = Tokens(account.own.granted - UsedOf(account)),
          .reserved_here = Tokens(account.reserved)};
}

Tokens PrepaidLedger::Lend(const CustomerId& customer, Tokens wanted,
                           absl::Time now) {
  const auto it = accounts_.find(customer);
  if (it == accounts_.end() || !it->second.prepaid.has_value()) {
    return Tokens(0);
  }
  Account& account = it->second;
  const auto own_need = static_cast<std::int64_t>(
      RateOf(account, now) * absl::ToDoubleSeconds(kLenderReserve));
  const std::int64_t spare = FreeOf(account, now) - own_need;
  const std::int64_t amount = std::clamp<std::int64_t>(
      spare, 0, std::max<std::int64_t>(0, wanted.value()));
  account.lent += amount;
  return Tokens(amount);
}

std::vector<LoanRequest> PrepaidLedger::TakeLoanRequests(absl::Time now) {
  std::vector<LoanRequest> requests;
  for (auto& [id, account] : accounts_) {
    if (!account.loan_wanted || account.loan_in_flight) continue;
    account.loan_wanted = false;
    account.loan_in_flight = true;
    const auto ahead = static_cast<std::int64_t>(
        RateOf(account, now) * absl::ToDoubleSeconds(kBorrowAhead));
    requests.push_back(
        {.customer = id,
         .amount = Tokens(account.wanted + ahead -
                          std::max<std::int64_t>(0, FreeOf(account, now)))});
  }
  return requests;
}

void PrepaidLedger::Borrow(const CustomerId& customer, Tokens amount) {
  accounts_[customer].lent -= amount.value();
}

void PrepaidLedger::CompleteLoan(const CustomerId& customer, absl::Time now) {
  Account& account = accounts_[customer];
  account.loan_in_flight = false;
  account.next_loan = account.least_wanted > FreeOf(account, now)
                          ? now + kLoanInterval
                          : absl::InfinitePast();
  account.wanted = 0;
  account.least_wanted = 0;
}

}  // namespace wisteriareel
