#include "src/routing/routing_table.h"

#include <algorithm>
#include <utility>

#include "src/base/content_hash.h"
#include "src/routing/pair_rank.h"

namespace wisteriareel {
namespace {

struct Ranked {
  std::uint64_t rank = 0;
  const Target* target = nullptr;
};

// Returns true if `self` is among the `watchers` instances with the highest
// rank for the target.
bool IsWatcher(const std::vector<std::uint64_t>& others, std::uint64_t self,
               std::uint64_t target, std::size_t watchers) {
  const std::uint64_t own = PairRank(target, self);
  std::size_t higher = 0;
  for (const std::uint64_t other : others) {
    if (PairRank(target, other) > own) ++higher;
  }
  return higher < watchers;
}

std::vector<const Target*> WatchedInZone(const RoutingScope& scope,
                                         std::vector<const Target*> in_zone) {
  if (in_zone.size() <= scope.max_zone_targets) return in_zone;
  const std::uint64_t self = HashId(scope.instance.value());
  std::vector<std::uint64_t> others;
  for (const InstanceId& instance : scope.zone_instances) {
    if (instance != scope.instance) others.push_back(HashId(instance.value()));
  }
  const std::size_t shares = scope.max_zone_targets * (others.size() + 1);
  const std::size_t watchers = (shares + in_zone.size() - 1) / in_zone.size();
  std::vector<const Target*> watched;
  for (const Target* target : in_zone) {
    if (IsWatcher(others, self, HashId(target->id.value()), watchers)) {
      watched.push_back(target);
    }
  }
  return watched;
}

std::vector<const Target*> WatchedInOtherZones(
    const RoutingScope& scope, const std::vector<const Target*>& other_zones) {
  if (other_zones.size() <= scope.max_other_zone_targets) return other_zones;
  const std::uint64_t self = HashId(scope.instance.value());
  std::vector<Ranked> ranked;
  ranked.reserve(other_zones.size());
  for (const Target* target : other_zones) {
    ranked.push_back({PairRank(self, HashId(target->id.value())), target});
  }
  const auto end = ranked.begin() +
                   static_cast<std::ptrdiff_t>(scope.max_other_zone_targets);
  std::partial_sort(
      ranked.begin(), end, ranked.end(),
      [](const Ranked& a, const Ranked& b) { return a.rank > b.rank; });
  std::vector<const Target*> watched;
  for (auto it = ranked.begin(); it != end; ++it) watched.push_back(it->target);
  return watched;
}

// The newest attempt contributes 1/kMeanWeightDivisor to the mean.
constexpr std::int64_t kMeanWeightDivisor = 16;

}  // namespace

// Attempts that end concurrently may overwrite each other's contribution.
void PoolState::RecordAttempt(absl::Duration duration) {
  const std::int64_t nanos = absl::ToInt64Nanoseconds(duration);
  const std::int64_t mean =
      mean_duration_nanos_.load(std::memory_order_relaxed);
  const std::int64_t next =
      mean == 0 ? nanos : mean + (nanos - mean) / kMeanWeightDivisor;
  mean_duration_nanos_.store(next, std::memory_order_relaxed);
}

absl::Duration PoolState::MeanAttemptDuration() const {
  return absl::Nanoseconds(
      mean_duration_nanos_.load(std::memory_order_relaxed));
}

std::vector<const Target*> WatchedTargets(
    const RoutingScope& scope, const std::vector<const Target*>& pool) {
  std::vector<const Target*> in_zone;
  std::vector<const Target*> other_zones;
  for (const Target* target : pool) {
    (target->zone == scope.zone ? in_zone : other_zones).push_back(target);
  }
  std::vector<const Target*> watched = WatchedInZone(scope, std::move(in_zone));
  const std::vector<const Target*> other_watched =
      WatchedInOtherZones(scope, other_zones);
  watched.insert(watched.end(), other_watched.begin(), other_watched.end());
  std::sort(watched.begin(), watched.end(),
            [](const Target* a, const Target* b) { return a->id < b->id; });
  return watched;
}

std::uint64_t HashId(const std::string& id) {
  return ContentHash().Add(id).value();
}

Distance DistanceOf(const RoutingScope& scope, const Target& target) {
  if (target.zone == scope.zone) return Distance::kZone;
  return target.region == scope.region ? Distance::kRegion
                                       : Distance::kOtherRegion;
}

}  // namespace wisteriareel
