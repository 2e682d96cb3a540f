#include "src/app/singleton_task_plane.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

constexpr char kReclaimTask[] = "reclaim";
// Interval at which an instance without the reclaim lease checks for it.
constexpr absl::Duration kIdleInterval = absl::Seconds(5);
// Maximum interval between checks for changed pool plans.
constexpr absl::Duration kMaxPlanPollInterval = absl::Seconds(1);

}  // namespace

SingletonTaskPlane::SingletonTaskPlane(const Settings& settings,
                                       const SharedDependencies& dependencies,
                                       ControlPlane* control,
                                       BudgetPlane* budgets)
    : self_(settings.instance.id),
      dependencies_(dependencies),
      control_(control),
      budgets_(budgets),
      order_client_({.connections = {.tls = settings.tls.targets}},
                    dependencies.random),
      reclaim_lease_(LeaseOptions(kReclaimTask)) {}

SingletonTaskPlane::~SingletonTaskPlane() { Stop(); }

LeaseManager::Options SingletonTaskPlane::LeaseOptions(
    const std::string& task) {
  return {
      .task = task,
      .self = self_,
      .clock = dependencies_.clock,
      .table = dependencies_.table,
      .random = dependencies_.random,
      .counters = dependencies_.counters,
      .events = dependencies_.events,
      .rank = [this, task] { return control_->membership()->TaskRank(task); }};
}

void SingletonTaskPlane::Start() {
  lease_loop_.Start([this] { return reclaim_lease_.Step(); });
  reclaim_loop_.Start([this] { return ReclaimStep(); });
  pool_loop_.Start([this] { return PoolStep(); });
}

void SingletonTaskPlane::Stop() {
  if (std::exchange(stopped_, true)) return;
  pool_loop_.Stop();
  reclaim_loop_.Stop();
  lease_loop_.Stop();
  reclaim_lease_.Release();
  for (auto& [pool, task] : pool_tasks_) task.lease->Release();
}

absl::Duration SingletonTaskPlane::ReclaimStep() {
  if (!reclaim_lease_.Held()) return kIdleInterval;
  return budgets_->reclaimer()->ReclaimStep(dependencies_.clock->Now());
}

void SingletonTaskPlane::UpdatePoolTasks() {
  absl::flat_hash_set<PoolId> planned;
  const auto config = control_->config()->Current();
  config->Visit(ConfigKind::kPoolPlan, "", [&](const ConfigValue& value) {
    planned.insert(std::get<PoolPlan>(value).pool);
    return true;
  });
  for (const PoolId& pool : planned) {
    if (pool_tasks_.contains(pool)) continue;
    PoolTask& task = pool_tasks_[pool];
    task.lease = std::make_unique<LeaseManager>(
        LeaseOptions(absl::StrCat("pool/", pool.value())));
    task.reconciler = std::make_unique<PoolReconciler>(
        PoolReconciler::Options{.pool = pool,
                                .clock = dependencies_.clock,
                                .config = control_->config(),
                                .lease = task.lease.get(),
                                .client = &order_client_,
                                .membership = control_->membership(),
                                .counters = dependencies_.counters,
                                .events = dependencies_.events});
  }
  for (auto it = pool_tasks_.begin(); it != pool_tasks_.end();) {
    if (planned.contains(it->first)) {
      ++it;
      continue;
    }
    it->second.lease->Release();
    it = pool_tasks_.erase(it);
  }
}

void SingletonTaskPlane::StepPoolTask(PoolTask* task, absl::Time now) {
  if (now >= task->next_lease_step) {
    task->next_lease_step = now + task->lease->Step();
  }
  if (now >= task->next_order_step) {
    task->next_order_step = now + task->reconciler->Step();
  }
}

absl::Duration SingletonTaskPlane::PoolStep() {
  UpdatePoolTasks();
  absl::Time next = dependencies_.clock->Now() + kMaxPlanPollInterval;
  for (auto& [pool, task] : pool_tasks_) {
    StepPoolTask(&task, dependencies_.clock->Now());
    next = std::min({next, task.next_lease_step, task.next_order_step});
  }
  return std::max(next - dependencies_.clock->Now(), absl::ZeroDuration());
}

}  // namespace wisteriareel
