#include <algorithm>
#include <utility>
#include <variant>

#include "src/base/content_hash.h"
#include "src/routing/fleet_selector.h"

namespace wisteriareel {
namespace {

std::uint64_t HashOfSharers(const RoutingScope& scope) {
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
  const bool due = options_.clock->Now() >= counted_ + options_.count_interval;
  const bool stale = !built_ || due || table->revision != config->revision() ||
                     table->sharers != HashOfSharers(scope);
  if (!stale && !WatchedChanged(*table, *config)) return;
  Rebuild(*config, scope);
}

// Only the watched targets are looked at between two rebuilds.
bool FleetSelector::WatchedChanged(const RoutingTable& table,
                                   const ConfigSnapshot& config) const {
  for (const auto& [pool, routes] : table.pools) {
    for (const RoutedTarget& routed : routes.targets) {
      const Target* target = config.FindTarget(routed.id);
      if (target != nullptr && Leaving(*target) != routed.leaving) return true;
    }
  }
  return false;
}

void FleetSelector::Rebuild(const ConfigSnapshot& config,
                            const RoutingScope& scope) {
  const std::shared_ptr<const RoutingTable> previous = table_.Load();
  auto table = std::make_shared<RoutingTable>();
  table->revision = config.revision();
  table->sharers = HashOfSharers(scope);
  config.Visit(ConfigKind::kPool, "", [&](const ConfigValue& value) {
    const Pool& pool = std::get<Pool>(value);
    const auto it = previous->pools.find(pool.id);
    const PoolRoutes* routes =
        it == previous->pools.end() ? nullptr : &it->second;
    table->pools.emplace(pool.id, BuildPool(config, scope, pool, routes));
    return true;
  });
  // Forgets targets that are gone and idle.
  absl::erase_if(known_, [&](const auto& entry) {
    const bool gone = config.FindTarget(entry.first) == nullptr;
    return gone && entry.second.state->in_flight() == 0;
  });
  table_.Store(std::move(table));
  built_ = true;
  counted_ = options_.clock->Now();
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
    if (!Leaving(*target)) ++routes.available;
  }
  for (const Target* target : WatchedTargets(scope, targets)) {
    routes.targets.push_back(BuildTarget(scope, *target));
  }
  return routes;
}

RoutedTarget FleetSelector::BuildTarget(const RoutingScope& scope,
                                        const Target& target) {
  Known& known = known_[target.id];
  if (known.state == nullptr) {
    // Targets known from the start are warm as far as one can tell.
    const absl::Time started =
        built_ ? options_.clock->Now() : absl::InfinitePast();
    known.pool = target.pool;
    known.state = std::make_shared<TargetState>(options_.state, started);
  }
  return {.id = target.id,
          .endpoint = target.endpoint,
          .zone = target.zone,
          .distance = DistanceOf(scope, target),
          .hash = HashOfId(target.id.value()),
          .leaving = Leaving(target),
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
                     .max_near = options_.max_near_targets,
                     .max_far = options_.max_far_targets};
  if (options_.membership == nullptr) return scope;
  for (const Member& member : options_.membership->ZoneMembers()) {
    if (member.state != MemberState::kAlive) continue;
    scope.zone_instances.push_back(member.id);
  }
  std::sort(scope.zone_instances.begin(), scope.zone_instances.end());
  return scope;
}

bool FleetSelector::Leaving(const Target& target) const {
  return target.draining || LeavingNow(target.id);
}

bool FleetSelector::LeavingNow(const TargetId& target) const {
  return options_.membership != nullptr &&
         options_.membership->IsTargetLeaving(target);
}

}  // namespace wisteriareel
