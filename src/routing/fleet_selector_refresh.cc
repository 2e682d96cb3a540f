#include <algorithm>
#include <utility>
#include <variant>

#include "src/base/content_hash.h"
#include "src/routing/fleet_selector.h"

namespace wisteriareel {
namespace {

std::uint64_t HashZoneInstances(const RoutingScope& scope) {
  ContentHash hash;
  for (const InstanceId& instance : scope.zone_instances) {
    hash.Add(instance.value());
  }
  return hash.value();
}

}  // namespace

void FleetSelector::Refresh() {
  const std::shared_ptr<const ConfigSnapshot> config =
      options_.config->Current();
  const RoutingScope scope = Scope();
  std::lock_guard<std::mutex> lock(mutex_);
  const std::shared_ptr<const RoutingTable> table = table_.Load();
  const bool due =
      options_.clock->Now() >= last_count_ + options_.count_interval;
  const bool stale = !built_ || due || table->revision != config->revision() ||
                     table->zone_instances_hash != HashZoneInstances(scope);
  if (!stale && !WatchedTargetsChanged(*table, *config)) return;
  Rebuild(*config, scope);
}

// Checks only the watched targets; the others are counted at the next rebuild.
bool FleetSelector::WatchedTargetsChanged(const RoutingTable& table,
                                          const ConfigSnapshot& config) const {
  for (const auto& [pool, routes] : table.pools) {
    for (const RoutedTarget& routed : routes.targets) {
      const Target* target = config.FindTarget(routed.id);
      if (target != nullptr && IsLeaving(*target) != routed.leaving)
        return true;
    }
  }
  return false;
}

void FleetSelector::Rebuild(const ConfigSnapshot& config,
                            const RoutingScope& scope) {
  const std::shared_ptr<const RoutingTable> previous = table_.Load();
  auto table = std::make_shared<RoutingTable>();
  table->revision = config.revision();
  table->zone_instances_hash = HashZoneInstances(scope);
  config.Visit(ConfigKind::kPool, "", [&](const ConfigValue& value) {
    const Pool& pool = std::get<Pool>(value);
    const auto it = previous->pools.find(pool.id);
    const PoolRoutes* routes =
        it == previous->pools.end() ? nullptr : &it->second;
    table->pools.emplace(pool.id, BuildPool(config, scope, pool, routes));
    return true;
  });
  // Removes targets that are no longer configured and have no attempt in
  // flight.
  absl::erase_if(known_targets_, [&](const auto& entry) {
    const bool removed = config.FindTarget(entry.first) == nullptr;
    return removed && entry.second.state->in_flight() == 0;
  });
  table_.Store(std::move(table));
  built_ = true;
  last_count_ = options_.clock->Now();
}

PoolRoutes FleetSelector::BuildPool(const ConfigSnapshot& config,
                                    const RoutingScope& scope, const Pool& pool,
                                    const PoolRoutes* previous) {
  PoolRoutes routes{.kind = pool.kind,
                    .max_in_flight_per_target = static_cast<int>(
                        std::max(1u, pool.max_in_flight_per_target))};
  routes.state = previous != nullptr
                     ? previous->state
                     : std::make_shared<PoolState>(options_.hints);
  const std::vector<const Target*>& targets = config.TargetsOf(pool.id);
  for (const Target* target : targets) {
    if (!IsLeaving(*target)) ++routes.available;
  }
  for (const Target* target : WatchedTargets(scope, targets)) {
    routes.targets.push_back(BuildTarget(scope, *target));
  }
  return routes;
}

RoutedTarget FleetSelector::BuildTarget(const RoutingScope& scope,
                                        const Target& target) {
  KnownTarget& known = known_targets_[target.id];
  if (known.state == nullptr) {
    // Targets of the first table get no slow start, since they were probably
    // in use before this instance started.
    const absl::Time started =
        built_ ? options_.clock->Now() : absl::InfinitePast();
    known.pool = target.pool;
    known.state = std::make_shared<TargetState>(options_.state, started);
  }
  return {.id = target.id,
          .endpoint = target.endpoint,
          .zone = target.zone,
          .distance = DistanceOf(scope, target),
          .hash = HashId(target.id.value()),
          .leaving = IsLeaving(target),
          .state = known.state};
}

std::shared_ptr<const RoutingTable> FleetSelector::Current() {
  std::shared_ptr<const RoutingTable> table = table_.Load();
  if (table->revision == options_.config->Current()->revision()) return table;
  Refresh();
  return table_.Load();
}

RoutingScope FleetSelector::Scope() const {
  RoutingScope scope{.instance = options_.instance,
                     .zone = options_.zone,
                     .region = options_.region,
                     .max_zone_targets = options_.max_zone_targets,
                     .max_other_zone_targets = options_.max_other_zone_targets};
  if (options_.membership == nullptr) return scope;
  for (const Member& member : options_.membership->ZoneMembers()) {
    if (member.state != MemberState::kAlive) continue;
    scope.zone_instances.push_back(member.id);
  }
  std::sort(scope.zone_instances.begin(), scope.zone_instances.end());
  return scope;
}

bool FleetSelector::IsLeaving(const Target& target) const {
  return target.draining || IsLeavingNow(target.id);
}

bool FleetSelector::IsLeavingNow(const TargetId& target) const {
  return options_.membership != nullptr &&
         options_.membership->IsTargetLeaving(target);
}

}  // namespace wisteriareel
