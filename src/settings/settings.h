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

// Settings of a daemon: immutable values read once at start from JSON with
// comments. docs/SETTINGS.md describes each field.
namespace wisteriareel {

struct InstanceSettings {
  InstanceId id;
  RegionId region;
  ZoneId zone;

  friend bool operator==(const InstanceSettings&,
                         const InstanceSettings&) = default;
};

// Addresses that the daemon listens on.
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
  // Longest wait for one reply.
  absl::Duration timeout = absl::Seconds(2);

  friend bool operator==(const PlatformSettings&,
                         const PlatformSettings&) = default;
};

// Connections between instances.
struct PeerSettings {
  // Proves membership of the deployment; the same at all instances.
  std::string secret;
  absl::Duration heartbeat = absl::Seconds(1);
  // A connection silent for this long is given up.
  absl::Duration idle_timeout = absl::Seconds(3);
  std::uint32_t max_connections = 1024;

  friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
};

// Certificates per listener and client. Plain text where none are set.
struct TlsSettings {
  TlsFiles callers;
  TlsFiles operators;
  TlsFiles peers;
  TlsFiles targets;
  TlsFiles platform;

  friend bool operator==(const TlsSettings&, const TlsSettings&) = default;
};

// What callers may take up.
struct LimitSettings {
  std::uint32_t max_connections = 2048;
  std::uint32_t max_body_bytes = 4 << 20;

  friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
};

// How much of a budget this instance takes in advance, and for how long.
struct BudgetSettings {
  // Weighs false refusals against tokens that lie idle at instances: the
  // percentage of a budget's remainder that all instances together may hold.
  std::uint32_t false_refusal_weight_percent = 50;
  // Outage of the platform that a weight of 100 lets an instance ride out.
  absl::Duration grant_horizon = absl::Hours(2);
  // An unreachable instance's grant can be reclaimed after this time. Longer
  // than the outage to be ridden out.
  absl::Duration grant_lease = absl::Hours(3);
  // Records are written to the object store this often.
  absl::Duration record_flush = absl::Seconds(5);

  friend bool operator==(const BudgetSettings&,
                         const BudgetSettings&) = default;
};

struct TimeoutSettings {
  // Longest time of a request whose caller names none.
  absl::Duration request = absl::Minutes(10);
  absl::Duration target_connect = absl::Seconds(1);
  // Longest wait for the first byte of a target's answer.
  absl::Duration target_first_byte = absl::Seconds(15);
  // Longest silence of a caller while it sends its request.
  absl::Duration caller_read = absl::Seconds(10);
  // Longest wait for a caller to take what was written.
  absl::Duration caller_write = absl::Seconds(30);
  // Longest time of an operator's call at the platform.
  absl::Duration operator_call = absl::Seconds(5);
  // Time in which the balancer notices that an instance is no longer ready.
  absl::Duration balancer_notice = absl::Seconds(3);
  // Longest wait of a graceful shutdown for requests in flight.
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

// Reads settings from the text of a file. Returns nullopt and all that is
// wrong in `problems`; a file that is no JSON has that one problem.
std::optional<Settings> ParseSettings(std::string_view text,
                                      std::vector<SettingsProblem>* problems);

// Like ParseSettings, from the file at `path`.
std::optional<Settings> LoadSettings(const std::string& path,
                                     std::vector<SettingsProblem>* problems);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_SETTINGS_SETTINGS_H_
