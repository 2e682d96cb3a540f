#ifndef WISTERIAREEL_BUDGET_LEASED_GRANTS_H_
#define WISTERIAREEL_BUDGET_LEASED_GRANTS_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/budget/budget_account.h"
#include "src/budget/budget_rows.h"
#include "src/budget/budget_snapshot.h"
#include "src/budget/grant_manager_options.h"
#include "wisteriareel/budget_sizing.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/request_record.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Returns the holder name of `instance` under grant number `number`.
std::string HolderName(const InstanceId& instance, std::uint64_t number);

// Changes that one transaction makes to one account.
struct BudgetAccountChange {
  BudgetAccount* account = nullptr;
  std::int64_t grant = 0;
  std::int64_t return_amount = 0;
  std::int64_t report = 0;
  // Largest worst case of the requests that wait for the grant.
  std::int64_t requested = 0;
  // The reported tokens include all records of batches with lower numbers.
  std::uint64_t batches = 0;
  // Tokens that the reclaimer has already counted as settled.
  std::int64_t settled_by_reclaimer = 0;

  bool Empty() const { return grant == 0 && return_amount == 0 && report == 0; }
};

// Result of LeasedGrants::Step.
struct GrantStepResult {
  // True if the platform responded to all calls.
  bool platform_reached = true;
  // True if another step has work to do immediately.
  bool more = false;
};

// All grants of one instance under one lease, from the first transaction until
// the grants are returned or found to be reclaimed and every token is accounted
// for. Only one thread at a time may call Step, IsSettled or Close; all other
// members are thread-safe.
class LeasedGrants {
 public:
  // The pointers must outlive the object.
  LeasedGrants(const GrantManagerOptions& options, std::uint64_t number,
               TableService* table, const SizingPolicy* policy, Clock* clock,
               Counters* counters);

  std::uint64_t number() const { return number_; }
  BudgetAccountMap& accounts() { return accounts_; }

  // Withdraws `amount` from the account if the lease is valid before and after
  // the withdrawal. Returns kNone, kGrantTooSmall or kGrantLeaseLapsed.
  Reason TryReserve(BudgetAccount* account, std::int64_t amount) const;

  // Records that batch `number` with `records` is in the object store.
  void RecordPersistedBatch(std::uint64_t number,
                            const std::vector<RequestRecord>& records);

  // Returns true while the lease is valid by this instance's clock.
  bool IsLeaseValid() const;

  // Requests, renews, returns and reports grants with at most one transaction.
  GrantStepResult Step(int holders);

  // Makes later steps return all unreserved tokens and request no grants.
  void BeginReturn() { returning_ = true; }

  // Returns true once the table has shown that the grants were reclaimed.
  bool reclaimed() const { return reclaimed_.load(std::memory_order_acquire); }

  // Returns true if every token is returned or reported as settled.
  bool IsSettled();

  // Marks the holder's row as closed if IsSettled. Returns true once the
  // change is confirmed.
  bool Close();

 private:
  // A transaction whose outcome is not known yet.
  struct PendingTransaction {
    Transaction transaction;
    HolderRow row;
    std::vector<BudgetAccountChange> changes;
    absl::Time first_sent;
    bool in_doubt = false;
  };
  struct AccountSelection {
    std::vector<BudgetAccount*> accounts;
    bool more = false;
  };

  AccountSelection SelectAccounts(absl::Time now);
  bool IsDue(const BudgetAccount* account, bool report_due) const;
  void UpdateRates(absl::Time now);
  GrantStepResult CommitChanges(const AccountSelection& selection, int holders,
                                absl::Time now);
  bool ReadHolderRow(LastReason* reason);
  BudgetAccountChange PlanChange(BudgetAccount* account,
                                 const BudgetSnapshot& snapshot, int holders);
  BudgetAccountChange PlanGrant(BudgetAccount* account,
                                const BudgetSnapshot& snapshot, int holders,
                                std::int64_t requested);
  bool AddChange(const BudgetAccountChange& change, BudgetSnapshot* snapshot,
                 PendingTransaction* pending);
  bool AddReclaimedChange(BudgetAccountChange* change, BudgetSnapshot* snapshot,
                          PendingTransaction* pending);
  GrantStepResult SendPending();
  GrantStepResult ResolveInDoubt();
  void MarkAllReported();
  void ResolveByAbsentRow();
  void ApplyCommitted();
  void DiscardPending();
  void RecordRefusal(const AccountSelection& selection, Reason reason);
  int PreferredStripe(int stripes) const;
  void ReadPersisted(BudgetAccountChange* change);

  const GrantManagerOptions options_;
  const std::uint64_t number_;
  const std::string holder_;
  TableService* const table_;
  const SizingPolicy* const policy_;
  Clock* const clock_;
  Counters* const counters_;
  BudgetAccountMap accounts_;

  // By this instance's clock; INT64_MIN while there is no lease.
  std::atomic<std::int64_t> lease_expiry_ns_ = INT64_MIN;
  std::atomic<bool> reclaimed_ = false;
  std::atomic<bool> returning_ = false;

  // Keeps the persisted tokens of the accounts consistent with the batch count.
  std::mutex persisted_mutex_;
  std::uint64_t persisted_batches_ = 0;

  // Owned by the stepping thread.
  std::optional<PendingTransaction> pending_;
  HolderRow row_;
  std::uint64_t row_version_ = 0;
  bool row_created_ = false;
  std::uint64_t transaction_count_ = 0;
  std::size_t max_changes_ = 1;
  std::size_t poll_position_ = 0;
  bool report_due_ = false;
  absl::Time last_renewal_ = absl::InfinitePast();
  absl::Time last_report_ = absl::InfinitePast();
  absl::Time last_poll_ = absl::InfinitePast();
  absl::Time last_rate_update_ = absl::InfinitePast();
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_LEASED_GRANTS_H_
