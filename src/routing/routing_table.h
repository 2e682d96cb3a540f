#ifndef WISTERIAREEL_SRC_ROUTING_ROUTING_TABLE_H_
#define WISTERIAREEL_SRC_ROUTING_ROUTING_TABLE_H_

#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/routing/target_state.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A target that this instance may send to.
struct RoutedTarget {
  TargetId id;
  Endpoint endpoint;
  ZoneId zone;
  // In this instance's availability zone.
  bool local = false;
  // Gets no new work.
  bool leaving = false;
  std::shared_ptr<TargetState> state;
};

// The targets of one pool.
struct PoolRoutes {
  PoolKind kind = PoolKind::kModel;
  int max_in_flight_per_target = 1;
  // Targets of the whole pool that may get new work, watched or not.
  int available = 0;
  // In order of id.
  std::vector<RoutedTarget> targets;
};

// Where requests may be sent, at one revision of the configuration. Published
// by read-copy-update; immutable but for the targets' shared states.
struct RoutingTable {
  Revision revision;
  absl::flat_hash_map<PoolId, PoolRoutes> pools;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_ROUTING_TABLE_H_
