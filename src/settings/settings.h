#ifndef WISTERIAREEL_SRC_SETTINGS_SETTINGS_H_
#define WISTERIAREEL_SRC_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "src/security/operator_credentials.h"
#include "src/security/tls_files.h"
#include "src/settings/settings_problem.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/types.h"

// Settings of a daemon, read once at startup from JSON with comments.
// docs/SETTINGS.md describes each field.
namespace wisteriareel {

struct InstanceSettings {
  InstanceId id;
  RegionId region;
  ZoneId zone;

  friend bool operator==(const InstanceSettings&,
                         const InstanceSettings&) = default;
};

// Listening addresses of the daemon.
struct ListenSettings {
  Endpoint callers;
  Endpoint operators;
  Endpoint peers;

  friend bool operator==(const ListenSettings&,
                         const ListenSettings&) = default;
};

// Addresses of the platform's services.
struct PlatformSettings {
  Endpoint table;
  Endpoint object_store;
  Endpoint instance_list;
  // Maximum wait for one reply.
  absl::Duration timeout = absl::Seconds(2);

  friend bool operator==(const PlatformSettings&,
                         const PlatformSettings&) = default;
};

// Connections between instances.
struct PeerSettings {
  // Shared secret that authenticates the instances of a deployment.
  std::string secret;
  absl::Duration heartbeat = absl::Seconds(1);
  // A connection without received messages for this long is closed.
  absl::Duration idle_timeout = absl::Seconds(3);
  std::uint32_t max_connections = 1024;

  friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
};

// TLS files per listener and client. Connections without them use plain text.
struct TlsSettings {
  TlsFiles callers;
  TlsFiles operators;
  TlsFiles peers;
  TlsFiles targets;
  TlsFiles platform;

  friend bool operator==(const TlsSettings&, const TlsSettings&) = default;
};

// Limits on callers' use of resources.
struct LimitSettings {
  std::uint32_t max_connections = 2048;
  std::uint32_t max_body_bytes = 4 << 20;

  friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
};

// Size and duration of the budget grants that this instance draws in advance.
struct BudgetSettings {
  // Trade-off between false refusals and idle tokens held by instances: the
  // percentage of a budget's remainder that all instances together may hold.
  std::uint32_t false_refusal_weight_percent = 50;
  // Platform outage that an instance can bridge at a weight of 100.
  absl::Duration grant_horizon = absl::Hours(2);
  // Time after which an unreachable instance's grant can be reclaimed. Must not
  // be shorter than grant_horizon, the outage that instances bridge.
  absl::Duration grant_lease = absl::Hours(3);
  // Interval for writing records to the object store.
  absl::Duration record_flush = absl::Seconds(5);

  friend bool operator==(const BudgetSettings&,
                         const BudgetSettings&) = default;
};

struct TimeoutSettings {
  // Timeout of a request for which the caller sets none.
  absl::Duration request = absl::Minutes(10);
  absl::Duration target_connect = absl::Seconds(1);
  // Maximum wait for the first byte of a target's response.
  absl::Duration target_first_byte = absl::Seconds(15);
  // Maximum time for a caller to send its request head.
  absl::Duration caller_read = absl::Seconds(10);
  // Maximum time for one write to a caller.
  absl::Duration caller_write = absl::Seconds(30);
  // Timeout of an operator call's platform operations.
  absl::Duration operator_call = absl::Seconds(5);
  // Time within which the load balancer detects that an instance is not ready.
  absl::Duration balancer_notice = absl::Seconds(3);
  // Maximum time that a graceful shutdown waits for requests in flight.
  absl::Duration drain = absl::Minutes(15);

  friend bool operator==(const TimeoutSettings&,
                         const TimeoutSettings&) = default;
};

struct LogSettings {
  Severity min_severity = Severity::kInfo;

  friend bool operator==(const LogSettings&, const LogSettings&) = default;
};

struct Settings {
  InstanceSettings instance;
  ListenSettings listen;
  PlatformSettings platform;
  PeerSettings peers;
  std::vector<OperatorCredential> operators;
  TlsSettings tls;
  LimitSettings limits;
  BudgetSettings budgets;
  TimeoutSettings timeouts;
  LogSettings log;

  friend bool operator==(const Settings&, const Settings&) = default;
};

// Parses settings. On failure, returns nullopt and adds all problems to
// `problems`; text that isn't valid JSON yields a single problem.
std::optional<Settings> ParseSettings(std::string_view text,
                                      std::vector<SettingsProblem>* problems);

// Like ParseSettings, but reads the file at `path`.
std::optional<Settings> LoadSettings(const std::string& path,
                                     std::vector<SettingsProblem>* problems);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_SETTINGS_SETTINGS_H_
