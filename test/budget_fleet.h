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

// One instance's clock: a fixed offset and rate over a shared one. Not
// thread-safe.
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

  // Has `pause` called right after the reading that follows the next
  // `readings` ones, as if the thread had been stopped there.
  void PauseAfter(int readings, std::function<void()> pause) {
    readings_left_ = readings;
    pause_ = std::move(pause);
  }
  void DropPause() { readings_left_ = -1; }

 private:
  const ManualClock* base_;
  absl::Time start_;
  absl::Duration offset_;
  double rate_;
  mutable int readings_left_ = -1;
  std::function<void()> pause_;
};

// One instance's way to the platform, with faults of its own. Outlives the
// instance's process: what was sent may take effect later. Not thread-safe.
class PlatformLink final : public TableService, public ObjectStore {
 public:
  PlatformLink(MemoryTable* table, MemoryObjectStore* store)
      : table_(table), store_(store) {}

  bool cut = false;
  int lose_replies = 0;
  int lose_requests = 0;
  int delay_commits = 0;
  int lose_puts = 0;

  // What took effect so far.
  std::uint64_t transactions = 0;
  std::uint64_t rows_written = 0;
  std::uint64_t objects_written = 0;

  // Lets the commits that were held back take effect now.
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

// An instance: its clock and link last, its process may be replaced.
struct BudgetInstance {
  std::unique_ptr<SkewedClock> clock;
  std::unique_ptr<PlatformLink> link;
  std::unique_ptr<BudgetProcess> process;
};

// Instances that draw on the same budgets through one table, and a ledger of
// what really happened. Not thread-safe.
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
  // Returns true if the request was admitted. `paused_late` says that the
  // thread is stopped after its tokens are safely taken.
  bool Request(int instance, int budget, std::int64_t worst_case,
               bool paused_late = false);
  // Ends the open request `n` of the instance with `billed`, or releases it.
  void Finish(int instance, std::size_t n, std::int64_t billed, bool release);
  // Stops the process at once. What its open requests reserved counts as
  // spent.
  void Kill(int instance);
  // Starts a process where there is none.
  void Replace(int instance);
  // Has one instance reclaim, from first sight to write-off, the grants of
  // all holders that stay silent meanwhile.
  void ReclaimAll(int instance);
  // Mends all links and lets every process flush, report and return.
  void Quiesce();

  // Returns what is wrong with the ledger, or nothing.
  std::string Check();
  // Returns what is wrong once all is quiet, or nothing.
  std::string CheckQuiet();

 private:
  struct Ledger {
    // Billed, or reserved by a process that died.
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
