#ifndef WISTERIAREEL_SRC_ROUTING_FLEET_SELECTOR_H_
#define WISTERIAREEL_SRC_ROUTING_FLEET_SELECTOR_H_

#include <memory>
#include <mutex>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/routing/routing_table.h"
#include "src/routing/target_selector.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/published.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {

// Members are not owned and outlive the selector. `membership` may be null.
struct FleetSelectorOptions {
  InstanceId instance;
  ZoneId zone;
  const ConfigView* config = nullptr;
  const MembershipView* membership = nullptr;
  RandomSource* random = nullptr;
};

// Chooses among the targets of the configuration. The table is rebuilt when
// the configuration changes and by Refresh. Thread-safe.
class FleetSelector final : public TargetSelector {
 public:
  explicit FleetSelector(const FleetSelectorOptions& options);

  std::optional<PickedTarget> Pick(const PickQuery& query, absl::Time now,
                                   LastReason* reason) override;
  std::optional<PickedTarget> PickSame(const PoolId& pool,
                                       const TargetId& target) override;
  void Finished(const PoolId& pool, const AttemptReport& report,
                absl::Time now) override;
  int Available(const PoolId& pool) const override;

  // Rebuilds the table; to be called every kRefreshInterval.
  void Refresh();

  static constexpr absl::Duration kRefreshInterval = absl::Milliseconds(250);

 private:
  std::shared_ptr<const RoutingTable> Current();
  std::shared_ptr<TargetState> StateOf(const TargetId& target);
  PoolRoutes BuildPool(const ConfigSnapshot& config, const Pool& pool);
  bool Leaving(const Target& target) const;

  const FleetSelectorOptions options_;
  Published<RoutingTable> table_;
  // Guards rebuilding.
  std::mutex mutex_;
  absl::flat_hash_map<TargetId, std::shared_ptr<TargetState>> states_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_FLEET_SELECTOR_H_
