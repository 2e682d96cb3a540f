#include "src/lifecycle/pool_order_scheduler.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wisteriareel {
namespace {

constexpr absl::Duration kMaxWait = absl::Seconds(1);

template <typename T>
bool Contains(const std::vector<T>& list, const T& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

bool SameEffect(const TargetOrder& a, const TargetOrder& b) {
  return a.kind == b.kind && a.name == b.name;
}

}  // namespace

std::optional<TargetOrder> NextOrder(const PoolPlan& plan,
                                     const TargetEngineState& state) {
  for (const std::string& adapter : state.adapters) {
    if (Contains(plan.loaded_adapters, adapter)) continue;
    return TargetOrder{.kind = TargetOrderKind::kUnloadAdapter,
                       .name = adapter};
  }
  for (const ModelName& model : state.models) {
    if (Contains(plan.loaded_models, model)) continue;
    return TargetOrder{.kind = TargetOrderKind::kUnloadModel,
                       .name = model.value()};
  }
  if (!plan.version.empty() && plan.version != state.version) {
    return TargetOrder{.kind = TargetOrderKind::kSetVersion,
                       .name = plan.version};
  }
  for (const ModelName& model : plan.loaded_models) {
    if (Contains(state.models, model)) continue;
    return TargetOrder{.kind = TargetOrderKind::kLoadModel,
                       .name = model.value()};
  }
  for (const std::string& adapter : plan.loaded_adapters) {
    if (Contains(state.adapters, adapter)) continue;
    return TargetOrder{.kind = TargetOrderKind::kLoadAdapter, .name = adapter};
  }
  if (plan.role != state.role) {
    return TargetOrder{.kind = TargetOrderKind::kSetRole, .name = plan.role};
  }
  return std::nullopt;
}

void PoolOrderScheduler::BeginTerm(const HeldLease& lease,
                                   absl::Duration load_interval,
                                   absl::Time now) {
  term_ = lease.fencing;
  term_began_ = now;
  superseded_ = false;
  // The previous holder may have started a load just before the term began.
  next_load_ = now + load_interval;
  progress_.clear();
}

std::size_t PoolOrderScheduler::CountInProgress(
    const std::vector<const Target*>& targets, absl::Time now) const {
  std::size_t n = 0;
  for (const Target* target : targets) {
    const auto it = progress_.find(target->id);
    if (it == progress_.end()) continue;
    if (it->second.sent && now < it->second.effect_deadline) ++n;
  }
  return n;
}

PoolAction PoolOrderScheduler::ChooseAction(
    const PoolPlan& plan, const std::vector<const Target*>& targets,
    const HeldLease& lease, absl::Duration load_interval, absl::Time now) {
  if (lease.fencing != term_) BeginTerm(lease, load_interval, now);
  if (superseded_) return {.wait = kMaxWait};
  absl::Time soonest = now + kMaxWait;
  for (const Target* target : targets) {
    Progress& progress = progress_[target->id];
    const bool converged = progress.state && !NextOrder(plan, *progress.state);
    if (converged) progress.sent.reset();
    if (now >= progress.next_read) {
      return {.kind = PoolActionKind::kReadState, .target = target->id};
    }
    soonest = std::min(soonest, progress.next_read);
  }
  const absl::Time previous_holder_done =
      term_began_ + options_.order_timeout + options_.margin;
  const bool lease_suffices =
      lease.expires - now >= options_.order_timeout + options_.margin;
  const std::size_t limit =
      std::max<std::size_t>(1, targets.size() / options_.targets_per_change);
  const std::size_t changes_in_progress = CountInProgress(targets, now);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const std::size_t at = (cursor_ + i) % targets.size();
    const Target* target = targets[at];
    const Progress& progress = progress_[target->id];
    if (!progress.state || !lease_suffices) continue;
    auto order = NextOrder(plan, *progress.state);
    if (!order) continue;
    const bool in_progress = progress.sent && now < progress.effect_deadline;
    if (in_progress && SameEffect(*progress.sent, *order)) continue;
    if (!in_progress && changes_in_progress >= limit) continue;
    // An order of the previous holder may still take effect at this target.
    if (!target->checks_fencing && now < previous_holder_done) continue;
    if (ReadsWeights(order->kind) && now < next_load_) {
      soonest = std::min(soonest, next_load_);
      continue;
    }
    order->fencing = lease.fencing;
    cursor_ = at + 1;
    if (ReadsWeights(order->kind)) next_load_ = now + load_interval;
    return {.kind = PoolActionKind::kSendOrder,
            .target = target->id,
            .order = *std::move(order)};
  }
  return {.wait = soonest - now};
}

void PoolOrderScheduler::OnTargetState(
    const TargetId& target, const std::optional<TargetEngineState>& state,
    absl::Time now) {
  Progress& progress = progress_[target];
  progress.state = state;
  const bool busy = progress.sent && now < progress.effect_deadline;
  progress.next_read =
      now + (busy ? options_.busy_read_interval : options_.idle_read_interval);
}

void PoolOrderScheduler::OnOrderResult(const TargetId& target,
                                       const TargetOrder& order, bool accepted,
                                       bool fencing_old, absl::Time now) {
  if (fencing_old) superseded_ = true;
  Progress& progress = progress_[target];
  progress.sent = order;
  // An order that was not accepted is sent again once it can no longer be in
  // flight.
  progress.effect_deadline =
      now + (accepted ? options_.effect_timeout : options_.order_timeout);
  progress.next_read = now + options_.busy_read_interval;
}

bool PoolOrderScheduler::Converged(
    const PoolPlan& plan, const std::vector<const Target*>& targets) const {
  return std::all_of(targets.begin(), targets.end(), [&](const Target* target) {
    const auto it = progress_.find(target->id);
    return it != progress_.end() && it->second.state &&
           !NextOrder(plan, *it->second.state);
  });
}

}  // namespace wisteriareel
