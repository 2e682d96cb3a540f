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

// How far a target is from this instance.
enum class Distance : std::uint8_t { kZone = 0, kRegion = 1, kOtherRegion = 2 };

// A target that this instance may send to.
struct RoutedTarget {
  TargetId id;
  Endpoint endpoint;
  ZoneId zone;
  Distance distance = Distance::kZone;
  // Stable hash of the id.
  std::uint64_t hash = 0;
  // Gets no new work.
  bool leaving = false;
  std::shared_ptr<TargetState> state;
};

// What this instance has learned of a pool; outlives its tables. Thread-safe.
class PoolState {
 public:
  explicit PoolState(const PrefixHintsOptions& options) : hints(options) {}

  // Takes the time of an ended attempt into the mean.
  void RecordAttempt(absl::Duration duration);

  // Returns the smoothed time of an attempt; zero before the first.
  absl::Duration MeanAttemptDuration() const;

  PrefixHints hints;

 private:
  std::atomic<std::int64_t> mean_duration_nanos_ = 0;
};

// The targets of one pool.
struct PoolRoutes {
  PoolKind kind = PoolKind::kModel;
  int max_in_flight_per_target = 1;
  // Targets of the whole pool that may get new work, watched or not.
  int available = 0;
  // Those that this instance watches, in order of id.
  std::vector<RoutedTarget> targets;
  std::shared_ptr<PoolState> state;
};

// Where requests may be sent, at one revision of the configuration. Published
// by read-copy-update; immutable but for the shared states and hints.
struct RoutingTable {
  Revision revision;
  // Hash of the instances that share the zone's targets.
  std::uint64_t zone_instances_hash = 0;
  absl::flat_hash_map<PoolId, PoolRoutes> pools;
};

// Who builds a table, and for how many targets.
struct RoutingScope {
  InstanceId instance;
  ZoneId zone;
  RegionId region;
  // Live instances of the zone, this one included.
  std::vector<InstanceId> zone_instances;
  // Targets of a pool that one instance watches in its own zone, and beyond.
  std::size_t max_zone_targets = 64;
  std::size_t max_other_zone_targets = 16;
};

// Returns the targets of `pool` that the instance of `scope` watches. In its
// own zone every target is watched by somebody; beyond, a share of them is
// enough to spill to.
std::vector<const Target*> WatchedTargets(
    const RoutingScope& scope, const std::vector<const Target*>& pool);

// Returns the stable hash of an identifier.
std::uint64_t HashId(const std::string& id);

Distance DistanceOf(const RoutingScope& scope, const Target& target);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_ROUTING_TABLE_H_
