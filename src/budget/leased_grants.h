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

// Returns the name of the holder that instance `instance` is under grant
// number `number`.
std::string HolderName(const InstanceId& instance, std::uint64_t number);

// What one order changes for one account.
struct BudgetAccountChange {
  BudgetAccount* account = nullptr;
  std::int64_t grant = 0;
  std::int64_t return_amount = 0;
  std::int64_t report = 0;
  // Worst case of a request that waits for the grant.
  std::int64_t requested = 0;
  // Batches whose records are all in what is reported so far.
  std::uint64_t batches = 0;
  // Counted as settled by whoever reclaimed the grants.
  std::int64_t settled_by_reclaimer = 0;

  bool Empty() const { return grant == 0 && return_amount == 0 && report == 0; }
};

// What a step of a holding came to.
struct GrantStepResult {
  // Whether the platform answered all that it was asked.
  bool platform_reached = true;
  // Whether another step at once has something to do.
  bool more = false;
};

// All grants of one instance under one lease: from its first order until the
// lease is given up or found reclaimed and every token is accounted for.
// TryReserve, Charge and the getters are thread-safe; Step belongs to one
// thread at a time.
class LeasedGrants {
 public:
  // The pointers must outlive the holding.
  LeasedGrants(const GrantManagerOptions& options, std::uint64_t number,
               TableService* table, const SizingPolicy* policy, Clock* clock,
               Counters* counters);

  std::uint64_t number() const { return number_; }
  BudgetAccountMap& accounts() { return accounts_; }

  // Takes `amount` of the account if the lease holds before and after it.
  // Returns kNone, kGrantTooSmall or kGrantLeaseLapsed.
  Reason TryReserve(BudgetAccount* account, std::int64_t amount) const;

  // Notes that the records of batch `number` are in the object store.
  void RecordPersistedBatch(std::uint64_t number,
                            const std::vector<RequestRecord>& records);

  // Returns true while the lease holds by this instance's clock.
  bool IsLeaseValid() const;

  // Orders, renews, returns and reports as far as one transaction goes.
  GrantStepResult Step(int holders);

  // Makes later steps return all that is unreserved and order nothing.
  void BeginReturn() { returning_ = true; }

  // Returns true once the table says that the grants were reclaimed.
  bool reclaimed() const { return reclaimed_.load(std::memory_order_acquire); }

  // Returns true if every token is returned or reported as settled.
  bool IsSettled();

  // Has the holder's row marked closed, once Settled. Returns true once that
  // is confirmed.
  bool Close();

 private:
  // A transaction that was sent, until it is known whether it took effect.
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

  // By this instance's clock; the distant past while there is no lease.
  std::atomic<std::int64_t> lease_expiry_ns_ = INT64_MIN;
  std::atomic<bool> reclaimed_ = false;
  std::atomic<bool> returning_ = false;

  // Keeps the accounts' kept tokens and the batch count in step.
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
