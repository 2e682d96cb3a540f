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

// Whether tokens could be set aside for a request.
enum class ReserveResult : std::uint8_t {
  kReserved,
  // The platform or other instances have to be asked first; worth waiting for.
  kWait,
  // What the customer has left doesn't cover the request.
  kExhausted,
  // What is left is held by other instances and may come back.
  kHeldElsewhere,
  // The platform can't be reached and what is held here doesn't suffice.
  kPlatformUnavailable,
};

struct PrepaidLedgerOptions {
  // Names this instance; the same after a restart.
  std::string instance;
  // Identifies this life of this instance; never used again.
  std::string incarnation;
  // Time that what is held should last without the platform; the outages that
  // the platform names last up to nine seconds, and two may follow each other.
  absl::Duration horizon = absl::Seconds(12);
  // Time without the platform after which the reserve may be used. Longer than
  // a restart takes, so that the next life can prove that it wasn't.
  absl::Duration reserve_after = absl::Seconds(3);
};

// What the last life of an instance may have used of what it held.
enum class InheritedUse : std::uint8_t {
  // Its reserve can't have been used.
  kAuthorized,
  // All of it may have been used.
  kAll,
};

// Tokens that other instances are asked to lend.
struct LoanRequest {
  CustomerId customer;
  Tokens amount;
  // Less than this is of no use.
  Tokens min_amount;
  // The platform can't grant them: any instance may help, with any part.
  bool from_any_instance = false;

  friend bool operator==(const LoanRequest&, const LoanRequest&) = default;
};

// What another instance can expect of one that was asked for a loan and can't
// lend enough.
enum class LoanAvailability : std::uint8_t {
  // It has asked the platform and will have more shortly.
  kSoon,
  // The platform has no more to grant.
  kPoolEmpty,
  // It can't reach the platform, or isn't the customer's home.
  kNone,
};

// The answer to a question for a loan.
struct Loan {
  Tokens amount;
  // Counts if the amount is too small.
  LoanAvailability availability = LoanAvailability::kNone;

  friend bool operator==(const Loan&, const Loan&) = default;
};

// Tokens that go to another instance for good.
struct TokenTransfer {
  CustomerId customer;
  Tokens amount;

  friend bool operator==(const TokenTransfer&, const TokenTransfer&) = default;
};

// A transaction to be sent for a customer.
struct LedgerTransaction {
  CustomerId customer;
  PartitionTransaction transaction;
};

// Prepaid tokens that this instance holds, by customer.
//
// Each customer has a part of the platform's table with one pool row, the sum
// of what was granted and settled, and one row an instance. A grant moves both
// in one transaction, so that over all instances, dead or alive, settled plus
// held tokens never exceed what was paid. An order whose reply was lost is
// sent again unchanged: its conditions let it take effect at most once, and
// the conflict that follows tells what is so. Until then the smaller of both
// limits holds.
//
// Of what is granted only the authorised part may be used; the rest is a
// reserve for outages, used once the platform hasn't answered for
// `reserve_after`. One instance, the home, draws a customer's tokens from the
// platform ahead of need and lends them to the others, so that the pool row has
// one writer as a rule. What the others want and it doesn't have yet becomes
// part of its own next order; they order themselves only where it can't help.
// Answers this load pattern: a customer's tokens run short at many instances at
// once, whose orders would conflict with each other and with the home's. The
// next life of an instance takes over the row: if it can show that its
// predecessor ended before that time was over, the reserve is its own again;
// otherwise all that was granted counts as used. Not thread-safe; opens no
// connection.
class PrepaidLedger {
 public:
  explicit PrepaidLedger(PrepaidLedgerOptions options);

  // Says what an earlier life may have used. Before the first order.
  void SetInheritedUse(InheritedUse use) { inherited_use_ = use; }

  // The platform answered a call that was sent at `sent`.
  void RecordContact(absl::Time sent);

  // Returns true if no more is used than is authorised in the table, so that
  // a later life may be told of contacts up to now.
  bool IsWithinAuthorized() const;

  // Takes the budgets of `config`. Customers without one are unlimited.
  void SetBudgets(const RouteConfig& config, absl::Time now);

  // Sets for which customers this instance is the home: the one that draws
  // from the platform ahead of need, and lends to the others.
  void SetHomeCustomers(const std::function<bool(const CustomerId&)>& is_home);

  // Sets the number of instances that draw on each budget, at least 1.
  void SetInstances(int count);

