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

// Returns whether `self` is among the `watchers` instances that rank highest
// for the target.
bool WatchesNear(const std::vector<std::uint64_t>& others, std::uint64_t self,
                 std::uint64_t target, std::size_t watchers) {
  const std::uint64_t own = PairRank(target, self);
  std::size_t higher = 0;
  for (const std::uint64_t other : others) {
    if (PairRank(target, other) > own) ++higher;
  }
  return higher < watchers;
}

std::vector<const Target*> WatchedNear(const RoutingScope& scope,
                                       std::vector<const Target*> near) {
  if (near.size() <= scope.max_zone_targets) return near;
  const std::uint64_t self = HashId(scope.instance.value());
  std::vector<std::uint64_t> others;
  for (const InstanceId& instance : scope.zone_instances) {
    if (instance != scope.instance) others.push_back(HashId(instance.value()));
  }
  const std::size_t shares = scope.max_zone_targets * (others.size() + 1);
  const std::size_t watchers = (shares + near.size() - 1) / near.size();
  std::vector<const Target*> watched;
  for (const Target* target : near) {
    if (WatchesNear(others, self, HashId(target->id.value()), watchers)) {
      watched.push_back(target);
    }
  }
  return watched;
}

std::vector<const Target*> WatchedFar(const RoutingScope& scope,
                                      const std::vector<const Target*>& far) {
  if (far.size() <= scope.max_other_zone_targets) return far;
  const std::uint64_t self = HashId(scope.instance.value());
  std::vector<Ranked> ranked;
  ranked.reserve(far.size());
  for (const Target* target : far) {
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

// Weight of the newest attempt in the mean, as a divisor.
constexpr std::int64_t kMeanWeightDivisor = 16;

}  // namespace

// Attempts that end together may overwrite each other's share of the mean.
void PoolState::RecordAttempt(absl::Duration took) {
  const std::int64_t nanos = absl::ToInt64Nanoseconds(took);
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
  std::vector<const Target*> near;
  std::vector<const Target*> far;
  for (const Target* target : pool) {
    (target->zone == scope.zone ? near : far).push_back(target);
  }
  std::vector<const Target*> watched = WatchedNear(scope, std::move(near));
  const std::vector<const Target*> beyond = WatchedFar(scope, far);
  watched.insert(watched.end(), beyond.begin(), beyond.end());
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
