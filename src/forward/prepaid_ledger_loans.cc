#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/strip.h"
#include "src/forward/prepaid_ledger.h"
#include "wisteriareel/stable_hash.h"

// The part of PrepaidLedger that moves tokens between instances.
namespace wisteriareel {
namespace {

// Time between loan requests after other instances couldn't lend enough.
constexpr absl::Duration kLoanRetryInterval = absl::Milliseconds(400);
// A home instance gets more tokens within the time of one table transaction and
// one or two conflicts.
constexpr absl::Duration kSoonRetryInterval = absl::Milliseconds(50);
// A borrower requests its expected use for this time in addition to the waiting
// requests, so that not every request needs a loan.
constexpr absl::Duration kBorrowAheadTime = absl::Milliseconds(100);
// Time for which an instance takes the place of a home instance after each
// request for a loan. Exceeds the time between two attempts to reach the home
// instance.
constexpr absl::Duration kDeputyTime = absl::Seconds(3);
// Time between two requests to return a customer's tokens, and the same if the
// instances hold too few.
constexpr absl::Duration kGatheringInterval = absl::Milliseconds(300);
constexpr absl::Duration kFruitlessGatheringInterval = absl::Seconds(2);
// Tokens for the expected use in this time are requested together.
constexpr absl::Duration kGatheringAhead = absl::Seconds(2);
// Time in which the returned tokens arrive in the pool: a call to the other
// instances, and their transactions one after the other.
constexpr absl::Duration kGatheringTime = absl::Milliseconds(200);
constexpr std::size_t kMaxRecalledInstances = 24;
// Time for which tokens are kept ready for the instance that requested them.
constexpr absl::Duration kReturnTime = absl::Milliseconds(500);
// Time between two requests for spare tokens of a customer, and the time over
// which the instances spread them; both grow with the number of instances.
constexpr absl::Duration kMinSpareInterval = absl::Seconds(2);
constexpr absl::Duration kSpareIntervalPerInstance = absl::Milliseconds(80);
constexpr int kMaxSpareBackoff = 8;
// A home instance that has to draw the tokens first has them after one
// transaction.
constexpr absl::Duration kSpareRetryInterval = absl::Milliseconds(200);
// Spare tokens are requested when less than this share of the target is held.
constexpr double kSpareRefillShare = 0.5;

}  // namespace

void PrepaidLedger::SetHomeCustomers(
    const std::function<bool(const CustomerId&)>& is_home) {
  for (auto& [id, account] : accounts_) account.is_home = is_home(id);
}

bool PrepaidLedger::UpdateLoanSequence(const LoanRequest& request,
                                       Account* account) {
  if (request.borrower_incarnation.empty()) return true;
  const auto [it, added] = loan_sequences_.try_emplace(StableHash(
      request.customer.value(), StableHash(request.borrower_incarnation)));
  LoanSequence& sequence = it->second;
  if (!added && request.sequence <= sequence.last) return false;
  // An earlier incarnation of this instance may have lent what the borrower
  // received, so the first request only sets the sum.
  if (!added) account->lent -= sequence.lent - request.received.value();
  sequence.lent = request.received.value();
  sequence.last = request.sequence;
  return true;
}

Loan PrepaidLedger::Lend(const LoanRequest& request, absl::Time now) {
  const auto it = accounts_.find(request.customer);
  if (it == accounts_.end() || !it->second.prepaid.has_value()) return {};
  Account& account = it->second;
  if (!UpdateLoanSequence(request, &account)) return {};
  const Loan loan = DecideLoan(request, &account, now);
  if (!request.borrower_incarnation.empty()) {
    loan_sequences_[StableHash(request.customer.value(),
                               StableHash(request.borrower_incarnation))]
        .lent += loan.amount.value();
  }
  return loan;
}

Loan PrepaidLedger::DecideLoan(const LoanRequest& request,
                               Account* lender_account, absl::Time now) {
  Account& account = *lender_account;
  account.unreported += std::max<std::int64_t>(0, request.delivered.value());
  if (request.kind == LoanKind::kNeededFromDeputy && !returning_tokens_) {
    account.deputy_until = now + kDeputyTime;
  }
  const bool spare = request.kind == LoanKind::kSpare;
  std::int64_t wanted = std::max<std::int64_t>(0, request.amount.value());
  if (spare) {
    wanted = std::clamp<std::int64_t>(
        MaxSpareLoan(account) - request.held.value(), 0, wanted);
    if (static_cast<double>(wanted) < mean_request_) return {};
  }
  const std::int64_t min_amount = spare ? wanted : request.min_amount.value();
  const std::int64_t amount =
      std::clamp<std::int64_t>(FreeAmount(account, now), 0, wanted);
  if (amount >= min_amount) {
    // Spare tokens aren't used, so they don't count as demand.
    if (!spare) RecordUse(&account, amount, now);
    if (request.kind == LoanKind::kReturn) {
      account.returning_until = absl::InfinitePast();
    }
    account.lent += amount;
    return {.amount = Tokens(amount)};
  }
  if (returning_tokens_) return {};
  if (request.kind == LoanKind::kReturn) {
    return AuthorizeReturn(&account, now);
  }
  if (!IsHome(account, now)) return {};
  if (!spare && IsExhausted(account, min_amount, now)) {
    return {.amount = Tokens(0), .availability = LoanAvailability::kExhausted};
  }
  account.wanted += wanted;
  account.min_wanted = account.min_wanted == 0
                           ? min_amount
                           : std::min(account.min_wanted, min_amount);
  if (CanTransact(account, now)) {
    return {.amount = Tokens(0), .availability = LoanAvailability::kSoon};
  }
  if (spare || IsPlatformUnavailable(account)) return {};
  return {.amount = Tokens(0),
          .availability = GatherTokens(&account, now)
                              ? LoanAvailability::kSoon
                              : LoanAvailability::kPoolEmpty};
}

Loan PrepaidLedger::AuthorizeReturn(Account* account, absl::Time now) {
  const std::int64_t held = account->own.granted - UsedAmount(*account);
  if (IsHome(*account, now) || held <= 0 || IsPlatformUnavailable(*account)) {
    return {};
  }
  account->returning_until = now + kReturnTime;
  // Doesn't borrow again at once what it returns.
  account->next_spare_loan = now + SpareInterval() * kMaxSpareBackoff;
  return {.amount = Tokens(0), .availability = LoanAvailability::kSoon};
}

absl::Duration PrepaidLedger::SpareInterval() const {
  return std::max(kMinSpareInterval, instances_ * kSpareIntervalPerInstance);
}

bool PrepaidLedger::WantsSpareLoan(Account* account, absl::Time now) {
  if (returning_tokens_ || !account->prepaid.has_value() ||
      IsHome(*account, now) || account->loan_in_flight ||
      account->next_transaction > now || IsPlatformUnavailable(*account)) {
    return false;
  }
  if (!account->next_spare_loan.has_value()) {
    account->next_spare_loan = now + SpareInterval() * NextJitter();
  }
  if (*account->next_spare_loan > now) return false;
  return static_cast<double>(HeldSpare(*account)) <
         kSpareRefillShare * static_cast<double>(TargetSpare(*account, now));
}

bool PrepaidLedger::GatherTokens(Account* account, absl::Time now) {
  if (account->gathering || account->gathering_wanted ||
      now < account->gathered_until) {
    return true;
  }
  if (now < account->next_gathering) return false;
  account->gathering_wanted = true;
  return true;
}

std::vector<CustomerId> PrepaidLedger::TakeGatherings(absl::Time now) {
  std::vector<CustomerId> customers;
  for (auto& [id, account] : accounts_) {
    if (!account.gathering_wanted || account.gathering) continue;
    account.gathering_wanted = false;
    account.gathering = true;
    account.next_gathering = now + kGatheringInterval;
    customers.push_back(id);
  }
  return customers;
}

std::vector<std::string> PrepaidLedger::CompleteGathering(
    const CustomerId& customer,
    const std::optional<std::vector<PartitionRow>>& rows,
    const std::function<bool(const std::string&)>& is_reachable,
    absl::Time now) {
  Account& account = accounts_[customer];
  account.gathering = false;
  std::vector<std::string> names;
  if (!rows.has_value()) return names;
  // The tokens that each instance holds and doesn't need at once.
  std::vector<std::pair<std::int64_t, std::string>> holders;
  std::int64_t returnable = 0;
  for (const PartitionRow& row : *rows) {
    absl::string_view name = row.key.key;
    if (!absl::ConsumePrefix(&name, kHolderPrefix) ||
        name == options_.instance) {
      continue;
    }
    const std::optional<Holding> holding = DecodeHolding(row.value);
    if (!holding.has_value()) continue;
    const std::int64_t spare = holding->granted - holding->authorized;
    const std::string holder(name);
    if (spare > 0) returnable += spare;
    if (spare > 0 && is_reachable(holder)) holders.emplace_back(spare, holder);
  }
  std::sort(holders.rbegin(), holders.rend());
  const double needed = std::max(
      ReservationRate(account, now) * absl::ToDoubleSeconds(kGatheringAhead),
      2 * mean_request_);
  double sum = 0;
  for (auto& [spare, name] : holders) {
    const bool enough = !names.empty() && sum >= needed;
    if (enough || names.size() == kMaxRecalledInstances) break;
    sum += static_cast<double>(spare);
    names.push_back(std::move(name));
  }
  if (sum < static_cast<double>(account.min_wanted)) names.clear();
  if (names.empty()) {
    account.next_gathering = now + kFruitlessGatheringInterval;
    account.returnable = returnable;
    // Still counts when the next gathering has completed.
    account.returnable_until = now + 2 * kFruitlessGatheringInterval;
    return names;
  }
  account.gathered_until = now + kGatheringTime;
  return names;
}

std::vector<LoanRequest> PrepaidLedger::TakeLoanRequests(absl::Time now) {
  std::vector<LoanRequest> requests;
  for (auto& [id, account] : accounts_) {
    if (account.loan_in_flight) continue;
    if (!account.loan_wanted) {
      if (!WantsSpareLoan(&account, now)) continue;
      account.loan_in_flight = true;
      account.spare_loan = true;
      const std::int64_t held = HeldSpare(account);
      requests.push_back(
          {.customer = id,
           .amount = Tokens(TargetSpare(account, now) - held),
           .held = Tokens(held),
           .delivered = Tokens(std::exchange(account.unreported, 0)),
           .kind = LoanKind::kSpare});
      continue;
    }
    account.loan_wanted = false;
    account.loan_in_flight = true;
    const std::int64_t free =
        std::max<std::int64_t>(0, FreeAmount(account, now));
    const auto expected =
        static_cast<std::int64_t>(ReservationRate(account, now) *
                                  absl::ToDoubleSeconds(kBorrowAheadTime));
    // Less than a request isn't worth holding.
    const std::int64_t ahead =
        static_cast<double>(expected) < mean_request_ ? 0 : expected;
    account.shortage_amount = account.min_wanted;
    // Tokens of a request whose response is lost are reported by nobody, so
    // that they are never reported twice.
    requests.push_back(
        {.customer = id,
         .amount = Tokens(account.wanted + ahead - free),
         .min_amount = Tokens(account.min_wanted - free),
         .delivered = Tokens(std::exchange(account.unreported, 0)),
         .from_any_instance =
             IsPlatformUnavailable(account) || account.pool_empty ||
             account.shortage == LoanAvailability::kPoolEmpty});
  }
  return requests;
}

std::vector<TokenTransfer> PrepaidLedger::TakeTransfers(absl::Time now) {
  std::vector<TokenTransfer> transfers;
  if (!returning_tokens_ ||
      now - last_contact_ <= LimitDelay(/*is_home=*/true)) {
    return transfers;
  }
  for (auto& [id, account] : accounts_) {
    if (!account.prepaid.has_value()) continue;
    const std::int64_t free = FreeAmount(account, now);
    if (free <= 0) continue;
    account.lent += free;
    transfers.push_back({.customer = id, .amount = Tokens(free)});
  }
  return transfers;
}

void PrepaidLedger::Borrow(const CustomerId& customer, Tokens amount) {
  Account& account = accounts_[customer];
  account.lent -= amount.value();
  if (account.spare_loan) {
    account.spare = HeldSpare(account) + amount.value();
  }
}

std::optional<absl::Duration> PrepaidLedger::CompleteLoan(
    const CustomerId& customer, std::optional<LoanAvailability> shortage,
    absl::Time now) {
  Account& account = accounts_[customer];
  account.loan_in_flight = false;
  if (std::exchange(account.spare_loan, false)) {
    if (shortage == LoanAvailability::kSoon) {
      account.next_spare_loan =
          now + kSpareRetryInterval * (0.5 + NextJitter());
      return std::nullopt;
    }
    // An instance that gets less than it wants asks less often.
    const std::int64_t held = account.own.granted - UsedAmount(account);
    const bool enough =
        static_cast<double>(held) >=
        kSpareRefillShare * static_cast<double>(TargetSpare(account, now));
    account.spare_backoff =
        enough ? 1 : std::min(kMaxSpareBackoff, account.spare_backoff * 2);
    account.next_spare_loan =
        now + SpareInterval() * account.spare_backoff * (0.5 + NextJitter());
    return std::nullopt;
  }
  account.shortage = shortage;
  account.wanted = 0;
  account.min_wanted = 0;
  if (!shortage.has_value()) {
    account.shortage_amount = 0;
    account.next_loan = absl::InfinitePast();
    return std::nullopt;
  }
  if (*shortage != LoanAvailability::kSoon) {
    account.next_loan = now + kLoanRetryInterval;
    return std::nullopt;
  }
  const absl::Duration wait = kSoonRetryInterval * (0.5 + NextJitter());
  account.next_loan = now + wait;
  return wait;
}

}  // namespace wisteriareel
