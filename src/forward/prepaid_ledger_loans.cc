#include <algorithm>
#include <functional>
#include <vector>

#include "src/forward/prepaid_ledger.h"

// The part of PrepaidLedger that lends and borrows tokens between instances.
namespace wisteriareel {
namespace {

// Time between loan requests after other instances couldn't lend enough.
constexpr absl::Duration kLoanRetryInterval = absl::Milliseconds(400);
// A home instance gets more tokens within the time of one table transaction and
// one or two conflicts.
constexpr absl::Duration kSoonRetryInterval = absl::Milliseconds(50);
// A borrower requests its expected use for this time in addition to the waiting
// requests, so that not every request needs a loan.
constexpr absl::Duration kBorrowAheadTime = absl::Milliseconds(300);

}  // namespace

void PrepaidLedger::SetHomeCustomers(
    const std::function<bool(const CustomerId&)>& is_home) {
  for (auto& [id, account] : accounts_) account.is_home = is_home(id);
}

Loan PrepaidLedger::Lend(const CustomerId& customer, Tokens wanted,
                         Tokens min_amount, absl::Time now) {
  const auto it = accounts_.find(customer);
  if (it == accounts_.end() || !it->second.prepaid.has_value()) return {};
  Account& account = it->second;
  const std::int64_t amount = std::clamp<std::int64_t>(
      FreeAmount(account, now), 0, std::max<std::int64_t>(0, wanted.value()));
  if (amount >= min_amount.value()) {
    RecordUse(&account, amount, now);
    account.lent += amount;
    return {.amount = Tokens(amount)};
  }
  if (!account.is_home || returning_tokens_) return {};
  if (!CanTransact(account, now)) {
    return {.availability = account.pool_empty && !account.platform_unavailable
                                ? LoanAvailability::kPoolEmpty
                                : LoanAvailability::kNone};
  }
  account.wanted += wanted.value();
  account.min_wanted = account.min_wanted == 0
                           ? min_amount.value()
                           : std::min(account.min_wanted, min_amount.value());
  return {.availability = LoanAvailability::kSoon};
}

std::vector<LoanRequest> PrepaidLedger::TakeLoanRequests(absl::Time now) {
  std::vector<LoanRequest> requests;
  for (auto& [id, account] : accounts_) {
    if (!account.loan_wanted || account.loan_in_flight) continue;
    account.loan_wanted = false;
    account.loan_in_flight = true;
    const std::int64_t free =
        std::max<std::int64_t>(0, FreeAmount(account, now));
    const auto ahead =
        static_cast<std::int64_t>(ReservationRate(account, now) *
                                  absl::ToDoubleSeconds(kBorrowAheadTime));
    requests.push_back({.customer = id,
                        .amount = Tokens(account.wanted + ahead - free),
                        .min_amount = Tokens(account.min_wanted - free),
                        .from_any_instance =
                            account.platform_unavailable ||
                            account.pool_empty ||
                            account.shortage == LoanAvailability::kPoolEmpty});
  }
  return requests;
}

std::vector<TokenTransfer> PrepaidLedger::TakeTransfers(absl::Time now) {
  std::vector<TokenTransfer> transfers;
  if (!returning_tokens_ || now - last_contact_ <= options_.reserve_after) {
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
  accounts_[customer].lent -= amount.value();
}

std::optional<absl::Duration> PrepaidLedger::CompleteLoan(
    const CustomerId& customer, std::optional<LoanAvailability> shortage,
    absl::Time now) {
  Account& account = accounts_[customer];
  account.loan_in_flight = false;
  account.shortage = shortage;
  account.wanted = 0;
  account.min_wanted = 0;
  if (!shortage.has_value()) {
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
