#ifndef WISTERIAREEL_SRC_APP_BUDGET_PLANE_H_
#define WISTERIAREEL_SRC_APP_BUDGET_PLANE_H_

#include <cstddef>
#include <memory>

#include "absl/time/time.h"
#include "src/app/shared_dependencies.h"
#include "src/budget/grant_manager.h"
#include "src/budget/grant_reclaimer.h"
#include "src/budget/journal_writer.h"
#include "src/budget/store_record_reader.h"
#include "src/budget/table_budget_admin.h"
#include "src/settings/settings.h"
#include "wisteriareel/background_loop.h"
#include "wisteriareel/budget_sizing.h"
#include "wisteriareel/membership_view.h"

namespace wisteriareel {

// Outcome of BudgetPlane::Drain.
struct BudgetDrainReport {
  bool grants_returned = false;
  // Records that were not written to the object store.
  std::size_t records_left = 0;

  friend bool operator==(const BudgetDrainReport&,
                         const BudgetDrainReport&) = default;
};

// Components of a daemon that hold budget grants and persist request records.
// Owns their background loops. Thread-safe except for Start, Drain and Stop.
class BudgetPlane {
 public:
  // The arguments must outlive the object.
  BudgetPlane(const Settings& settings, const SharedDependencies& dependencies,
              const MembershipView* membership);

  void Start();

  // Flushes records and returns grants, until both are done or `deadline` has
  // passed. Blocks. No request may be in flight.
  BudgetDrainReport Drain(absl::Time deadline);

  // Stops the loops. Idempotent.
  void Stop();

  GrantManager* grant_manager() { return &grant_manager_; }
  JournalWriter* journal() { return &journal_; }
  const JournalWriter& journal() const { return journal_; }
  RecordReader* reader() { return &reader_; }
  BudgetAdmin* admin() { return &admin_; }
  GrantReclaimer* reclaimer() { return &reclaimer_; }

 private:
  absl::Duration GrantStep();

  const SharedDependencies& dependencies_;
  const MembershipView* const membership_;
  const std::unique_ptr<SizingPolicy> policy_;
  JournalWriter journal_;
  GrantManager grant_manager_;
  GrantReclaimer reclaimer_;
  StoreRecordReader reader_;
  TableBudgetAdmin admin_;
  BackgroundLoop journal_loop_;
  BackgroundLoop grant_loop_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_APP_BUDGET_PLANE_H_
