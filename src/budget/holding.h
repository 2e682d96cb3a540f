#ifndef WISTERIAREEL_BUDGET_HOLDING_H_
#define WISTERIAREEL_BUDGET_HOLDING_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/budget/account.h"
#include "src/budget/budget_rows.h"
#include "src/budget/grant_manager_options.h"
#include "src/budget/pool_reading.h"
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
  Account* account = nullptr;
  std::int64_t grant = 0;
  std::int64_t give_back = 0;
  std::int64_t report = 0;
  // Worst case of a request that waits for the grant.
  std::int64_t want = 0;
  // Batches whose records are all in what is reported so far.
  std::uint64_t batches = 0;
  // Counted as settled by whoever reclaimed the grants.
  std::int64_t found_settled = 0;

  bool Empty() const { return grant == 0 && give_back == 0 && report == 0; }
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
class Holding {
 public:
  // The pointers must outlive the holding.
  Holding(const GrantManagerOptions& options, std::uint64_t number,
          TableService* table, const SizingPolicy* policy, Clock* clock,
          Counters* counters);

  std::uint64_t number() const { return number_; }
  BudgetAccountMap& accounts() { return accounts_; }

  // Takes `amount` of the account if the lease holds before and after it.
  // Returns kNone, kGrantTooSmall or kGrantLeaseLapsed.
  Reason TryReserve(Account* account, std::int64_t amount) const;

  // Notes that the records of batch `number` are in the object store.
  void RecordPersistedBatch(std::uint64_t number,
                            const std::vector<RequestRecord>& records);

  // Returns true while the lease holds by this instance's clock.
  bool IsLeaseValid() const;

  // Orders, renews, returns and reports as far as one transaction goes.
  GrantStepResult Step(int holders);

  // Makes later steps return all that is unreserved and order nothing.
  void GiveUp() { giving_up_ = true; }

  // Returns true once the table says that the grants were reclaimed.
  bool reclaimed() const { return reclaimed_.load(std::memory_order_acquire); }

  // Returns true if every token is returned or reported as settled.
  bool Settled();

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
  struct Selection {
    std::vector<Account*> accounts;
    bool more = false;
  };

  Selection Select(absl::Time now);
  bool Due(const Account* account, bool reporting) const;
  void UpdateRates(absl::Time now);
  GrantStepResult Order(const Selection& selection, int holders,
                        absl::Time now);
  bool ReadHolderRow(LastReason* reason);
  BudgetAccountChange Plan(Account* account, const BudgetSnapshot& pool,
                           int holders);
  BudgetAccountChange PlanGrant(Account* account, const BudgetSnapshot& pool,
                                int holders, std::int64_t want);
  bool AddChange(const BudgetAccountChange& change, BudgetSnapshot* pool,
                 PendingTransaction* order);
  bool AddReclaimedChange(BudgetAccountChange* change, BudgetSnapshot* pool,
                          PendingTransaction* order);
  GrantStepResult Send();
  GrantStepResult ResolveInDoubt();
  void MarkAllReported();
  void ResolveByAbsentRow();
  void Confirm();
  void Drop();
  void Refuse(const Selection& selection, Reason reason);
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
  std::atomic<bool> giving_up_ = false;

  // Keeps the accounts' kept tokens and the batch count in step.
  std::mutex persisted_mutex_;
  std::uint64_t persisted_batches_ = 0;

  // Owned by the stepping thread.
  std::optional<PendingTransaction> pending_;
  HolderRow row_;
  std::uint64_t row_version_ = 0;
  bool row_created_ = false;
  std::uint64_t orders_ = 0;
  std::size_t batch_ = 1;
  std::size_t poll_position_ = 0;
  bool reporting_ = false;
  absl::Time renewed_ = absl::InfinitePast();
  absl::Time reported_ = absl::InfinitePast();
  absl::Time polled_ = absl::InfinitePast();
  absl::Time rated_ = absl::InfinitePast();
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_HOLDING_H_
