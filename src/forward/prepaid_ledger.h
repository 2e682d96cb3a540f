#ifndef WISTERIAREEL_SRC_FORWARD_PREPAID_LEDGER_H_
#define WISTERIAREEL_SRC_FORWARD_PREPAID_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/route_config.h"
#include "wisteriareel/async_table.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// The result of a reservation of tokens for a request.
enum class ReserveResult : std::uint8_t {
  kReserved,
  // Tokens were requested from the platform or from other instances. The caller
  // should wait and try again.
  kWait,
  // The remaining budget of the customer doesn't cover the request.
  kExhausted,
  // Other instances hold the remaining tokens and may return them.
  kHeldElsewhere,
  // The platform is unavailable and this instance doesn't hold enough tokens.
  kPlatformUnavailable,
};

struct PrepaidLedgerOptions {
  // Id of this instance; unchanged by a restart.
  std::string instance;
  // Id of this incarnation of the instance; never reused.
  std::string incarnation;
  // Time for which the held tokens should last without the platform. Outages of
  // the platform last up to nine seconds by its specification, and two may
  // occur in a row.
  absl::Duration horizon = absl::Seconds(12);
  // Time without contact to the platform after which the reserve may be used.
  // Longer than a restart takes, so that the next incarnation can prove that
  // the reserve was not used.
  absl::Duration reserve_after = absl::Seconds(3);
};

// What an instance's previous incarnation may have used of the tokens that it
// held.
enum class InheritedUse : std::uint8_t {
  // At most the authorized tokens: the reserve can't have been used.
  kAuthorized,
  // All tokens that it held, the reserve included.
  kAll,
};

// A request to other instances to lend tokens.
struct LoanRequest {
  CustomerId customer;
  Tokens amount;
  // A smaller loan covers no waiting request.
  Tokens min_amount;
  // The platform can't grant the tokens. Any instance may lend any amount.
  bool from_any_instance = false;

  friend bool operator==(const LoanRequest&, const LoanRequest&) = default;
};

// What a borrower can expect from a lender that can't lend enough now.
enum class LoanAvailability : std::uint8_t {
  // The lender has requested more from the platform and will have it shortly.
  kSoon,
  // The platform has no tokens left to grant.
  kPoolEmpty,
  // The lender can't reach the platform or isn't the customer's home instance.
  kNone,
};

// The response to a request for a loan.
struct Loan {
  Tokens amount;
  // Meaningful only if `amount` is too small.
  LoanAvailability availability = LoanAvailability::kNone;

  friend bool operator==(const Loan&, const Loan&) = default;
};

// Tokens that move permanently to another instance.
struct TokenTransfer {
  CustomerId customer;
  Tokens amount;

  friend bool operator==(const TokenTransfer&, const TokenTransfer&) = default;
};

// A transaction to send to the platform's table for a customer.
struct LedgerTransaction {
  CustomerId customer;
  PartitionTransaction transaction;
};

// The prepaid tokens that this instance holds for each customer.
//
// Each customer has a partition of the platform's table with one pool row,
// which holds the sums of the granted and settled tokens, and one row per
// instance. A grant updates both rows in one transaction, so that over all
// instances, dead or alive, settled plus held tokens never exceed the prepaid
// amount. A transaction whose reply was lost is sent again unchanged: its
// conditions let it take effect at most once, and the conflict that follows
// returns the current rows. Until then the smaller of the limits before and
// after the transaction holds.
//
// Only the authorized part of the granted tokens may be used. The rest is a
// reserve for outages, which may be used once the platform hasn't responded for
// `reserve_after`.
//
// The home instance of a customer draws the customer's tokens from the platform
// ahead of need and lends them to the other instances, so that the pool row
// usually has a single writer. Tokens that the others request and the home
// instance doesn't hold yet become part of its next transaction. The others
// start transactions of their own only if the home instance can't help. This
// matters when a customer's tokens run short at many instances at once, whose
// transactions would conflict with each other and with those of the home
// instance.
//
// The next incarnation of an instance inherits its row. If it can prove that
// its predecessor ended before `reserve_after` had passed, it regains the
// reserve; otherwise all granted tokens count as used.
//
// Not thread-safe. Opens no connections.
class PrepaidLedger {
 public:
  explicit PrepaidLedger(PrepaidLedgerOptions options);