  // Sets `most` tokens aside.
  ReserveResult Reserve(const CustomerId& customer, Tokens max_tokens,
                        absl::Time now);

  // Ends a reservation of `most`, of which `used` were consumed.
  void Settle(const CustomerId& customer, Tokens max_tokens, Tokens used);

  // Returns the orders that are due. Each must be answered by Complete.
  std::vector<LedgerTransaction> TakeTransactions(absl::Time now);

  // Takes the reply to the customer's order.
  void CompleteTransaction(const CustomerId& customer, const CommitReply& reply,
                           absl::Time now);

  // From now on everything that isn't reserved goes back.
  void StartReturningTokens() { returning_tokens_ = true; }

  // After GiveUp: takes out of this ledger what can't be returned because the
  // platform is away, for instances that go on serving. A gift whose delivery
  // is in doubt must not be delivered again.
  std::vector<TokenTransfer> TakeTransfers(absl::Time now);

  // Returns true if nothing is held or in doubt any more.
  bool IsSettled() const;

  // Returns what could be reserved for `customer` now.
  Tokens FreeTokens(const CustomerId& customer, absl::Time now) const;

  // Returns what is known of the customer's budget, for logs.
  struct Summary {
    Tokens prepaid;
    Tokens granted;
    Tokens settled;
    Tokens held_here;
    Tokens reserved_here;

    friend bool operator==(const Summary&, const Summary&) = default;
  };
  Summary GetSummary(const CustomerId& customer) const;

  // Takes up to `wanted` tokens out of this ledger for another instance, or
  // none if less than `least` are free. A home that can get more orders them.
  // A loan whose answer is lost stays out of use.
  Loan Lend(const CustomerId& customer, Tokens wanted, Tokens min_amount,
            absl::Time now);

  // Returns the loans that are wanted. Each must be answered by any number of
  // Borrow and one CompleteLoan.
  std::vector<LoanRequest> TakeLoanRequests(absl::Time now);

  // Adds tokens lent by another instance.
  void Borrow(const CustomerId& customer, Tokens amount);

  // All instances that were asked have answered, or were waited for.
  // `shortage` is unset if enough was lent. Returns when others may be asked
  // again, if they will have more then.
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
    // Cumulative limit on what is settled, reserved, lent and written off.
    std::int64_t authorized = 0;
  };
  // A transaction under way.
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
    // Settled here, including what is not yet reported.
    std::int64_t settled = 0;
    std::int64_t reserved = 0;
    // Lent to others (positive) or borrowed from them (negative).
    std::int64_t lent = 0;
    // May have been used by an earlier life without being settled.
    std::int64_t written_off = 0;
    // Worst cases of the requests that wait: their sum and the smallest.
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
    // A row of an earlier life was looked for.
    bool inherited = false;
    bool platform_unavailable = false;
    // The pool was found too small for what waits.
    bool pool_empty = false;
    bool is_home = true;
    // The home couldn't help: the platform may be asked for what waits.
    bool transaction_allowed = false;
    bool loan_wanted = false;
    bool loan_in_flight = false;
    // What the last round of questions left to expect; unset after a loan.
    std::optional<LoanAvailability> shortage;
    // The last loans didn't suffice; no others are asked for until then.
    absl::Time next_loan = absl::InfinitePast();
  };

  static std::int64_t UsedAmount(const Account& account);
  std::int64_t UsageLimit(const Account& account, absl::Time now) const;
  std::int64_t FreeAmount(const Account& account, absl::Time now) const;
  // Tokens that requests reserve in a second, of late.
  double ReservationRate(const Account& account, absl::Time now) const;
  std::int64_t TargetHolding(const Account& account, absl::Time now) const;
  // Tokens that should be authorised beyond those in use.
  std::int64_t AuthorizationAhead(const Account& account, absl::Time now) const;
  void RecordUse(Account* account, std::int64_t amount, absl::Time now);
  std::optional<PendingTransaction> PlanTransaction(const CustomerId& id,
                                                    const Account& account,
                                                    absl::Time now) const;
  std::int64_t PlanGrant(const Account& account, absl::Time now) const;
  ReserveResult HandleShortfall(Account* account, absl::Time now);
  static bool CanTransact(const Account& account, absl::Time now);
  // Returns what requests wait for that is to come from the platform, not
  // from another instance.
  static std::int64_t WantedFromPool(const Account& account);
  std::int64_t PlanReturn(const Account& account, absl::Time now) const;
  // Returns a number in [0, 1) that differs from call to call and from
  // instance to instance, so that instances don't act at the same moment.
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
