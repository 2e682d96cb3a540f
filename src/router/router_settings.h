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

// Settings of a router, read from JSON with comments.
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
  // The balancer's readiness checks.
  Endpoint ready;
  // Requests of other instances, and metrics.
  Endpoint peers;

  friend bool operator==(const RouterListenSettings&,
                         const RouterListenSettings&) = default;
};

// Limit on requests that are sent to a second target, over all instances.
struct RetrySettings {
  double ratio = 0.2;
  double slack = 50;
  absl::Duration window = absl::Seconds(10);

  friend bool operator==(const RetrySettings&, const RetrySettings&) = default;
};

// What the machine gives to the process.
struct RouterMachineSettings {
  double memory_mb = 256;
  // The process's own limit applies if it is lower.
  int max_descriptors = 4096;

  friend bool operator==(const RouterMachineSettings&,
                         const RouterMachineSettings&) = default;
};

struct RouterSettings {
  RouterInstanceSettings instance;
  RouterListenSettings listen;
  // The platform's table.
  Endpoint table;
  // Instances to query before any is known otherwise. May be outdated.
  std::vector<Endpoint> seeds;
  RetrySettings retry;
  // Time between SIGTERM and SIGKILL.
  absl::Duration shutdown_grace = absl::Seconds(8);
  // Capacity of the instance's network link in each direction, in Mbit/s.
  // 0 if unknown.
  double link_mbps = 0;
  RouterMachineSettings machine;
  Severity min_severity = Severity::kInfo;

  friend bool operator==(const RouterSettings&,
                         const RouterSettings&) = default;
};

// Parses the text of a settings file. Returns nullopt and lists all problems
// in `problems` if it is invalid.
std::optional<RouterSettings> ParseRouterSettings(
    std::string_view text, std::vector<SettingsProblem>* problems);

// Reads and parses the settings file at `path`, like ParseRouterSettings.
std::optional<RouterSettings> LoadRouterSettings(
    const std::string& path, std::vector<SettingsProblem>* problems);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_ROUTER_SETTINGS_H_
