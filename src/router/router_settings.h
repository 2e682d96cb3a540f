#ifndef WISTERIAREEL_SRC_ROUTER_ROUTER_SETTINGS_H_
#define WISTERIAREEL_SRC_ROUTER_ROUTER_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "src/settings/settings_problem.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/types.h"

// Settings of a router: immutable values read from JSON with comments.
// docs/SETTINGS.md describes each field.
namespace wisteriareel {

struct RouterInstanceSettings {
  InstanceId id;
  ZoneId zone;

  friend bool operator==(const RouterInstanceSettings&,
                         const RouterInstanceSettings&) = default;
};

struct RouterListenSettings {
  Endpoint callers;
  // Answers the balancer whether this instance takes connections.
  Endpoint ready;
  // Other instances, and metrics.
  Endpoint peers;

  friend bool operator==(const RouterListenSettings&,
                         const RouterListenSettings&) = default;
};

// Limit on requests that reach a second target, over all instances.
struct RetrySettings {
  double ratio = 0.2;
  double slack = 50;
  absl::Duration window = absl::Seconds(10);

  friend bool operator==(const RetrySettings&, const RetrySettings&) = default;
};

struct RouterSettings {
  RouterInstanceSettings instance;
  RouterListenSettings listen;
  // The platform's table.
  Endpoint table;
  // Instances to ask before any is known otherwise; may be outdated.
  std::vector<Endpoint> seeds;
  RetrySettings repeats;
  // Time between SIGTERM and SIGKILL.
  absl::Duration shutdown_grace = absl::Seconds(8);
  // What the instance's link carries in each direction; 0 if not known.
  double link_mbps = 0;
  Severity log_least = Severity::kInfo;

  friend bool operator==(const RouterSettings&,
                         const RouterSettings&) = default;
};

// Reads settings from the text of a file. Returns nullopt and all that is
// wrong in `problems`.
std::optional<RouterSettings> ParseRouterSettings(
    std::string_view text, std::vector<SettingsProblem>* problems);

// Like ParseRouterSettings, from the file at `path`.
std::optional<RouterSettings> LoadRouterSettings(
    const std::string& path, std::vector<SettingsProblem>* problems);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_ROUTER_SETTINGS_H_
