#ifndef WISTERIAREEL_SRC_FORWARD_PREPAID_LEDGER_H_
#define WISTERIAREEL_SRC_FORWARD_PREPAID_LEDGER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/forward/known_ledger_rows.h"
#include "src/forward/route_config.h"
#include "src/forward/token_loan.h"
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
  // Time for which the tokens of a home instance should last without the
  // platform. Outages of the platform last up to nine seconds by its
  // specification, and two may occur in a row.
  absl::Duration horizon = absl::Seconds(12);
  // Time for which the tokens of each other instance should last while it
  // reaches neither the platform nor other instances.
  absl::Duration isolation_horizon = absl::Seconds(9);
};

// An incarnation of an instance that has ended. What it stated concerns only
// the rows that it wrote: it may not have read the rows of those before it.
struct EndedIncarnation {
  std::string id;
  // Reading of the platform's clock, in milliseconds, up to which it had used
  // no more tokens than authorized.
  std::int64_t contact_ms = 0;
  // A reading of the same clock after it had ended.
  std::int64_t ended_ms = 0;

  friend bool operator==(const EndedIncarnation&,
                         const EndedIncarnation&) = default;
};

// What is known of an instance's previous incarnations.
struct InheritedTimes {
  // The previous incarnation left a heartbeat.
  bool has_heartbeat = false;
  // A reading of the platform's clock, in milliseconds, after the previous
  // incarnation had ended.
  std::optional<std::int64_t> started_ms;
  // The last incarnations that wrote a heartbeat, newest first.
  std::vector<EndedIncarnation> ended;

  // Returns the longest time that the writer of a row, or a later incarnation
  // that inherited the row, can have used tokens after it was last known to
  // keep to the authorized amount. `planned_ms` is the time that the row
  // states, or 0.
  absl::Duration GapOf(const std::string& writer,
                       std::int64_t planned_ms) const;

  friend bool operator==(const InheritedTimes&,
                         const InheritedTimes&) = default;
};

// A transaction to send to the platform's table for a customer.
struct LedgerTransaction {
  CustomerId customer;
  PartitionTransaction transaction;
};

// The prepaid tokens that this instance holds for each customer.
//
// Each customer has a partition of the platform's table with one pool row,
// which holds the sums of the granted and delivered tokens, and one row per
// instance. A grant updates both rows in one transaction, so that over all
// instances, dead or alive, used plus held tokens never exceed the prepaid
// amount. A transaction whose reply was lost is sent again unchanged: its
// conditions let it take effect at most once, and the conflict that follows
// returns the current rows. Until then the smaller of the limits before and
// after the transaction holds.
//
// Only the authorized part of the granted tokens may be used while the platform
// acknowledges writes. Once it hasn't for `delay`, the limit grows at a rate
// that the row states too. The next incarnation of an instance inherits its
// row. It knows how long its predecessor can have lived after its last contact,
// so it knows the limit that held then, and regains all tokens beyond it. A row
// names the incarnation that wrote it, and only what is known of that one
// counts: an incarnation that couldn't read a row knows nothing of the tokens
// that were used by it.
//
// The home instance of a customer draws the customer's tokens from the platform
// ahead of need and lends them to the other instances, so that the pool row
// usually has a single writer. Tokens that the others request and the home
// instance doesn't hold yet become part of its next transaction. If the home
// instance doesn't respond, the next one in rank acts as its deputy. This
// matters when a customer's tokens run short at many instances at once, whose
// transactions would conflict with each other and with those of the home
// instance.
//
// Each of the other instances borrows a spare amount, which it records in its
// row and doesn't use while it can borrow. It becomes usable when the instance
// is cut off. When a customer's pool is empty, the home instance asks for the
// return of these amounts.
//
// When the table is restored from an older copy, which begins a new era, rows
// that it had acknowledged are lost. Each row states the era in which it was
// planned. A row of the present era is as good as before. One of an earlier era
// may be outdated, and of its states that the table or an instance knows the
// newest counts. An instance draws from a pool of an earlier era, or inherits
// such a row, only once it has learned what the other instances know; the first
// one that draws writes the newest state of the pool. An instance whose newer
// state wasn't included then adds the difference.
//
// Not thread-safe. Opens no connections.
class PrepaidLedger {
 public:
  // Table of the rows. A customer's partition has its id as its name.
  static constexpr char kTable[] = "budgets";
  // Prefix of the keys of the instances' rows.
  static constexpr char kHolderPrefix[] = "holder/";