  // Sets what the previous incarnation may have used. Must be called before the
  // first transaction.
  void SetInheritedUse(InheritedUse use) { inherited_use_ = use; }

  // Records that the platform responded to a call that was sent at `sent`.
  void RecordContact(absl::Time sent);

  // Returns true if the used tokens don't exceed the amount authorized in the
  // table. Only then may contacts up to now be recorded for a later
  // incarnation.
  bool IsWithinAuthorized() const;

  // Applies the budgets of `config`. Customers without a budget are unlimited.
  void SetBudgets(const RouteConfig& config, absl::Time now);

  // Sets the customers whose home instance this is.
  void SetHomeCustomers(const std::function<bool(const CustomerId&)>& is_home);

  // Sets the number of instances that draw on each budget, at least 1.
  void SetInstances(int count);

  // Reserves `max_tokens`, the most that a request can consume.
  ReserveResult Reserve(const CustomerId& customer, Tokens max_tokens,
                        absl::Time now);

  // Ends a reservation of `max_tokens`, of which `used` were consumed.
  void Settle(const CustomerId& customer, Tokens max_tokens, Tokens used);

  // Returns the transactions that are due. Each must be followed by a call of
  // CompleteTransaction.
  std::vector<LedgerTransaction> TakeTransactions(absl::Time now);

  // Applies the reply to the customer's transaction.
  void CompleteTransaction(const CustomerId& customer, const CommitReply& reply,
                           absl::Time now);

  // Makes the following transactions return all tokens that aren't reserved.
  void StartReturningTokens() { returning_tokens_ = true; }

  // After StartReturningTokens: removes the tokens that can't be returned
  // because the platform is unavailable, and returns them as transfers to
  // instances that continue to serve. A transfer whose delivery is in doubt
  // must not be delivered again.
  std::vector<TokenTransfer> TakeTransfers(absl::Time now);

  // Returns true if no tokens are held, reserved, unreported or in doubt.
  bool IsSettled() const;

  // Returns the tokens that could be reserved for `customer` now.
  Tokens FreeTokens(const CustomerId& customer, absl::Time now) const;

  // The known state of a customer's budget, for logs.
  struct Summary {
    Tokens prepaid;
    Tokens granted;
    Tokens settled;
    Tokens held_here;
    Tokens reserved_here;

    friend bool operator==(const Summary&, const Summary&) = default;
  };
  Summary GetSummary(const CustomerId& customer) const;

  // Removes up to `wanted` tokens for another instance, or none if fewer than
  // `min_amount` are free. A home instance that can get more tokens requests
  // them with its next transaction. Tokens of a loan whose response is lost are
  // not used by either instance.
  Loan Lend(const CustomerId& customer, Tokens wanted, Tokens min_amount,
            absl::Time now);

  // Returns the loans to request. Each must be followed by any number of calls
  // of Borrow and one call of CompleteLoan.
  std::vector<LoanRequest> TakeLoanRequests(absl::Time now);

  // Adds tokens lent by another instance.
  void Borrow(const CustomerId& customer, Tokens amount);

  // Ends a loan request once all lenders have responded or timed out.
  // `shortage` is unset if enough was lent. If the lenders will have more
  // tokens shortly, returns the time to wait before the next request.
  std::optional<absl::Duration> CompleteLoan(
      const CustomerId& customer, std::optional<LoanAvailability> shortage,
      absl::Time now);

