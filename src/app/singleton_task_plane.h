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

// The duties that one instance at a time does for the whole deployment, each
// under a lease of its own: reclaiming grants, and bringing each pool with a
// plan to its wanted state. Owns its loops. Thread-safe but for Start and
// Stop.
class SingletonTaskPlane {
 public:
  // The arguments must outlive the object.
  SingletonTaskPlane(const Settings& settings,
                     const SharedDependencies& dependencies,
                     ControlPlane* control, BudgetPlane* budgets);
  ~SingletonTaskPlane();

  void Start();

  // Stops the loops and frees the leases that this instance holds.
  // Idempotent.
  void Stop();

  // Returns whether this instance reclaims the grants of dead ones.
  bool reclaims_grants() const { return reclaim_lease_.Held().has_value(); }

 private:
  // One pool's duty.
  struct PoolTask {
    std::unique_ptr<LeaseManager> lease;
    std::unique_ptr<PoolReconciler> reconciler;
    absl::Time next_lease_step = absl::InfinitePast();
    absl::Time next_order_step = absl::InfinitePast();
  };

  LeaseManager::Options LeaseOptions(const std::string& task);
  absl::Duration ReclaimStep();
  absl::Duration PoolStep();
  void UpdatePoolTasks();
  void StepPoolTask(PoolTask* task, absl::Time now);

  const InstanceId self_;
  const SharedDependencies& dependencies_;
  ControlPlane* const control_;
  BudgetPlane* const budgets_;
  HttpTargetOrderClient order_client_;
  LeaseManager reclaim_lease_;
  // Touched by the pool loop only.
  std::map<PoolId, PoolTask> pool_tasks_;
  BackgroundLoop lease_loop_;
  BackgroundLoop reclaim_loop_;
  BackgroundLoop pool_loop_;
  bool stopped_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_APP_SINGLETON_TASK_PLANE_H_
