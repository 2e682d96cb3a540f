#ifndef WISTERIAREEL_SRC_ROUTER_TARGET_LIST_POLLER_H_
#define WISTERIAREEL_SRC_ROUTER_TARGET_LIST_POLLER_H_

#include <functional>

#include "absl/time/time.h"
#include "src/forward/target_pool.h"
#include "src/router/deployment_source.h"
#include "src/router/scheduler.h"
#include "wisteriareel/event_log.h"

namespace wisteriareel {

struct TargetListPollerOptions {
  // Time between two listings. Targets change their entries with every
  // heartbeat, so a listing costs less than polling all changes. A target
  // that leaves is noticed within this time plus the duration of one listing.
  absl::Duration interval = absl::Milliseconds(700);
  // Delay before the next attempt after a failure.
  absl::Duration retry_delay = absl::Milliseconds(300);
};

// Lists the targets periodically and updates the pool. Not thread-safe.
class TargetListPoller {
 public:
  // The pointers must outlive the poller. `removed` runs for each target that
  // is no longer listed or has restarted.
  TargetListPoller(const TargetListPollerOptions& options,
                   DeploymentSource* source, TargetPool* pool,
                   Scheduler* scheduler, EventLog* log,
                   std::function<void(const TargetId&)> removed);

  void Start() { List(); }

  // Returns true if the last call to the source succeeded.
  bool source_available() const { return source_available_; }

 private:
  void List();
  void Log(const TargetChange& change);

  const TargetListPollerOptions options_;
  DeploymentSource* const source_;
  TargetPool* const pool_;
  Scheduler* const scheduler_;
  EventLog* const log_;
  const std::function<void(const TargetId&)> removed_;
  bool source_available_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_TARGET_LIST_POLLER_H_
