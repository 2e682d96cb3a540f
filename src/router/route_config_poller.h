#ifndef WISTERIAREEL_SRC_ROUTER_ROUTE_CONFIG_POLLER_H_
#define WISTERIAREEL_SRC_ROUTER_ROUTE_CONFIG_POLLER_H_

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

struct RouteConfigPollerOptions {
  // Longest wait of one poll. Each response confirms the configuration, so
  // this stays well below the limit on the roll-out time.
  absl::Duration poll_wait = absl::Milliseconds(1500);
  // Delay before the next attempt after a failure.
  absl::Duration retry_delay = absl::Milliseconds(250);
};

// Keeps the active configuration up to date: reads all of it, then polls for
// changes, and reads all of it again when the change history is lost. Not
// thread-safe.
class RouteConfigPoller {
 public:
  // The pointers must outlive the poller. `applied` runs each time a new
  // version becomes active.
  RouteConfigPoller(const RouteConfigPollerOptions& options,
                    DeploymentSource* source, RequestRouter* router,
                    Scheduler* scheduler, EventLog* log,
                    std::function<void()> applied);

  void Start();

  // Applies a configuration that another instance sent, if it is newer than
  // the active one. Returns true if it was newer.
  bool ApplyPeerConfig(const std::string& text);

  // Returns true if the last call to the source succeeded.
  bool source_available() const { return source_available_; }

  // Returns the text of the active configuration, or null if there is none.
  const std::shared_ptr<const std::string>& text() const { return text_; }

 private:
  void ReadSnapshot();
  void PollChanges();
  void Apply(const ParsedConfig& parsed, std::string_view origin);
  void SetSourceAvailable(bool available);

  const RouteConfigPollerOptions options_;
  DeploymentSource* const source_;
  RequestRouter* const router_;
  Scheduler* const scheduler_;
  EventLog* const log_;
  const std::function<void()> applied_;
  TableVersion position_;
  bool source_available_ = false;
  std::shared_ptr<const std::string> text_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_ROUTE_CONFIG_POLLER_H_