  explicit PrepaidLedger(PrepaidLedgerOptions options);

  // Sets what is known of the previous incarnation. Must be called before the
  // first transaction.
  void SetInheritedTimes(const InheritedTimes& times, absl::Time now);

  // Records that the table is in `era`, or a later one. Zero if the table
  // states no eras.
  void SetEra(std::uint64_t era, absl::Time now);
  std::uint64_t era() const { return era_; }

  // Records that the platform's clock showed at least `platform_ms` at `time`.
  void RecordClock(std::int64_t platform_ms, absl::Time time);

  // Records that the platform acknowledged a write that was sent at `sent`.
  void RecordContact(absl::Time sent);

  // Records that a later incarnation may learn that this one was within the
  // authorized amounts at `time`. Must be called before the time is reported.
  void RecordReportedTime(absl::Time time) {
    last_contact_ = std::max(last_contact_, time);
  }

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

  // Ends a reservation of `max_tokens`, of which at most `used` were consumed.
  // `delivered` tells whether the caller got the response or a part of it, so
  // that they certainly were.
  void Settle(const CustomerId& customer, Tokens max_tokens, Tokens used,
              bool delivered);

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

  // Returns the time until this instance alone can cover `max_tokens` because
  // the limit grows, or an infinite time if it can't.
  absl::Duration TimeUntilCovered(const CustomerId& customer, Tokens max_tokens,
                                  absl::Time now) const;

  // The known state of a customer's budget, for logs.
  struct Summary {
    Tokens prepaid;
    Tokens granted;
    Tokens delivered;
    Tokens held_here;
    // The part of `held_here` that may be used while the platform is available.
    Tokens authorized_here;
    Tokens reserved_here;

    friend bool operator==(const Summary&, const Summary&) = default;
  };
  Summary GetSummary(const CustomerId& customer) const;

  // Removes up to the requested tokens for another instance, or none if fewer
  // than the minimum are free. A home instance that can get more tokens
  // requests them with its next transaction. Tokens of a loan whose response is
  // lost are not used by either instance.
  Loan Lend(const LoanRequest& request, absl::Time now);

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

  // Returns the customers whose pool is empty while requests wait for tokens
  // that other instances may hold. Each must be followed by one call of
  // CompleteGathering.
  std::vector<CustomerId> TakeGatherings(absl::Time now);

  // Returns the instances that should return tokens of `customer`, those with
  // the most first. `rows` are the customer's rows; nullopt if they couldn't be
  // read.
  std::vector<std::string> CompleteGathering(
      const CustomerId& customer,
      const std::optional<std::vector<PartitionRow>>& rows,
      const std::function<bool(const std::string&)>& is_reachable,
      absl::Time now);

  // Returns the customers whose rows may be outdated, and for which the states
  // that the other instances know are needed. Each must be followed by one call
  // of CompleteRecovery.
  std::vector<CustomerId> TakeRecoveries();

  // Applies the states of the customer's rows that this and the other instances
  // know. `era` is the era that they were collected for.
  void CompleteRecovery(const CustomerId& customer, std::uint64_t era,
                        const std::vector<KnownLedgerRow>& rows,
                        absl::Time now);

  // Returns true if `key` is the key of a customer's pool row or of the row of
  // `instance`.
  static bool IsPoolOrRowOf(const std::string& key,
                            const std::string& instance);

  // Returns the state of a row of the ledger: the era in which it was planned,
  // and the version that it replaced. Later states are greater. A row that
  // states none is of the version at which it was read.
  static TableVersion StateOf(const PartitionRow& row);

  // Forgets the waiting requests of `customer`, which are about to call Reserve
  // again.
  void ForgetWaitingRequests(const CustomerId& customer);

  // Returns the customers whose waiting requests may be covered now because the
  // limit has grown since they began to wait.
  std::vector<CustomerId> CustomersToRetry(absl::Time now);

