#ifndef WISTERIAREEL_SRC_ROUTING_FLEET_SELECTOR_H_
#define WISTERIAREEL_SRC_ROUTING_FLEET_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/routing/routing_table.h"
#include "src/routing/target_choice.h"
#include "src/routing/target_selector.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/published.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/target_signals.h"

namespace wisteriareel {

// Options of a FleetSelector. Pointers are not owned and must outlive the
// selector; `membership` may be null.
struct FleetSelectorOptions {
  InstanceId instance;
  ZoneId zone;
  RegionId region;
  const ConfigView* config = nullptr;
  const MembershipView* membership = nullptr;
  Clock* clock = SystemClock();
  RandomSource* random = nullptr;
  EventLog* events = DiscardEvents();
  TargetChoiceOptions choice;
  TargetStateOptions state;
  PrefixHintsOptions hints;
  // Targets of a pool that one instance watches in its own zone and in all
  // other zones.
  std::size_t max_zone_targets = 64;
  std::size_t max_other_zone_targets = 16;
  // Share of a pool's targets that may be ejected as outliers at a time.
  double max_ejected_share = 0.5;
  // Max time between two counts of a pool's available targets.
  absl::Duration count_interval = absl::Seconds(2);
};

// Selects among the targets of the configuration. Rebuilds its routing table
// when the configuration or the instances of the zone change. Thread-safe.
class FleetSelector final : public TargetSelector, public TargetSignals {
 public:
  explicit FleetSelector(const FleetSelectorOptions& options);

  std::optional<PickedTarget> Pick(const TargetQuery& query, absl::Time now,
                                   LastReason* reason) override;
  std::optional<PickedTarget> PickById(const PoolId& pool,
                                       const TargetId& target) override;
  void FinishAttempt(const PoolId& pool, const AttemptReport& report,
                     absl::Time now) override;
  int CountAvailable(const PoolId& pool) const override;

  void OnLoadReport(const TargetLoadReport& report) override;
  void OnCacheEvent(const CacheEvent& event, absl::Time now) override;

  // Updates the routing table. Must be called every kRefreshInterval.
  void Refresh();

  static constexpr absl::Duration kRefreshInterval = absl::Milliseconds(250);

 private:
  // State of a target that this instance watches or has watched.
  struct KnownTarget {
    PoolId pool;
    std::shared_ptr<TargetState> state;
    std::uint64_t last_cache_event = 0;
  };

  std::shared_ptr<const RoutingTable> Current();
  void Rebuild(const ConfigSnapshot& config, const RoutingScope& scope);
  bool WatchedTargetsChanged(const RoutingTable& table,
                             const ConfigSnapshot& config) const;
  PoolRoutes BuildPool(const ConfigSnapshot& config, const RoutingScope& scope,
                       const Pool& pool, const PoolRoutes* previous);
  RoutedTarget BuildTarget(const RoutingScope& scope, const Target& target);
  RoutingScope Scope() const;
  bool IsLeaving(const Target& target) const;
  bool IsLeavingNow(const TargetId& target) const;

  // Targets that are not eligible for a request.
  struct Exclusions {
    // Targets that the request avoids.
    std::vector<TargetId> avoided;
    // Targets that started to leave after the table was built.
    std::vector<TargetId> leaving;
    // Excludes ejected targets.
    bool ejected = true;
  };

  static std::vector<Candidate> Eligible(const PoolRoutes& routes,
                                         const Exclusions& exclusions,
                                         absl::Time now);
  const RoutedTarget* Choose(const PoolRoutes& routes, const TargetQuery& query,
                             const std::vector<TargetId>& leaving,
                             absl::Time now) const;
  void EjectOutlier(const PoolRoutes& routes, const RoutedTarget& outlier,
                    absl::Time now);

  const FleetSelectorOptions options_;
  Published<RoutingTable> table_;
  // Guards rebuilds of the table and `known_targets_`.
  std::mutex mutex_;
  absl::flat_hash_map<TargetId, KnownTarget> known_targets_;
  bool built_ = false;
  absl::Time last_count_ = absl::InfinitePast();
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_FLEET_SELECTOR_H_
