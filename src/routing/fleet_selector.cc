#include "src/routing/fleet_selector.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace wisteriareel {
namespace {

const RoutedTarget* FindTarget(const PoolRoutes& routes, const TargetId& id) {
  const auto it = std::lower_bound(
      routes.targets.begin(), routes.targets.end(), id,
      [](const RoutedTarget& a, const TargetId& b) { return a.id < b; });
  if (it == routes.targets.end() || it->id != id) return nullptr;
  return &*it;
}

bool Contains(const std::vector<TargetId>& ids, const TargetId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

PickedTarget Picked(const RoutedTarget& target) {
  target.state->Begin();
  return {.id = target.id, .endpoint = target.endpoint, .zone = target.zone};
}

}  // namespace

FleetSelector::FleetSelector(const FleetSelectorOptions& options)
    : options_(options) {
  Refresh();
}

std::optional<PickedTarget> FleetSelector::Pick(const PickQuery& query,
                                                absl::Time /*now*/,
                                                LastReason* reason) {
  const std::shared_ptr<const RoutingTable> table = Current();
  const auto it = table->pools.find(query.pool);
  const RoutedTarget* best = nullptr;
  if (it != table->pools.end()) {
    for (const bool avoid : {true, false}) {
      for (const RoutedTarget& target : it->second.targets) {
        if (target.leaving) continue;
        if (avoid && Contains(query.avoided, target.id)) continue;
        if (best != nullptr &&
            best->state->in_flight() <= target.state->in_flight()) {
          continue;
        }
        best = &target;
      }
      if (best != nullptr) break;
    }
  }
  if (best == nullptr) {
    reason->Set(Reason::kNoTargetAvailable, query.pool.value());
    return std::nullopt;
  }
  return Picked(*best);
}

std::optional<PickedTarget> FleetSelector::PickSame(const PoolId& pool,
                                                    const TargetId& target) {
  const std::shared_ptr<const RoutingTable> table = Current();
  const auto it = table->pools.find(pool);
  if (it == table->pools.end()) return std::nullopt;
  const RoutedTarget* found = FindTarget(it->second, target);
  if (found == nullptr) return std::nullopt;
  return Picked(*found);
}

void FleetSelector::Finished(const PoolId& /*pool*/,
                             const AttemptReport& report, absl::Time /*now*/) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = states_.find(report.target);
  if (it != states_.end()) it->second->End();
}

int FleetSelector::Available(const PoolId& pool) const {
  const std::shared_ptr<const RoutingTable> table = table_.Load();
  const auto it = table->pools.find(pool);
  return it == table->pools.end() ? 0 : it->second.available;
}

void FleetSelector::Refresh() {
  const std::shared_ptr<const ConfigSnapshot> config =
      options_.config->Current();
  std::lock_guard<std::mutex> lock(mutex_);
  auto table = std::make_shared<RoutingTable>();
  table->revision = config->revision();
  config->Visit(ConfigKind::kPool, "", [&](const ConfigValue& value) {
    const Pool& pool = std::get<Pool>(value);
    table->pools.emplace(pool.id, BuildPool(*config, pool));
    return true;
  });
  table_.Store(std::move(table));
}

std::shared_ptr<const RoutingTable> FleetSelector::Current() {
  if (table_.Load()->revision != options_.config->Current()->revision()) {
    Refresh();
  }
  return table_.Load();
}

std::shared_ptr<TargetState> FleetSelector::StateOf(const TargetId& target) {
  std::shared_ptr<TargetState>& state = states_[target];
  if (state == nullptr) state = std::make_shared<TargetState>();
  return state;
}

PoolRoutes FleetSelector::BuildPool(const ConfigSnapshot& config,
                                    const Pool& pool) {
  PoolRoutes routes{.kind = pool.kind,
                    .max_in_flight_per_target = static_cast<int>(
                        std::max(1u, pool.max_in_flight_per_target))};
  for (const Target* target : config.TargetsOf(pool.id)) {
    const bool leaving = Leaving(*target);
    if (!leaving) ++routes.available;
    routes.targets.push_back(
        RoutedTarget{.id = target->id,
                     .endpoint = target->endpoint,
                     .zone = target->zone,
                     .local = target->zone == options_.zone,
                     .leaving = leaving,
                     .state = StateOf(target->id)});
  }
  return routes;
}

bool FleetSelector::Leaving(const Target& target) const {
  if (target.draining) return true;
  return options_.membership != nullptr &&
         options_.membership->TargetLeaving(target.id);
}

}  // namespace wisteriareel
