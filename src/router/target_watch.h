#ifndef WISTERIAREEL_SRC_ROUTER_TARGET_WATCH_H_
#define WISTERIAREEL_SRC_ROUTER_TARGET_WATCH_H_

#include <functional>

#include "absl/time/time.h"
#include "src/forward/target_pool.h"
#include "src/router/deployment_source.h"
#include "src/router/scheduler.h"
#include "wisteriareel/event_log.h"

namespace wisteriareel {

struct TargetWatchOptions {
  // Time between two listings. Targets change their entries with every
  // heartbeat, so a listing costs less than following all changes; a leaving
  // target is seen within this time and one answer.
  absl::Duration interval = absl::Milliseconds(700);
  absl::Duration retry = absl::Milliseconds(300);
};

// Lists the targets again and again. Not thread-safe.
class TargetWatch {
 public:
  // The pointers outlive the watch. `left` runs for each target that is gone
  // or has started anew.
  TargetWatch(const TargetWatchOptions& options, DeploymentSource* source,
              TargetPool* pool, Scheduler* scheduler, EventLog* log,
              std::function<void(const TargetId&)> left);

  void Start() { List(); }

  // Returns true if the source answered its last question.
  bool source_answers() const { return source_answers_; }

 private:
  void List();
  void Log(const TargetChange& change);

  const TargetWatchOptions options_;
  DeploymentSource* const source_;
  TargetPool* const pool_;
  Scheduler* const scheduler_;
  EventLog* const log_;
  const std::function<void(const TargetId&)> left_;
  bool source_answers_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_TARGET_WATCH_H_
