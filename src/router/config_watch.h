#ifndef WISTERIAREEL_SRC_ROUTER_CONFIG_WATCH_H_
#define WISTERIAREEL_SRC_ROUTER_CONFIG_WATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "src/forward/request_router.h"
#include "src/router/deployment_source.h"
#include "src/router/scheduler.h"
#include "wisteriareel/event_log.h"

namespace wisteriareel {

struct ConfigWatchOptions {
  // Longest wait of one question for changes. The configuration counts as
  // confirmed with each answer, so it stays well below the bound on roll-out.
  absl::Duration poll_wait = absl::Milliseconds(1500);
  // Pause after a failure.
  absl::Duration retry = absl::Milliseconds(250);
};

// Keeps the configuration in force up to date: reads it whole, then follows
// its changes, and reads it whole again when the history is lost. Not
// thread-safe.
class ConfigWatch {
 public:
  // The pointers outlive the watch. `applied` runs after a new version is in
  // force.
  ConfigWatch(const ConfigWatchOptions& options, DeploymentSource* source,
              RequestRouter* router, Scheduler* scheduler, EventLog* log,
              std::function<void()> applied);

  void Start();

  // Takes a copy that another instance has. Returns true if it was newer.
  bool Offer(const std::string& text);

  // Returns true if the source answered its last question.
  bool source_answers() const { return source_answers_; }

  // Returns the text of the configuration in force, or null.
  const std::shared_ptr<const std::string>& text() const { return text_; }

 private:
  void ReadSnapshot();
  void PollChanges();
  void Apply(const ConfigCopy& copy, std::string_view origin);
  void NoteAnswer(bool answered);

  const ConfigWatchOptions options_;
  DeploymentSource* const source_;
  RequestRouter* const router_;
  Scheduler* const scheduler_;
  EventLog* const log_;
  const std::function<void()> applied_;
  std::uint64_t position_ = 0;
  bool source_answers_ = false;
  std::shared_ptr<const std::string> text_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_CONFIG_WATCH_H_
