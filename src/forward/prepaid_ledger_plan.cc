#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/forward/prepaid_ledger.h"

// The part of PrepaidLedger that decides how many tokens to hold, and plans and
// completes the transactions with the platform.
namespace wisteriareel {
namespace {

// A home instance requests tokens when it holds less than this share of its
// target.
constexpr double kRefillShare = 0.85;
// Time for which the tokens of a deputy of a home instance should last.
constexpr absl::Duration kDeputyHorizon = absl::Seconds(3);
// A home instance without requests so far holds 1 / kIdleDivisor of a budget.
constexpr int kIdleDivisor = 5;
// Maximum share of the ungranted and held tokens that a home instance holds, in
// percent. Instances that can't reach it can't use its tokens.
constexpr int kMaxHeldPercent = 80;
// Maximum share of the tokens left that the other instances hold as spare
// tokens together, in percent.
constexpr int kMaxSparePercent = 22;
// Spare tokens in mean requests, if there are too few requests for a rate.
constexpr double kSpareRequests = 2;
// An instance that is no longer the home instance returns its tokens above this
// multiple of its target.
constexpr double kReturnFactor = 2;
// Maximum share of the ungranted and held tokens that an instance authorizes
// ahead of use, in percent. They are lost when the instance is killed.
constexpr int kMaxAuthorizedPercent = 25;
// Tokens are authorized for the expected use in this time.
constexpr absl::Duration kAuthorizedTime = absl::Milliseconds(500);
// In addition, for the expected use in this multiple of the time that the
// platform takes for a transaction.
constexpr double kAuthorizedCommits = 3;
constexpr double kCommitTimeWeight = 0.3;
// They are authorized again when less than this share is left.
constexpr double kReauthorizeShare = 0.6;
// Growth of the limit without contact as a multiple of the expected use.
constexpr double kGrowthFactor = 1.5;
// Time in which the limit of spare tokens grows to all of them.
constexpr absl::Duration kSpareGrowthTime = absl::Seconds(3);
// The limit grows once no write was acknowledged for this long. Exceeds the
// interval of heartbeats, which grows with the number of instances, so that it
// doesn't grow while the platform is available.
constexpr absl::Duration kMinLimitDelay = absl::Milliseconds(1000);
// Spare tokens wait longer: they are many, and all are lost that the limit has
// grown to when an instance starts again.
constexpr absl::Duration kSpareLimitDelay = absl::Milliseconds(500);
constexpr absl::Duration kLimitDelayPerInstance = absl::Milliseconds(10);
constexpr absl::Duration kLimitDelayMargin = absl::Milliseconds(300);
// A home instance reports delivered tokens at this interval, so that an
// exhausted budget is recognized.
constexpr absl::Duration kReportInterval = absl::Seconds(2);
// Transactions that conflict are retried after a random share of this time,
// which doubles with each conflict. About the time of one table transaction.
constexpr absl::Duration kConflictDelay = absl::Milliseconds(8);
constexpr int kMaxConflictDoublings = 6;
// Time after which an empty pool is read again, and the same while other
// instances return tokens.
constexpr absl::Duration kEmptyPoolInterval = absl::Milliseconds(400);
constexpr absl::Duration kGatheringPoolInterval = absl::Milliseconds(40);
// Time since the last contact for which the platform counts as available.
// Longer than the interval of heartbeats.
constexpr absl::Duration kRecentContact = absl::Seconds(2);
constexpr absl::Duration kFirstBackoff = absl::Milliseconds(150);
constexpr absl::Duration kMaxBackoff = absl::Seconds(1);
// After this many failures in a row, of any customers, the platform counts as
// unavailable for all of them.
constexpr int kFailuresBeforeProbing = 2;
constexpr int kMaxProbeDoublings = 3;
// Customers become due again over this time when the platform is back.
// Those that used more than they have authorized come first: until they have
// authorized it, heartbeats state no new contact.
constexpr absl::Duration kMinRecoverySpread = absl::Milliseconds(250);
constexpr absl::Duration kRecoverySpreadPerInstance = absl::Milliseconds(20);
constexpr double kUrgentRecoveryShare = 0.25;

}  // namespace

bool PrepaidLedger::IsHome(const Account& account, absl::Time now) const {
  return account.is_home || now < account.deputy_until;
}

bool PrepaidLedger::IsPlatformUnavailable(const Account& account) const {
  return account.platform_unavailable || failures_ >= kFailuresBeforeProbing;
}

bool PrepaidLedger::CanTransact(const Account& account, absl::Time now) const {
  return !IsPlatformUnavailable(account) &&
         (!account.pool_empty || account.next_transaction <= now);
}

std::int64_t PrepaidLedger::WantedFromPool(const Account& account,
                                           absl::Time now) const {
  return IsHome(account, now) || account.transaction_allowed ? account.wanted
                                                             : 0;
}

std::int64_t PrepaidLedger::HeldSpare(const Account& account) {
  const std::int64_t held = account.own.granted - UsedAmount(account);
  return std::clamp<std::int64_t>(account.spare, 0,
                                  std::max<std::int64_t>(0, held));
}

std::int64_t PrepaidLedger::MaxSpareLoan(const Account& account) const {
  const std::int64_t left =
      account.prepaid->value() - account.pool.delivered - account.unreported;
  const std::int64_t most =
      std::max<std::int64_t>(0, left) / instances_ * kMaxSparePercent / 100;
  // Tokens that cover no request are of no use elsewhere.
  return static_cast<double>(most) < mean_request_ ? 0 : most;
}

std::int64_t PrepaidLedger::TargetSpare(const Account& account,
                                        absl::Time now) const {
  const double by_rate = ReservationRate(account, now) *
                         absl::ToDoubleSeconds(options_.isolation_horizon);
  // Until the first request it is unknown how large requests are, and the home
  // instance decides.
  const double by_size =
      mean_request_ > 0
          ? kSpareRequests * mean_request_
          : static_cast<double>(account.prepaid->value()) / kIdleDivisor;
  return static_cast<std::int64_t>(std::max(by_rate, by_size));
}

std::int64_t PrepaidLedger::TargetHolding(const Account& account,
                                          absl::Time now) const {
  if (returning_tokens_) return 0;
  if (!IsHome(account, now)) return 0;
  const std::int64_t prepaid = account.prepaid->value();
  const std::int64_t available = prepaid - account.pool.granted;
  const double rate = ReservationRate(account, now);
  // A deputy is soon replaced.
  const std::int64_t target =
      account.is_home
          ? std::max(static_cast<std::int64_t>(
                         rate * absl::ToDoubleSeconds(options_.horizon)),
                     prepaid / kIdleDivisor)
          : static_cast<std::int64_t>(rate *
                                      absl::ToDoubleSeconds(kDeputyHorizon));
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
  // Other instances borrow what they need unless the home instance is lost.
  if (!IsHome(account, now) && account.shortage != LoanAvailability::kNone) {
    return 0;
  }
  double ahead =
      ReservationRate(account, now) * absl::ToDoubleSeconds(kAuthorizedTime);
  if (account.is_home && account.rate_at == absl::InfinitePast()) {
    // Expects that the idle holding lasts for the horizon.
    ahead = static_cast<double>(account.prepaid->value()) / kIdleDivisor *
            absl::FDivDuration(kAuthorizedTime, options_.horizon);
  }
  const std::int64_t left = std::max<std::int64_t>(
      0, account.prepaid->value() - account.pool.granted + account.own.granted -
             UsedAmount(account));
  return std::min(static_cast<std::int64_t>(ahead),
                  left * kMaxAuthorizedPercent / 100);
}

absl::Duration PrepaidLedger::LimitDelay(bool is_home) const {
  const absl::Duration delay = std::max(
      kMinLimitDelay, kLimitDelayMargin + instances_ * kLimitDelayPerInstance);
  return is_home ? delay : delay + kSpareLimitDelay;
}

std::int64_t PrepaidLedger::LimitGrowth(const Account& account,
                                        absl::Time now) const {
  if (returning_tokens_) return 0;
  const double rate = kGrowthFactor * ReservationRate(account, now);
  if (IsHome(account, now)) {
    const auto target = static_cast<double>(TargetHolding(account, now));
    return static_cast<std::int64_t>(
        std::max(rate, target / absl::ToDoubleSeconds(options_.horizon)));
  }
  const auto held =
      static_cast<double>(account.own.granted - UsedAmount(account));
  return static_cast<std::int64_t>(
      std::max(rate, held / absl::ToDoubleSeconds(kSpareGrowthTime)));
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
  const std::int64_t wanted = WantedFromPool(account, now);
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
  if (WantedFromPool(account, now) > 0) return 0;
  // Home instances request the return of spare tokens when they need them.
  const std::int64_t keep =
      IsHome(account, now) ? TargetHolding(account, now) : HeldSpare(account);
  const double limit =
      kReturnFactor * (static_cast<double>(keep) + mean_request_);
  return static_cast<double>(held) > limit ? held - keep : 0;
}

PrepaidLedger::PendingTransaction PrepaidLedger::PlanRead(
    const CustomerId& id, const Account& account) const {
  // A version without an era never holds while the table states eras.
  return {.transaction = {.conditions = {{.key = HolderKey(id)},
                                         {.key = PoolKey(id)}},
                          .writes = {{.key = HolderKey(id),
                                      .value = EncodeHolding(
                                          account.own, account.own_state)}}},
          .own = account.own,
          .own_state = {.era = era_}};
}

std::optional<PrepaidLedger::PendingTransaction> PrepaidLedger::PlanTransaction(
    const CustomerId& id, Account* planned_account, absl::Time now) const {
  const Account& account = *planned_account;
  if (account.outdated_row.has_value()) return std::nullopt;
  if (account.reread) return PlanRead(id, account);
  std::int64_t grant = PlanGrant(account, now);
  std::int64_t return_amount = grant > 0 ? 0 : PlanReturn(account, now);
  bool report_due = account.unreported > 0 &&
                    (returning_tokens_ ||
                     (IsHome(account, now) &&
                      account.next_transaction + kReportInterval <= now));
  // If the pool seems too small for a waiting request, a transaction without
  // changes reads it again: it conflicts if the pool has changed.
  bool recheck_pool =
      account.pool_incomplete ||
      WantedFromPool(account, now) > account.own.granted - UsedAmount(account);
  if (grant > 0 || return_amount > 0 || report_due || recheck_pool) {
    if (era_ > 0 && account.pool_version.era != era_) {
      return PlanRead(id, account);
    }
    if (!IsPoolCurrent(account)) {
      planned_account->recovery_wanted = true;
      grant = 0;
      return_amount = 0;
      report_due = false;
      recheck_pool = false;
    }
  }
  const std::int64_t used = UsedAmount(account);
  PendingTransaction pending;
  pending.own = {.granted = account.own.granted + grant - return_amount,
                 .settled = account.settled,
                 .growth = LimitGrowth(account, now),
                 .delay = LimitDelay(IsHome(account, now)),
                 .planned_at = now};
  if (clock_ms_.has_value()) {
    pending.own.planned_ms =
        *clock_ms_ + absl::ToInt64Milliseconds(now - clock_at_);
  }
  const std::int64_t ahead = AuthorizationAhead(account, now);
  const std::int64_t wanted = WantedFromPool(account, now);
  const std::int64_t held = pending.own.granted - used;
  // What this instance borrowed for requests stays usable.
  const std::int64_t usable =
      IsHome(account, now) ? 0 : held - HeldSpare(account);
  const std::int64_t needed = now < account.returning_until ? held : wanted;
  const std::int64_t authorized_room = std::max(needed + ahead, usable);
  pending.own.authorized =
      used + std::max<std::int64_t>(0, std::min(held, authorized_room));
  const std::int64_t authorized_free = account.own.authorized - used;
  const bool raise = pending.own.authorized > account.own.authorized &&
                     (needed > authorized_free ||
                      static_cast<double>(authorized_free) <
                          kReauthorizeShare * static_cast<double>(ahead));
  // Records new spare tokens, so that a later incarnation knows that they
  // weren't used.
  const bool lower =
      !IsHome(account, now) && now - last_contact_ <= kRecentContact &&
      static_cast<double>(
          std::min(account.own.granted, account.own.authorized) - used) >
          mean_request_ + static_cast<double>(authorized_room);
  const bool authorize = authorized_free < 0 || raise || lower;
  const bool writes_pool =
      grant > 0 || return_amount > 0 || report_due || recheck_pool;
  // A previous incarnation may have left tokens in this instance's row. A
  // transaction that expects no row conflicts and returns it.
  const bool read_own_row = MayInherit(account);
  const bool claims_row = account.claim_at <= now;
  if (!writes_pool && !authorize && !read_own_row && !claims_row) {
    return std::nullopt;
  }
  const TableVersion own_version = ExpectedVersion(account.own_version);
  pending.own_state = {.era = era_, .number = own_version.number};
  pending.transaction.conditions = {
      {.key = HolderKey(id), .version = own_version}};
  pending.transaction.writes = {
      {.key = HolderKey(id),
       .value = EncodeHolding(pending.own, pending.own_state)}};
  if (!writes_pool) return pending;
  pending.reported = account.unreported;
  pending.pool = account.pool;
  if (account.pool_state.era < era_) {
    pending.pool->base = account.pool_state;
    pending.pool->base_granted = account.pool.granted;
  }
  pending.pool->granted += grant - return_amount;
  pending.pool->delivered += account.unreported;
  const TableVersion pool_version = ExpectedVersion(account.pool_version);
  pending.pool_state = {.era = era_, .number = pool_version.number};
  pending.transaction.conditions.push_back(
      {.key = PoolKey(id), .version = pool_version});
  pending.transaction.writes.push_back(
      {.key = PoolKey(id),
       .value = EncodePool(*pending.pool, pending.pool_state)});
  return pending;
}

std::vector<LedgerTransaction> PrepaidLedger::TakeTransactions(absl::Time now) {
  std::vector<LedgerTransaction> transactions;
  const bool probing = failures_ >= kFailuresBeforeProbing;
  if (probing && now < next_probe_) return transactions;
  for (auto& [id, account] : accounts_) {
    if (!account.prepaid.has_value() || account.in_flight) continue;
    // A waiting request bypasses the spreading of the first transactions.
    const bool urgent = WantedFromPool(account, now) > 0 && !account.pool_known;
    if (account.next_transaction > now && !urgent) continue;
    if (!account.pending.has_value())
      account.pending = PlanTransaction(id, &account, now);
    if (!account.pending.has_value()) continue;
    account.in_flight = true;
    account.sent_at = now;
    transactions.push_back(
        {.customer = id, .transaction = account.pending->transaction});
    if (!probing) continue;
    // The next one follows when this one has ended.
    next_probe_ = absl::InfiniteFuture();
    break;
  }
  return transactions;
}

void PrepaidLedger::RecordFailure(Account* account, absl::Time now) {
  account->platform_unavailable = true;
  account->backoff =
      std::clamp(account->backoff * 2, kFirstBackoff, kMaxBackoff);
  account->next_transaction = now + account->backoff * (0.5 + NextJitter());
  // Transactions that were sent together fail together.
  if (now < next_probe_ && next_probe_ != absl::InfiniteFuture()) return;
  ++failures_;
  failed_at_ = now;
  const int doublings =
      std::clamp(failures_ - kFailuresBeforeProbing, 0, kMaxProbeDoublings);
  next_probe_ = now + kFirstBackoff * (1 << doublings) * (0.5 + NextJitter());
}

void PrepaidLedger::RecordSuccess(absl::Time now) {
  if (std::exchange(failures_, 0) < kFailuresBeforeProbing) return;
  next_probe_ = absl::InfinitePast();
  const absl::Duration spread =
      std::max(kMinRecoverySpread, instances_ * kRecoverySpreadPerInstance);
  for (auto& [id, account] : accounts_) {
    account.platform_unavailable = false;
    account.backoff = absl::ZeroDuration();
    const bool urgent = UsedAmount(account) > account.own.authorized;
    account.next_transaction =
        now + NextJitter() * spread * (urgent ? kUrgentRecoveryShare : 1);
  }
}

void PrepaidLedger::CompleteTransaction(const CustomerId& customer,
                                        const CommitReply& reply,
                                        absl::Time now) {
  Account& account = accounts_[customer];
  account.in_flight = false;
  if (!account.pending.has_value()) return;
  if (reply.outcome == CommitOutcome::kRejected ||
      reply.outcome == CommitOutcome::kUnknown) {
    RecordFailure(&account, now);
    return;
  }
  RecordSuccess(now);
  commit_time_ += kCommitTimeWeight * (now - account.sent_at - commit_time_);
  account.platform_unavailable = false;
  account.backoff = absl::ZeroDuration();
  const PendingTransaction pending = *std::exchange(account.pending, {});
  const bool writes_pool = pending.pool.has_value();
  if (reply.outcome == CommitOutcome::kCommitted) {
    account.own = pending.own;
    account.own_version = reply.version;
    account.own_state = pending.own_state;
    account.inherited = true;
    account.claim_at = absl::InfiniteFuture();
    account.unreported -= pending.reported;
    // If the table was restored meanwhile, a newer state may be known.
    if (writes_pool && account.pool_state <= pending.pool_state) {
      account.pool = *pending.pool;
      account.pool_version = reply.version;
      account.pool_state = pending.pool_state;
      account.pool_incomplete = false;
      account.pool_known = true;
      account.reported_at = now;
    }
    account.conflicts = 0;
  } else {
    const TableVersion own_state = account.own_state;
    ApplyRows(&account, pending.transaction, reply, now);
    const bool was_performed =
        era_ > 0 && account.own_state == pending.own_state;
    const bool was_restored = reply.era > pending.own_state.era;
    if (was_performed || was_restored) account.unreported -= pending.reported;
    if (was_restored && account.own_state == own_state) {
      // The table doesn't show whether the transaction was performed before it
      // was restored. Others may have drawn what it returned.
      account.own.granted = std::min(account.own.granted, pending.own.granted);
      account.claim_at = now;
    }
    account.conflicts = std::min(account.conflicts + 1, kMaxConflictDoublings);
  }
  if (account.pool_version.era == era_) account.reread = false;
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
  if (account.pool_empty) {
    account.next_transaction =
        now + (now < account.gathered_until ? kGatheringPoolInterval
                                            : kEmptyPoolInterval);
  }
  account.wanted = 0;
  account.min_wanted = 0;
}

}  // namespace wisteriareel
