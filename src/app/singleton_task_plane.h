#ifndef WISTERIAREEL_SRC_APP_SINGLETON_TASK_PLANE_H_
#define WISTERIAREEL_SRC_APP_SINGLETON_TASK_PLANE_H_

#include <map>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "src/app/budget_plane.h"
#include "src/app/control_plane.h"
#include "src/app/shared_dependencies.h"
#include "src/http/http_target_order_client.h"
#include "src/settings/settings.h"
#include "wisteriareel/background_loop.h"
#include "wisteriareel/lease_manager.h"
#include "wisteriareel/pool_reconciler.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Runs the singleton tasks: reclaiming the grants of dead instances, and
// reconciling each pool that has a plan. Each task has a lease of its own, so
// that one instance of the deployment runs it at a time. Owns its background
// loops. Thread-safe except for Start and Stop.
class SingletonTaskPlane {
 public:
  // The arguments must outlive the object.
  SingletonTaskPlane(const Settings& settings,
                     const SharedDependencies& dependencies,
                     ControlPlane* control, BudgetPlane* budgets);
  ~SingletonTaskPlane();

  void Start();

  // Stops the loops and releases the leases that this instance holds.
  // Idempotent.
  void Stop();

  // Returns true if this instance holds the lease of the reclaim task.
  bool reclaims_grants() const { return reclaim_lease_.Held().has_value(); }

 private:
  // Reconciliation of one pool.
  struct PoolTask {
    std::unique_ptr<LeaseManager> lease;
    std::unique_ptr<PoolReconciler> reconciler;
    absl::Time next_lease_step = absl::InfinitePast();
    absl::Time next_order_step = absl::InfinitePast();
  };

  LeaseManager::Options LeaseOptions(const std::string& task);
  absl::Duration ReclaimStep();
  absl::Duration PoolStep();
  // Adds tasks for pools that have a new plan, and removes those of pools that
  // no longer have one.
  void UpdatePoolTasks();
  void StepPoolTask(PoolTask* task, absl::Time now);

  const InstanceId self_;
  const SharedDependencies& dependencies_;
  ControlPlane* const control_;
  BudgetPlane* const budgets_;
  HttpTargetOrderClient order_client_;
  LeaseManager reclaim_lease_;
  // Accessed by pool_loop_ only, and by Stop after that loop has ended.
  std::map<PoolId, PoolTask> pool_tasks_;
  BackgroundLoop lease_loop_;
  BackgroundLoop reclaim_loop_;
  BackgroundLoop pool_loop_;
  bool stopped_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_APP_SINGLETON_TASK_PLANE_H_