 private:
  struct Pool {
    std::int64_t granted = 0;
    std::int64_t settled = 0;
  };
  // This instance's row.
  struct Holding {
    std::int64_t granted = 0;
    std::int64_t settled = 0;
    // Cumulative limit on the settled, reserved, lent and written-off tokens.
    std::int64_t authorized = 0;
  };
  // A transaction that was planned and has no definite reply, with the rows
  // that it writes.
  struct PendingTransaction {
    PartitionTransaction transaction;
    Pool pool;
    Holding own;
  };
  struct Account {
    std::optional<Tokens> prepaid;
    // As of the last definite reply.
    Pool pool;
    std::uint64_t pool_version = 0;
    bool pool_known = false;
    Holding own;
    std::uint64_t own_version = 0;
    // Settled by this instance, including tokens not yet reported.
    std::int64_t settled = 0;
    std::int64_t reserved = 0;
    // Lent to others (positive) or borrowed from them (negative).
    std::int64_t lent = 0;
    // May have been used by an earlier incarnation without being settled.
    std::int64_t written_off = 0;
    // Maximum tokens of the waiting requests: their sum and the smallest one.
    std::int64_t wanted = 0;
    std::int64_t min_wanted = 0;
    // Decayed sum of reservations, as of `rate_at`.
    double recent_use = 0;
    absl::Time rate_at = absl::InfinitePast();
    std::optional<PendingTransaction> pending;
    // Conflicts in a row.
    int conflicts = 0;
    bool in_flight = false;
    absl::Time next_transaction = absl::InfinitePast();
    absl::Duration backoff;
    // The row of an earlier incarnation was inherited, or there was none.
    bool inherited = false;
    bool platform_unavailable = false;
    // The pool was found too small for the waiting requests.
    bool pool_empty = false;
    bool is_home = true;
    // The home instance couldn't help: this one may request the tokens of
    // waiting requests from the platform.
    bool transaction_allowed = false;
    bool loan_wanted = false;
    bool loan_in_flight = false;
    // Result of the last loan request; unset if enough was lent.
    std::optional<LoanAvailability> shortage;
    // No loans are requested before this time, since the last ones didn't
    // suffice.
    absl::Time next_loan = absl::InfinitePast();
  };

  static std::int64_t UsedAmount(const Account& account);
  std::int64_t UsageLimit(const Account& account, absl::Time now) const;
  std::int64_t FreeAmount(const Account& account, absl::Time now) const;
  // Returns the recent rate of reservations in tokens per second.
  double ReservationRate(const Account& account, absl::Time now) const;
  std::int64_t TargetHolding(const Account& account, absl::Time now) const;
  // Returns the tokens to authorize beyond those in use.
  std::int64_t AuthorizationAhead(const Account& account, absl::Time now) const;
  void RecordUse(Account* account, std::int64_t amount, absl::Time now);
  std::optional<PendingTransaction> PlanTransaction(const CustomerId& id,
                                                    const Account& account,
                                                    absl::Time now) const;
  std::int64_t PlanGrant(const Account& account, absl::Time now) const;
  ReserveResult HandleShortfall(Account* account, absl::Time now);
  static bool CanTransact(const Account& account, absl::Time now);
  // Returns the tokens of waiting requests that the platform, not another
  // instance, is to provide.
  static std::int64_t WantedFromPool(const Account& account);
  std::int64_t PlanReturn(const Account& account, absl::Time now) const;
  // Returns a number in [0, 1) that differs between calls and between
  // instances, so that instances don't act at the same time.
  double NextJitter();
  absl::Duration ReportInterval() const;
  void ApplyRows(Account* account, const std::vector<PartitionRow>& rows);
  void InheritUse(Account* account);
  static PartitionRowKey PoolKey(const CustomerId& id);
  PartitionRowKey HolderKey(const CustomerId& id) const;

  const PrepaidLedgerOptions options_;
  int instances_ = 1;
  std::uint64_t spreads_ = 0;
  bool returning_tokens_ = false;
  InheritedUse inherited_use_ = InheritedUse::kAll;
  absl::Time last_contact_ = absl::InfinitePast();
  std::map<CustomerId, Account> accounts_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_PREPAID_LEDGER_H_
