#include "wisteriareel/pool_reconciler.h"

#include <atomic>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/lifecycle/pool_order_scheduler.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kNoLeaseInterval = absl::Seconds(1);
constexpr absl::Duration kNoPlanInterval = absl::Seconds(5);

PoolOrderScheduler::Options SchedulerOptions(
    const PoolReconciler::Options& options) {
  return {.order_timeout = options.order_timeout,
          .margin = options.margin,
          .idle_read_interval = options.idle_read_interval,
          .busy_read_interval = options.busy_read_interval,
          .effect_timeout = options.effect_timeout,
          .targets_per_change = options.targets_per_change};
}

}  // namespace

class PoolReconciler::Worker {
 public:
  explicit Worker(Options options)
      : options_(std::move(options)), scheduler_(SchedulerOptions(options_)) {}

  absl::Duration Step() {
    const auto lease = options_.lease->Held();
    if (!lease) {
      converged_ = false;
      return kNoLeaseInterval;
    }
    const auto snapshot = options_.config->Current();
    const PoolPlan* plan = snapshot->FindPlan(options_.pool);
    if (plan == nullptr) return kNoPlanInterval;
    const std::vector<const Target*> targets = ActiveTargets(*snapshot);
    const PoolAction action = scheduler_.ChooseAction(
        *plan, targets, *lease, LoadInterval(*snapshot), options_.clock->Now());
    RecordConvergence(scheduler_.Converged(*plan, targets));
    if (action.kind == PoolActionKind::kWait) return action.wait;
    const Target* target = snapshot->FindTarget(action.target);
    if (action.kind == PoolActionKind::kReadState) {
      Read(*target);
    } else {
      Send(*target, action.order);
    }
    return absl::ZeroDuration();
  }

  bool converged() const { return converged_; }

 private:
  std::vector<const Target*> ActiveTargets(
      const ConfigSnapshot& snapshot) const {
    std::vector<const Target*> targets;
    for (const Target* target : snapshot.TargetsOf(options_.pool)) {
      if (target->draining) continue;
      if (options_.membership != nullptr &&
          options_.membership->IsTargetLeaving(target->id)) {
        continue;
      }
      targets.push_back(target);
    }
    return targets;
  }

  // Every pool with a plan gets an equal share of the rate, so that the total
  // holds whichever instances hold the leases.
  absl::Duration LoadInterval(const ConfigSnapshot& snapshot) const {
    std::size_t plans = 0;
    snapshot.Visit(ConfigKind::kPoolPlan, "", [&](const ConfigValue&) {
      ++plans;
      return true;
    });
    return absl::Seconds(static_cast<double>(plans) /
                         options_.loads_per_second);
  }

  void Read(const Target& target) {
    LastReason reason;
    const auto state =
        options_.client->ReadState(target, options_.read_timeout, &reason);
    scheduler_.OnTargetState(target.id, state, options_.clock->Now());
  }

  void Send(const Target& target, const TargetOrder& order) {
    // Checks the lease again, since this thread may have been paused since the
    // action was chosen.
    const auto lease = options_.lease->Held();
    if (!lease || lease->fencing != order.fencing) return;
    const absl::Duration left = lease->expires - options_.clock->Now();
    if (left < options_.order_timeout + options_.margin) return;
    LastReason reason;
    const bool accepted =
        options_.client->Send(target, order, options_.order_timeout, &reason);
    if (!accepted) options_.counters->Refused(reason.reason());
    scheduler_.OnOrderResult(target.id, order, accepted,
                             reason.reason() == Reason::kFencingNumberOld,
                             options_.clock->Now());
    options_.events->Write(
        accepted ? EventId::kTargetOrderDone : EventId::kTargetOrderFailed,
        accepted ? Severity::kInfo : Severity::kWarning,
        accepted ? "target accepted an order" : "order to a target failed",
        {{"target", target.id.value()},
         {"name", order.name},
         {"fencing", absl::StrCat(order.fencing.value())},
         {"reason", std::string(ReasonName(reason.reason()))}});
  }

  void RecordConvergence(bool converged) {
    if (converged_.exchange(converged) || !converged) return;
    options_.events->Write(EventId::kPoolConverged, Severity::kInfo,
                           "all targets of the pool are in the planned state",
                           {{"pool", options_.pool.value()}});
  }

  const Options options_;
  PoolOrderScheduler scheduler_;
  std::atomic<bool> converged_ = false;
};

PoolReconciler::PoolReconciler(Options options)
    : worker_(std::make_unique<Worker>(std::move(options))) {}

PoolReconciler::~PoolReconciler() = default;

absl::Duration PoolReconciler::Step() { return worker_->Step(); }

bool PoolReconciler::converged() const { return worker_->converged(); }

}  // namespace wisteriareel