 private:
  struct Pool {
    std::int64_t granted = 0;
    // Consumed by delivered responses, as far as reported.
    std::int64_t delivered = 0;
    // The newest state of an earlier era that this one includes: its version
    // and its granted tokens.
    TableVersion base;
    std::int64_t base_granted = 0;

    friend bool operator==(const Pool&, const Pool&) = default;
  };
  // This instance's row.
  struct Holding {
    std::int64_t granted = 0;
    std::int64_t settled = 0;
    // Cumulative limit on the settled, reserved, lent and written-off tokens
    // while the platform acknowledges writes.
    std::int64_t authorized = 0;
    // Growth of the limit, in tokens per second, from `delay` after the last
    // contact.
    std::int64_t growth = 0;
    absl::Duration delay;
    // The platform's clock in milliseconds when the row was planned, or
    // earlier; zero if unknown.
    std::int64_t planned_ms = 0;
    // The local time of `planned_ms`; in the past if another incarnation wrote
    // the row. The limit doesn't grow from an earlier time.
    absl::Time planned_at = absl::InfinitePast();

    // Returns the limit `gap` after the last contact.
    std::int64_t LimitAfter(absl::Duration gap) const;

    // Returns the time after the last contact at which the limit reaches
    // `amount`, or an infinite time.
    absl::Duration GapForLimit(std::int64_t amount) const;

    friend bool operator==(const Holding&, const Holding&) = default;
  };
  // A transaction that was planned and has no definite reply, with the rows
  // that it writes.
  struct PendingTransaction {
    PartitionTransaction transaction;
    // Unset if the transaction concerns only this instance's row.
    std::optional<Pool> pool;
    Holding own;
    // Delivered tokens that `pool` reports.
    std::int64_t reported = 0;
    // States of the rows that it writes. The era is the one in which it was
    // planned.
    TableVersion own_state;
    TableVersion pool_state;
  };
  // A row of an earlier era that a previous incarnation wrote.
  struct OutdatedRow {
    TableVersion state;
    std::string value;
  };
  struct Account {
    std::optional<Tokens> prepaid;
    // As of the last definite reply.
    Pool pool;
    // Version to expect in the table, and the newest state that `pool`
    // includes: its version, and the era in which it was planned.
    TableVersion pool_version;
    TableVersion pool_state;
    bool pool_known = false;
    Holding own;
    TableVersion own_version;
    TableVersion own_state;
    // The rows must be read again, since the table was restored.
    bool reread = false;
    // Era for which the states that the other instances know were applied.
    std::uint64_t recovered_era = 0;
    // These states are needed, and are being collected.
    bool recovery_wanted = false;
    bool recovering = false;
    // Its inheritance waits for them.
    std::optional<OutdatedRow> outdated_row;
    // The newest known state of the pool in an earlier era, and its granted
    // tokens.
    TableVersion earlier_state;
    std::int64_t earlier_granted = 0;
    // The pool in the table doesn't include that state; `pool` does.
    bool pool_incomplete = false;
    // Settled by this instance.
    std::int64_t settled = 0;
    // Consumed by delivered responses, of this instance and of its borrowers,
    // and not reported yet.
    std::int64_t unreported = 0;
    std::int64_t reserved = 0;
    // Lent to others (positive) or borrowed from them (negative).
    std::int64_t lent = 0;
    // May have been used by an earlier incarnation without being settled.
    std::int64_t written_off = 0;
    // Maximum tokens of the waiting requests: their sum and the smallest one.
    std::int64_t wanted = 0;
    std::int64_t min_wanted = 0;
    // Last time that a request was told to wait.
    absl::Time waited_at = absl::InfinitePast();
    // Decayed sum of reservations, as of `rate_at`.
    double recent_use = 0;
    absl::Time rate_at = absl::InfinitePast();
    std::optional<PendingTransaction> pending;
    // Conflicts in a row.
    int conflicts = 0;
    bool in_flight = false;
    // Time at which the transaction in flight was sent.
    absl::Time sent_at;
    absl::Time next_transaction = absl::InfinitePast();
    // Last time that the pool row was written.
    absl::Time reported_at = absl::InfinitePast();
    absl::Duration backoff;
    // The row of an earlier incarnation was inherited, or there was none.
    bool inherited = false;
    // Time at which the inherited row is written, so that the contacts of this
    // incarnation count for it.
    absl::Time claim_at = absl::InfiniteFuture();
    bool platform_unavailable = false;
    // The pool was found too small for the waiting requests.
    bool pool_empty = false;
    bool is_home = false;
    // This instance takes the place of the home instance until then.
    absl::Time deputy_until = absl::InfinitePast();
    // Until then all tokens held here are authorized, because another instance
    // requested their return.
    absl::Time returning_until = absl::InfinitePast();
    // Other instances are asked to return tokens: wanted, in progress, and the
    // time before which they aren't asked again.
    bool gathering_wanted = false;
    bool gathering = false;
    absl::Time next_gathering = absl::InfinitePast();
    // Before this time returned tokens may still arrive in the pool.
    absl::Time gathered_until = absl::InfinitePast();
    // Tokens that other instances could return, as far as is known, and the
    // time until which that counts.
    std::int64_t returnable = 0;
    absl::Time returnable_until = absl::InfinitePast();
    // Tokens that this instance borrowed to hold them, as far as it still does.
    std::int64_t spare = 0;
    // No spare tokens are requested before this time; unset until the number of
    // instances is known.
    std::optional<absl::Time> next_spare_loan;
    // The loan in flight is for spare tokens.
    bool spare_loan = false;
    // Factor on the time to the next request for spare tokens.
    int spare_backoff = 1;
    // The home instance couldn't help: this one may request the tokens of
    // waiting requests from the platform.
    bool transaction_allowed = false;
    bool loan_wanted = false;
    bool loan_in_flight = false;
    // Result of the last loan request; unset if enough was lent.
    std::optional<LoanAvailability> shortage;
    // Smallest amount that the last loan request was for.
    std::int64_t shortage_amount = 0;
    // No loans are requested before this time, since the last ones didn't
    // suffice.
    absl::Time next_loan = absl::InfinitePast();
  };

