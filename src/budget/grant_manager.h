#ifndef WISTERIAREEL_BUDGET_GRANT_MANAGER_H_
#define WISTERIAREEL_BUDGET_GRANT_MANAGER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "src/budget/grant_manager_options.h"
#include "src/budget/leased_grants.h"
#include "wisteriareel/budget_manager.h"
#include "wisteriareel/budget_sizing.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/request_record.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Tokens that a GrantManager holds.
struct GrantBalance {
  // Neither reserved nor returned.
  Tokens available;
  // Available under a lease that is still valid.
  Tokens spendable;
  // Reserved by requests that have not ended.
  Tokens reserved;
  // Charged, but not yet reported to the table as settled.
  Tokens unreported;

  friend bool operator==(const GrantBalance&, const GrantBalance&) = default;
};

// Dependencies of a GrantManager. Not owned; all must outlive it.
struct GrantManagerDependencies {
  TableService* table = nullptr;
  const SizingPolicy* policy = nullptr;
  RecordJournal* journal = nullptr;
  Clock* clock = nullptr;
  RandomSource* random = nullptr;
  Counters* counters = DiscardCounters();
  EventLog* events = DiscardEvents();
};

// Implements prepaid budgets with grants that this instance holds under a
// lease. Requests access only the atomics of their budget; Step runs in a
// background loop and accesses the table. Thread-safe.
class GrantManager final : public BudgetManager {
 public:
  GrantManager(const GrantManagerOptions& options,
               const GrantManagerDependencies& dependencies);

  // Sets a callback that runs on a request's thread when the request starts to
  // wait for a grant, such as BackgroundLoop::Wake. Must be called before the
  // first Reserve.
  void SetWake(std::function<void()> wake) { wake_ = std::move(wake); }

  // Sets the number of instances that may draw on a budget.
  void SetHolders(int holders) { holders_ = holders; }

  std::optional<Reservation> Reserve(const BudgetId& budget,
                                     const RequestId& request,
                                     Tokens worst_case, absl::Time deadline,
                                     LastReason* reason) override;
  void Settle(const Reservation& reservation,
              const RequestRecord& record) override;
  void Release(const Reservation& reservation) override;

  // Requests, renews, returns and reports grants with at most one transaction
  // per lease. Returns how long to wait before the next step.
  absl::Duration Step();

  // Refuses further reservations and makes later steps return all unreserved
  // tokens.
  void BeginDrain();

  // Performs one step of the drain. Returns true once all tokens are returned
  // or reported and the holder's row is closed. Call repeatedly after
  // BeginDrain.
  bool FinishDrain();

  // Returns the balance summed over all budgets.
  GrantBalance Balance();

  // Returns the balance of `budget`.
  GrantBalance BalanceOf(const BudgetId& budget);

 private:
  LeasedGrants* Current() const {
    return current_.load(std::memory_order_acquire);
  }
  // Returns the grants under grant number `number`, or null.
  LeasedGrants* Find(std::uint64_t number);
  std::vector<LeasedGrants*> AllLeasedGrants();
  void StartLease();
  void OnRecordsPersisted(std::uint64_t number,
                          const std::vector<RequestRecord>& records);
  std::optional<Reservation> WaitForGrant(const BudgetId& budget,
                                          const RequestId& request,
                                          std::int64_t amount, absl::Time until,
                                          Reason refusal, LastReason* reason);
  void Wake();
  static void AddBalance(const LeasedGrants& grants,
                         const BudgetAccount& account, GrantBalance* balance);

  const GrantManagerOptions options_;
  const GrantManagerDependencies dependencies_;
  std::function<void()> wake_;
  std::atomic<int> holders_;
  std::atomic<bool> draining_ = false;
  std::atomic<int> waiting_ = 0;

  std::atomic<LeasedGrants*> current_ = nullptr;
  std::mutex leased_grants_mutex_;
  std::vector<std::unique_ptr<LeasedGrants>> leased_grants_;

  // Serializes steps.
  std::mutex step_mutex_;

  // Notifies waiting reservations after each step.
  std::mutex stepped_mutex_;
  std::condition_variable stepped_;
  std::uint64_t steps_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_GRANT_MANAGER_H_
