#ifndef WISTERIAREEL_SRC_ROUTING_ROUTING_TABLE_H_
#define WISTERIAREEL_SRC_ROUTING_ROUTING_TABLE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/routing/prefix_hints.h"
#include "src/routing/target_state.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Location of a target relative to this instance.
enum class Distance : std::uint8_t { kZone = 0, kRegion = 1, kOtherRegion = 2 };

// A target that this instance may send to.
struct RoutedTarget {
  TargetId id;
  Endpoint endpoint;
  ZoneId zone;
  Distance distance = Distance::kZone;
  // Stable hash of the id.
  std::uint64_t hash = 0;
  // The target gets no new requests.
  bool leaving = false;
  std::shared_ptr<TargetState> state;
};

// Statistics of this instance on a pool, shared by successive routing tables.
// Thread-safe.
class PoolState {
 public:
  explicit PoolState(const PrefixHintsOptions& options) : hints(options) {}

  // Adds the duration of an ended attempt to the mean.
  void RecordAttempt(absl::Duration duration);

  // Returns the smoothed duration of an attempt, or zero before the first.
  absl::Duration MeanAttemptDuration() const;

  PrefixHints hints;

 private:
  std::atomic<std::int64_t> mean_duration_nanos_ = 0;
};

// Targets of one pool.
struct PoolRoutes {
  PoolKind kind = PoolKind::kModel;
  int max_in_flight_per_target = 1;
  // Number of targets in the pool that may get new requests, including those
  // that this instance does not watch.
  int available = 0;
  // Targets that this instance watches, sorted by id.
  std::vector<RoutedTarget> targets;
  std::shared_ptr<PoolState> state;
};

// Targets of all pools at one revision of the configuration. Published by
// read-copy-update; immutable except for the shared states and hints.
struct RoutingTable {
  Revision revision;
  // Hash of the instances of the zone, which share its targets.
  std::uint64_t zone_instances_hash = 0;
  absl::flat_hash_map<PoolId, PoolRoutes> pools;
};

// Instance that a table is built for, and limits on its targets.
struct RoutingScope {
  InstanceId instance;
  ZoneId zone;
  RegionId region;
  // Live instances of the zone, including this one.
  std::vector<InstanceId> zone_instances;
  // Targets of a pool that one instance watches in its own zone and in all
  // other zones.
  std::size_t max_zone_targets = 64;
  std::size_t max_other_zone_targets = 16;
};

// Returns the targets of `pool` that the instance of `scope` watches. The
// instances of a zone together watch every target of the zone. Of the other
// zones, an instance watches a subset for spillover.
std::vector<const Target*> WatchedTargets(
    const RoutingScope& scope, const std::vector<const Target*>& pool);

// Returns a hash of `id` that is the same in every process.
std::uint64_t HashId(const std::string& id);

Distance DistanceOf(const RoutingScope& scope, const Target& target);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_ROUTING_TABLE_H_
