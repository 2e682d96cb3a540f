#include "src/routing/fleet_selector.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

// Max number of targets chosen for one Pick, because a chosen target may be
// leaving.
constexpr int kMaxPickAttempts = 4;

const RoutedTarget* FindTarget(const PoolRoutes& routes, const TargetId& id) {
  const auto it = std::lower_bound(
      routes.targets.begin(), routes.targets.end(), id,
      [](const RoutedTarget& a, const TargetId& b) { return a.id < b; });
  if (it == routes.targets.end() || it->id != id) return nullptr;
  return &*it;
}

const PoolRoutes* FindRoutes(const RoutingTable& table, const PoolId& pool) {
  const auto it = table.pools.find(pool);
  return it == table.pools.end() ? nullptr : &it->second;
}

bool Contains(const std::vector<TargetId>& ids, const TargetId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool IsFull(const PoolRoutes& routes, const RoutedTarget& target) {
  return target.state->in_flight() >= routes.max_in_flight_per_target;
}

Reason UnavailableReason(const PoolRoutes& routes) {
  for (const RoutedTarget& target : routes.targets) {
    if (!target.leaving && IsFull(routes, target))
      return Reason::kPoolSaturated;
  }
  return Reason::kNoTargetAvailable;
}

PickedTarget BeginAttempt(const RoutedTarget& target, absl::Time now) {
  target.state->Begin(now);
  return {.id = target.id, .endpoint = target.endpoint, .zone = target.zone};
}

}  // namespace

FleetSelector::FleetSelector(const FleetSelectorOptions& options)
    : options_(options) {
  Refresh();
}

std::optional<PickedTarget> FleetSelector::Pick(const TargetQuery& query,
                                                absl::Time now,
                                                LastReason* reason) {
  const std::shared_ptr<const RoutingTable> table = Current();
  const PoolRoutes* routes = FindRoutes(*table, query.pool);
  if (routes == nullptr) {
    reason->Set(Reason::kNoTargetAvailable, query.pool.value());
    return std::nullopt;
  }
  std::vector<TargetId> leaving;
  for (int i = 0; i < kMaxPickAttempts; ++i) {
    const RoutedTarget* chosen = Choose(*routes, query, leaving, now);
    if (chosen == nullptr) break;
    if (IsLeavingNow(chosen->id)) {
      leaving.push_back(chosen->id);
      continue;
    }
    if (query.prefix_hash != 0) {
      routes->state->hints.Add(query.prefix_hash, chosen->id, now);
    }
    return BeginAttempt(*chosen, now);
  }
  reason->Set(UnavailableReason(*routes), query.pool.value());
  return std::nullopt;
}

// Prefers targets that the request does not avoid, then targets that are not
// ejected. Otherwise chooses any target that is not leaving.
const RoutedTarget* FleetSelector::Choose(const PoolRoutes& routes,
                                          const TargetQuery& query,
                                          const std::vector<TargetId>& leaving,
                                          absl::Time now) const {
  Exclusions exclusions{.avoided = query.avoided, .leaving = leaving};
  std::vector<Candidate> candidates = Eligible(routes, exclusions, now);
  if (candidates.empty()) {
    exclusions.avoided.clear();
    candidates = Eligible(routes, exclusions, now);
  }
  if (candidates.empty()) {
    exclusions.ejected = false;
    candidates = Eligible(routes, exclusions, now);
  }
  if (candidates.empty()) return nullptr;
  EstimateLoads(&candidates, routes.state->MeanAttemptDuration(), now);
  const std::vector<Candidate> nearest = NearestUnsaturated(
      options_.choice, candidates, routes.max_in_flight_per_target);
  const bool by_prefix =
      routes.kind == PoolKind::kModel && query.prefix_hash != 0;
  if (!by_prefix) return LessLoadedOfTwo(nearest, options_.random).target;
  return ChooseByPrefix(options_.choice, nearest,
                        routes.max_in_flight_per_target, query.prefix_hash,
                        routes.state->hints.Find(query.prefix_hash, now))
      .target;
}