  absl::Time FirstTransactionAt(absl::Time now);
  // Applies what the request says of earlier loans. Returns false if the
  // request is outdated.
  bool UpdateLoanSequence(const LoanRequest& request, Account* account);
  static std::int64_t UsedAmount(const Account& account);
  std::int64_t UsageLimit(const Account& account, absl::Time now) const;
  // Returns the time for which the limit of `row` may have grown.
  absl::Duration GapSince(const Holding& row, absl::Time now) const {
    return now - std::max(last_contact_, row.planned_at);
  }
  // Returns true if this instance may have inherited tokens that it hasn't read
  // yet.
  bool MayInherit(const Account& account) const {
    return !account.inherited && inherited_times_.has_heartbeat;
  }
  std::int64_t FreeAmount(const Account& account, absl::Time now) const;
  // Returns the recent rate of reservations in tokens per second.
  double ReservationRate(const Account& account, absl::Time now) const;
  bool IsHome(const Account& account, absl::Time now) const;
  std::int64_t TargetHolding(const Account& account, absl::Time now) const;
  // Returns the spare tokens that are still held.
  static std::int64_t HeldSpare(const Account& account);
  // Returns the spare tokens that an instance other than the home instance
  // wants to hold.
  std::int64_t TargetSpare(const Account& account, absl::Time now) const;
  // Returns the most that a home instance lends as spare tokens.
  std::int64_t MaxSpareLoan(const Account& account) const;
  bool WantsSpareLoan(Account* account, absl::Time now);
  // Returns the tokens to authorize beyond those in use.
  std::int64_t AuthorizationAhead(const Account& account, absl::Time now) const;
  std::int64_t LimitGrowth(const Account& account, absl::Time now) const;
  absl::Duration LimitDelay(bool is_home) const;
  void RecordUse(Account* account, std::int64_t amount, absl::Time now);
  // Sets `recovery_wanted` if the transaction needs the states that the other
  // instances know.
  std::optional<PendingTransaction> PlanTransaction(const CustomerId& id,
                                                    Account* account,
                                                    absl::Time now) const;
  std::int64_t PlanGrant(const Account& account, absl::Time now) const;
  ReserveResult HandleShortfall(Account* account, std::int64_t amount,
                                absl::Time now);
  bool CanTransact(const Account& account, absl::Time now) const;
  bool IsPlatformUnavailable(const Account& account) const;
  // Returns true if the customer's tokens don't cover a request of `amount`,
  // and never will unless the budget grows.
  static bool IsExhausted(const Account& account, std::int64_t amount,
                          absl::Time now);
  // Returns the tokens of waiting requests that the platform, not another
  // instance, is to provide.
  std::int64_t WantedFromPool(const Account& account, absl::Time now) const;
  // Returns true if other instances are asked to return tokens, or were a
  // moment ago.
  static bool GatherTokens(Account* account, absl::Time now);
  Loan DecideLoan(const LoanRequest& request, Account* account, absl::Time now);
  // Plans to return the tokens held here to another instance.
  Loan AuthorizeReturn(Account* account, absl::Time now);
  void RecordFailure(Account* account, absl::Time now);
  void RecordSuccess(absl::Time now);
  absl::Duration SpareInterval() const;
  // Returns the incarnation that wrote the row, or an empty string.
  static std::string WriterOf(const std::string& value);
  std::string EncodeHolding(const Holding& holding,
                            const TableVersion& state) const;
  static std::optional<Holding> DecodeHolding(const std::string& text);
  static std::string EncodePool(const Pool& pool, const TableVersion& state);
  static Pool DecodePool(const std::string& text);
  // Returns the state that a value states, or nullopt.
  static std::optional<TableVersion> DecodeState(bool is_pool,
                                                 const std::string& value);
  // Returns the version to expect of a row that was at `known` when it was last
  // read, or of an absent row.
  TableVersion ExpectedVersion(const TableVersion& known) const;
  // Returns true if tokens may be drawn from the known pool.
  bool IsPoolCurrent(const Account& account) const;
  // Returns a transaction that conflicts, so that its reply states the rows.
  PendingTransaction PlanRead(const CustomerId& id,
                              const Account& account) const;
  std::int64_t PlanReturn(const Account& account, absl::Time now) const;
  // Returns a number in [0, 1) that differs between calls and between
  // instances, so that instances don't act at the same time.
  double NextJitter();
  // Applies the rows of a conflict with `transaction`.
  void ApplyRows(Account* account, const PartitionTransaction& transaction,
                 const CommitReply& reply, absl::Time now);
  void ApplyPoolRow(Account* account, const PartitionRow* row,
                    std::uint64_t read_era);
  void ApplyOwnRow(Account* account, const PartitionRow* row,
                   std::uint64_t read_era, absl::Time now);
  // Inherits the row that `writer` wrote.
  void InheritRow(const std::string& writer, Account* account, absl::Time now);
  static PartitionRowKey PoolKey(const CustomerId& id);
  PartitionRowKey HolderKey(const CustomerId& id) const;

