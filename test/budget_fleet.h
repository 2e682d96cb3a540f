#ifndef WISTERIAREEL_TEST_BUDGET_FLEET_H_
#define WISTERIAREEL_TEST_BUDGET_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/budget/grant_manager.h"
#include "src/budget/grant_reclaimer.h"
#include "src/budget/journal_writer.h"
#include "src/budget/request_id_generator.h"
#include "src/budget/table_budget_admin.h"
#include "standin/fakes/manual_clock.h"
#include "standin/fakes/memory_object_store.h"
#include "standin/fakes/memory_table.h"

namespace wisteriareel {

// Clock of one instance with a fixed offset and rate relative to a shared
// clock. Not thread-safe.
class SkewedClock final : public Clock {
 public:
  SkewedClock(const ManualClock* base, absl::Duration offset, double rate)
      : base_(base), start_(base->Now()), offset_(offset), rate_(rate) {}

  absl::Time Now() const override {
    const absl::Time now = start_ + offset_ + (base_->Now() - start_) * rate_;
    if (readings_left_ >= 0 && readings_left_-- == 0) pause_();
    return now;
  }

  void Sleep(absl::Duration) override {}

  // Calls `pause` once, after `readings` further readings of the clock and the
  // one that follows them. Simulates a thread that is suspended at this point.
  void PauseAfter(int readings, std::function<void()> pause) {
    readings_left_ = readings;
    pause_ = std::move(pause);
  }
  void CancelPause() { readings_left_ = -1; }

 private:
  const ManualClock* base_;
  absl::Time start_;
  absl::Duration offset_;
  double rate_;
  mutable int readings_left_ = -1;
  std::function<void()> pause_;
};

// Connection of one instance to the platform, with fault injection. Outlives
// the instance's process, since a transaction that was sent may take effect
// later. Not thread-safe.
class PlatformLink final : public TableService, public ObjectStore {
 public:
  PlatformLink(MemoryTable* table, MemoryObjectStore* store)
      : table_(table), store_(store) {}

  bool cut = false;
  int lose_replies = 0;
  int lose_requests = 0;
  int delay_commits = 0;
  int lose_puts = 0;

  // Counts of the writes that took effect.
  std::uint64_t transactions = 0;
  std::uint64_t rows_written = 0;
  std::uint64_t objects_written = 0;

  // Applies the delayed commits.
  void DeliverDelayed();

  CommitOutcome Commit(const Transaction& transaction,
                       absl::Duration timeout) override;
  std::optional<std::vector<Row>> Read(const std::vector<RowKey>& keys,
                                       absl::Duration timeout,
                                       LastReason* reason) override;
  std::optional<std::vector<Row>> Scan(const std::string& table,
                                       const std::string& after, int limit,
                                       absl::Duration timeout,
                                       LastReason* reason) override;
  CommitOutcome Put(const std::string& name, const std::string& bytes,
                    absl::Duration timeout) override;
  std::optional<std::string> Get(const std::string& name,
                                 absl::Duration timeout,
                                 LastReason* reason) override;
  std::optional<std::vector<std::string>> List(const std::string& prefix,
                                               const std::string& after,
                                               int limit,
                                               absl::Duration timeout,
                                               LastReason* reason) override;

 private:
  MemoryTable* table_;
  MemoryObjectStore* store_;
  std::vector<Transaction> delayed_;
};

// One process of an instance.
struct BudgetProcess {
  BudgetProcess(const GrantManagerOptions& options, PlatformLink* link,
                const SizingPolicy* policy, Clock* clock, RandomSource* random)
      : journal({.instance = options.instance}, link, clock, random),
        manager(options, {.table = link,
                          .policy = policy,
                          .journal = &journal,
                          .clock = clock,
                          .random = random}),
        reclaimer({}, link, link) {}

  JournalWriter journal;
  GrantManager manager;
  GrantReclaimer reclaimer;
  std::vector<Reservation> open;
};

// An instance. The clock and the link persist when the process is replaced.
struct BudgetInstance {
  std::unique_ptr<SkewedClock> clock;
  std::unique_ptr<PlatformLink> link;
  std::unique_ptr<BudgetProcess> process;
};

// Instances that share budgets in one table, and a ledger of the actual spend
// to check them against. Not thread-safe.
class BudgetFleet {
 public:
  BudgetFleet(int instances, int budgets, const SizingPolicy* policy,
              const GrantManagerOptions& options, std::uint64_t seed);

  BudgetInstance& instance(int n) {
    return instances_[static_cast<std::size_t>(n)];
  }
  int size() const { return static_cast<int>(instances_.size()); }
  ManualClock& clock() { return clock_; }
  BudgetId budget(int n) const;

  void TopUp(int budget, std::int64_t amount, int lost_replies);
  // Returns true if the request was admitted. `paused_late` is true if the
  // thread is suspended after the second check of the lease; the reservation is
  // then valid even if the grants are reclaimed meanwhile.
  bool Request(int instance, int budget, std::int64_t worst_case,
               bool paused_late = false);
  // Settles open request `n` of the instance with `billed`, or releases it.
  void Finish(int instance, std::size_t n, std::int64_t billed, bool release);
  // Kills the process. The reservations of its open requests count as spent.
  void Kill(int instance);
  // Starts a new process if the instance has none.
  void Replace(int instance);
  // Runs a complete reclaim on one instance, from the first observation to the
  // write-off, of all holders that do not renew their lease meanwhile.
  void ReclaimAll(int instance);
  // Removes all faults and lets every process flush its records, report and
  // return tokens.
  void Quiesce();

  // Returns a description of the first violated invariant, or an empty string.
  std::string Check();
  // Like Check, with the additional invariants that hold after Quiesce.
  std::string CheckQuiet();

 private:
  struct Ledger {
    // Billed, or reserved by a process that was killed.
    std::int64_t spent = 0;
    // Charged by Settle.
    std::int64_t billed = 0;
  };

  Tokens AcceptedTopUps(int budget);
  std::string CheckBudget(int budget);
  void ReadNewRecords();
  std::string CheckReservation(int instance, const Reservation& reservation);

  GrantManagerOptions options_;
  const SizingPolicy* policy_;
  ManualClock clock_;
  MemoryTable table_;
  MemoryObjectStore store_;
  std::unique_ptr<RandomSource> random_;
  TableBudgetAdmin admin_;
  std::vector<BudgetInstance> instances_;
  std::vector<Ledger> ledgers_;
  std::unique_ptr<RequestIdGenerator> ids_;
  std::uint64_t top_ups_ = 0;
  // Sums over the batches read so far.
  std::set<std::string> batches_read_;
  std::set<RequestId> recorded_;
  std::map<BudgetId, std::int64_t> recorded_sums_;
  std::string violation_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_BUDGET_FLEET_H_
