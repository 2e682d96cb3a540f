#include "src/app/singleton_task_plane.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

constexpr char kReclaimDuty[] = "reclaim";
// Pause of an instance that doesn't hold the reclaiming duty.
constexpr absl::Duration kIdlePause = absl::Seconds(5);
// Longest pause between two looks at the plans.
constexpr absl::Duration kPlanPause = absl::Seconds(1);

}  // namespace

SingletonTaskPlane::SingletonTaskPlane(const Settings& settings,
                                       const SharedDependencies& parts,
                                       ControlPlane* control,
                                       BudgetPlane* budgets)
    : self_(settings.instance.id),
      parts_(parts),
      control_(control),
      budgets_(budgets),
      order_client_({.connections = {.tls = settings.tls.targets}},
                    parts.random),
      reclaim_lease_(LeaseOptions(kReclaimDuty)) {}

SingletonTaskPlane::~SingletonTaskPlane() { Stop(); }

LeaseManager::Options SingletonTaskPlane::LeaseOptions(
    const std::string& duty) {
  return {
      .task = duty,
      .self = self_,
      .clock = parts_.clock,
      .table = parts_.table,
      .random = parts_.random,
      .counters = parts_.counters,
      .events = parts_.events,
      .rank = [this, duty] { return control_->membership()->TaskRank(duty); }};
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
  for (auto& [pool, duty] : pools_) duty.lease->Release();
}

absl::Duration SingletonTaskPlane::ReclaimStep() {
  if (!reclaim_lease_.Held()) return kIdlePause;
  return budgets_->reclaimer()->ReclaimStep(parts_.clock->Now());
}

void SingletonTaskPlane::FollowPlans() {
  absl::flat_hash_set<PoolId> planned;
  const auto config = control_->config()->Current();
  config->Visit(ConfigKind::kPoolPlan, "", [&](const ConfigValue& value) {
    planned.insert(std::get<PoolPlan>(value).pool);
    return true;
  });
  for (const PoolId& pool : planned) {
    if (pools_.contains(pool)) continue;
    PoolTask& duty = pools_[pool];
    duty.lease = std::make_unique<LeaseManager>(
        LeaseOptions(absl::StrCat("pool/", pool.value())));
    duty.reconciler = std::make_unique<PoolReconciler>(
        PoolReconciler::Options{.pool = pool,
                                .clock = parts_.clock,
                                .config = control_->config(),
                                .lease = duty.lease.get(),
                                .client = &order_client_,
                                .membership = control_->membership(),
                                .counters = parts_.counters,
                                .events = parts_.events});
  }
  for (auto it = pools_.begin(); it != pools_.end();) {
    if (planned.contains(it->first)) {
      ++it;
      continue;
    }
    it->second.lease->Release();
    it = pools_.erase(it);
  }
}

void SingletonTaskPlane::StepDuty(PoolTask* duty, absl::Time now) {
  if (now >= duty->next_lease_step) {
    duty->next_lease_step = now + duty->lease->Step();
  }
  if (now >= duty->next_order_step) {
    duty->next_order_step = now + duty->reconciler->Step();
  }
}

absl::Duration SingletonTaskPlane::PoolStep() {
  FollowPlans();
  absl::Time next = parts_.clock->Now() + kPlanPause;
  for (auto& [pool, duty] : pools_) {
    StepDuty(&duty, parts_.clock->Now());
    next = std::min({next, duty.next_lease_step, duty.next_order_step});
  }
  return std::max(next - parts_.clock->Now(), absl::ZeroDuration());
}

}  // namespace wisteriareel