  const PrepaidLedgerOptions options_;
  int instances_ = 1;
  std::uint64_t spreads_ = 0;
  std::uint64_t era_ = 0;
  bool returning_tokens_ = false;
  InheritedTimes inherited_times_;
  // A reading of the platform's clock.
  std::optional<std::int64_t> clock_ms_;
  absl::Time clock_at_;
  // Transactions in a row, of any customers, that the platform didn't perform
  // or didn't respond to.
  int failures_ = 0;
  absl::Time failed_at_ = absl::InfinitePast();
  // While there are failures, one transaction at a time is sent, not before
  // this time.
  absl::Time next_probe_ = absl::InfinitePast();
  // Moving average of the time that the platform takes for a transaction.
  absl::Duration commit_time_;
  // Mean of the tokens that requests reserve; 0 until the first one.
  double mean_request_ = 0;
  absl::Time last_contact_ = absl::InfinitePast();
  std::map<CustomerId, Account> accounts_;
  // Loans to one incarnation of a borrower for one customer.
  struct LoanSequence {
    std::uint64_t last = 0;
    std::int64_t lent = 0;
  };
  // By the hash of incarnation and customer.
  absl::flat_hash_map<std::uint64_t, LoanSequence> loan_sequences_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_PREPAID_LEDGER_H_