std::vector<Candidate> FleetSelector::Eligible(const PoolRoutes& routes,
                                               const Exclusions& exclusions,
                                               absl::Time now) {
  std::vector<Candidate> eligible;
  eligible.reserve(routes.targets.size());
  for (const RoutedTarget& target : routes.targets) {
    if (target.leaving || IsFull(routes, target)) continue;
    if (exclusions.ejected && target.state->IsEjected(now)) continue;
    if (Contains(exclusions.avoided, target.id)) continue;
    if (Contains(exclusions.leaving, target.id)) continue;
    eligible.push_back({.target = &target});
  }
  return eligible;
}

std::optional<PickedTarget> FleetSelector::PickById(const PoolId& pool,
                                                    const TargetId& target) {
  const std::shared_ptr<const RoutingTable> table = Current();
  const PoolRoutes* routes = FindRoutes(*table, pool);
  if (routes == nullptr) return std::nullopt;
  const RoutedTarget* found = FindTarget(*routes, target);
  if (found == nullptr) return std::nullopt;
  return BeginAttempt(*found, options_.clock->Now());
}

void FleetSelector::FinishAttempt(const PoolId& pool,
                                  const AttemptReport& report, absl::Time now) {
  const std::shared_ptr<const RoutingTable> table = table_.Load();
  const PoolRoutes* routes = FindRoutes(*table, pool);
  const RoutedTarget* target =
      routes == nullptr ? nullptr : FindTarget(*routes, report.target);
  if (target != nullptr) {
    routes->state->RecordAttempt(report.duration);
    const bool outlier = target->state->End(report.failed, now);
    if (outlier) EjectOutlier(*routes, *target, now);
    return;
  }
  // The target was removed from the table during the attempt.
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = known_targets_.find(report.target);
  if (it != known_targets_.end()) it->second.state->End(report.failed, now);
}

void FleetSelector::EjectOutlier(const PoolRoutes& routes,
                                 const RoutedTarget& outlier, absl::Time now) {
  // Serializes ejections, so that concurrent ones cannot exceed the limit.
  std::lock_guard<std::mutex> lock(mutex_);
  if (outlier.state->IsEjected(now)) return;
  int usable = 0;
  int ejected = 0;
  for (const RoutedTarget& target : routes.targets) {
    if (target.leaving || IsLeavingNow(target.id)) continue;
    ++usable;
    if (target.state->IsEjected(now)) ++ejected;
  }
  if (ejected + 1 > usable * options_.max_ejected_share) return;
  const absl::Time until = outlier.state->Eject(now);
  options_.events->Write(
      EventId::kTargetEjected, Severity::kWarning,
      "a target failed repeatedly; sending it no new requests for a while",
      {{"target", outlier.id.value()},
       {"seconds", absl::StrCat(absl::ToInt64Seconds(until - now))}});
}

int FleetSelector::CountAvailable(const PoolId& pool) const {
  const std::shared_ptr<const RoutingTable> table = table_.Load();
  const PoolRoutes* routes = FindRoutes(*table, pool);
  return routes == nullptr ? 0 : routes->available;
}

void FleetSelector::OnLoadReport(const TargetLoadReport& report) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = known_targets_.find(report.target);
  if (it == known_targets_.end()) return;
  it->second.state->OnReport(report.requests, report.measured);
}

// After a gap in the sequence numbers, any prefix may have been evicted without
// notice.
void FleetSelector::OnCacheEvent(const CacheEvent& event, absl::Time now) {
  const std::shared_ptr<const RoutingTable> table = table_.Load();
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = known_targets_.find(event.target);
  if (it == known_targets_.end()) return;
  KnownTarget& known = it->second;
  const PoolRoutes* routes = FindRoutes(*table, known.pool);
  if (routes == nullptr || event.sequence <= known.last_cache_event) return;
  const bool gap = event.sequence > known.last_cache_event + 1;
  if (gap && known.last_cache_event != 0) {
    routes->state->hints.Invalidate(event.target, now);
  }
  known.last_cache_event = event.sequence;
  if (!event.stored) {
    routes->state->hints.Remove(event.prefix_hash, event.target);
    return;
  }
  routes->state->hints.Add(event.prefix_hash, event.target, now);
}

}  // namespace wisteriareel
