#include "src/settings/settings.h"

#include "nlohmann/json.hpp"
#include "src/settings/object_reader.h"
#include "src/settings/settings_checks.h"
#include "src/settings/settings_file.h"

// Each field is read by one statement: its name, its check and its destination.
namespace wisteriareel {
namespace settings {
namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr std::size_t kMinSecretBytes = 16;

const Count kPort{1, kMaxPort};
const Milliseconds kShortDuration{absl::Milliseconds(1), absl::Minutes(1)};
const Milliseconds kLongDuration{absl::Milliseconds(1), absl::Hours(24)};

void ReadEndpoint(ObjectReader* reader, Endpoint* out) {
  reader->Required("host", IpAddress{}, &out->host);
  reader->Required("port", kPort, &out->port);
}

void ReadInstance(ObjectReader* reader, InstanceSettings* out) {
  reader->Required("id", Identifier{}, &out->id);
  reader->Required("region", Identifier{}, &out->region);
  reader->Required("zone", Identifier{}, &out->zone);
}

void ReadListen(ObjectReader* reader, ListenSettings* out) {
  reader->RequiredObject("callers", &out->callers, ReadEndpoint);
  reader->RequiredObject("operators", &out->operators, ReadEndpoint);
  reader->RequiredObject("peers", &out->peers, ReadEndpoint);
}

void ReadPlatform(ObjectReader* reader, PlatformSettings* out) {
  reader->RequiredObject("table", &out->table, ReadEndpoint);
  reader->RequiredObject("object_store", &out->object_store, ReadEndpoint);
  reader->RequiredObject("instance_list", &out->instance_list, ReadEndpoint);
  reader->Optional("timeout_ms", kShortDuration, &out->timeout);
}

void ReadPeers(ObjectReader* reader, PeerSettings* out) {
  reader->Required("secret", Secret{kMinSecretBytes}, &out->secret);
  reader->Optional("heartbeat_ms", kShortDuration, &out->heartbeat);
  reader->Optional("silence_ms", kShortDuration, &out->idle_timeout);
  reader->Optional("max_connections", Count{1, 65536}, &out->max_connections);
}

void ReadOperator(ObjectReader* reader, OperatorCredential* out) {
  const Choice<OperatorRole> role{
      {{"read", OperatorRole::kRead}, {"operate", OperatorRole::kOperate}}};
  reader->Required("name", Identifier{}, &out->name);
  reader->Required("role", role, &out->role);
  reader->Required("token_sha256", Sha256Digest{}, &out->token_sha256);
}

void ReadTlsFiles(ObjectReader* reader, TlsFiles* out) {
  reader->Optional("certificate_file", FilePath{}, &out->certificate_file);
  reader->Optional("key_file", FilePath{}, &out->key_file);
  reader->Optional("ca_file", FilePath{}, &out->ca_file);
  reader->Optional("reload_ms", Milliseconds{absl::Seconds(1), absl::Hours(24)},
                   &out->reload);
}

void ReadTls(ObjectReader* reader, TlsSettings* out) {
  reader->OptionalObject("callers", &out->callers, ReadTlsFiles);
  reader->OptionalObject("operators", &out->operators, ReadTlsFiles);
  reader->OptionalObject("peers", &out->peers, ReadTlsFiles);
  reader->OptionalObject("targets", &out->targets, ReadTlsFiles);
  reader->OptionalObject("platform", &out->platform, ReadTlsFiles);
}

void ReadLimits(ObjectReader* reader, LimitSettings* out) {
  reader->Optional("max_connections", Count{1, 65536}, &out->max_connections);
  reader->Optional("max_body_bytes", Count{1024, 256 << 20},
                   &out->max_body_bytes);
}

void ReadBudgets(ObjectReader* reader, BudgetSettings* out) {
  reader->Optional("false_refusal_weight_percent", Count{1, 99},
                   &out->false_refusal_weight_percent);
  reader->Optional("grant_horizon_ms", kLongDuration, &out->grant_horizon);
  reader->Optional("grant_lease_ms",
                   Milliseconds{absl::Seconds(1), absl::Hours(24 * 30)},
                   &out->grant_lease);
  reader->Optional("record_flush_ms", kShortDuration, &out->record_flush);
}

void ReadTimeouts(ObjectReader* reader, TimeoutSettings* out) {
  reader->Optional("request_ms", kLongDuration, &out->request);
  reader->Optional("target_connect_ms", kShortDuration, &out->target_connect);
  reader->Optional("target_first_byte_ms", kLongDuration,
                   &out->target_first_byte);
  reader->Optional("caller_read_ms", kLongDuration, &out->caller_read);
  reader->Optional("caller_write_ms", kLongDuration, &out->caller_write);
  reader->Optional("operator_call_ms", kShortDuration, &out->operator_call);
  reader->Optional("balancer_notice_ms", kShortDuration, &out->balancer_notice);
  reader->Optional("drain_ms", kLongDuration, &out->drain);
}

void ReadLog(ObjectReader* reader, LogSettings* out) {
  const Choice<Severity> severity{{{"debug", Severity::kDebug},
                                   {"info", Severity::kInfo},
                                   {"warning", Severity::kWarning},
                                   {"error", Severity::kError}}};
  reader->Optional("least", severity, &out->min_severity);
}

// Reports inconsistencies between fields.
void CheckConsistency(ObjectReader* reader, const Settings& settings) {
  struct Listener {
    std::string path;
    Endpoint endpoint;
  };
  const std::vector<Listener> listeners = {
      {"$.listen.callers", settings.listen.callers},
      {"$.listen.operators", settings.listen.operators},
      {"$.listen.peers", settings.listen.peers}};
  for (std::size_t n = 1; n < listeners.size(); ++n) {
    for (std::size_t m = 0; m < n; ++m) {
      if (listeners[n].endpoint.port == 0) continue;
      if (listeners[n].endpoint != listeners[m].endpoint) continue;
      reader->Report(listeners[n].path,
                     "an address that no other listener uses",
                     absl::StrCat("the address of ", listeners[m].path));
    }
  }
  if (settings.peers.idle_timeout < 2 * settings.peers.heartbeat) {
    reader->Report(
        "$.peers.silence_ms", "at least twice heartbeat_ms",
        absl::StrCat(absl::ToInt64Milliseconds(settings.peers.idle_timeout)));
  }
  if (settings.budgets.grant_lease < settings.budgets.grant_horizon) {
    reader->Report(
        "$.budgets.grant_lease_ms", "at least grant_horizon_ms",
        absl::StrCat(absl::ToInt64Milliseconds(settings.budgets.grant_lease)));
  }
}

void CheckOperators(ObjectReader* reader, const Settings& settings) {
  absl::flat_hash_set<std::string> names;
  absl::flat_hash_set<std::string> tokens;
  for (std::size_t n = 0; n < settings.operators.size(); ++n) {
    const OperatorCredential& it = settings.operators[n];
    const std::string path = absl::StrCat("$.operators[", n, "]");
    if (!it.name.empty() && !names.insert(it.name).second) {
      reader->Report(path + ".name", "a unique name", it.name);
    }
    if (!it.token_sha256.empty() && !tokens.insert(it.token_sha256).second) {
      reader->Report(path + ".token_sha256", "a unique token",
                     "the token of another operator");
    }
  }
}

void CheckTls(ObjectReader* reader, const std::string& name,
              const TlsFiles& files, bool listener) {
  const std::string path = absl::StrCat("$.tls.", name);
  if (files.certificate_file.empty() != files.key_file.empty()) {
    reader->Report(path, "certificate_file and key_file together", "one");
  }
  const bool ca_without_certificate =
      !files.ca_file.empty() && files.certificate_file.empty();
  if (listener && ca_without_certificate) {
    reader->Report(path, "a certificate_file in addition to ca_file",
                   "nothing");
  }
}

// Instances authenticate each other by certificate, so each needs all three
// files.
void CheckPeerTls(ObjectReader* reader, const TlsFiles& files) {
  if (!files.certificate_file.empty() && files.ca_file.empty()) {
    reader->Report("$.tls.peers", "a ca_file in addition to certificate_file",
                   "nothing");
  }
}

void ReadSettings(ObjectReader* reader, Settings* out) {
  reader->RequiredObject("instance", &out->instance, ReadInstance);
  reader->RequiredObject("listen", &out->listen, ReadListen);
  reader->RequiredObject("platform", &out->platform, ReadPlatform);
  reader->RequiredObject("peers", &out->peers, ReadPeers);
  reader->RequiredList("operators", &out->operators, ReadOperator);
  reader->OptionalObject("tls", &out->tls, ReadTls);
  reader->OptionalObject("limits", &out->limits, ReadLimits);
  reader->OptionalObject("budgets", &out->budgets, ReadBudgets);
  reader->OptionalObject("timeouts", &out->timeouts, ReadTimeouts);
  reader->OptionalObject("log", &out->log, ReadLog);
  CheckConsistency(reader, *out);
  CheckOperators(reader, *out);
  CheckTls(reader, "callers", out->tls.callers, /*listener=*/true);
  CheckTls(reader, "operators", out->tls.operators, /*listener=*/true);
  CheckTls(reader, "peers", out->tls.peers, /*listener=*/true);
  CheckPeerTls(reader, out->tls.peers);
  CheckTls(reader, "targets", out->tls.targets, /*listener=*/false);
  CheckTls(reader, "platform", out->tls.platform, /*listener=*/false);
}

}  // namespace
}  // namespace settings

std::optional<Settings> ParseSettings(std::string_view text,
                                      std::vector<SettingsProblem>* problems) {
  const std::optional<nlohmann::json> root =
      settings::ParseSettingsJson(text, problems);
  if (!root.has_value()) return std::nullopt;
  Settings settings;
  {
    settings::ObjectReader reader(*root, "$", problems);
    settings::ReadSettings(&reader, &settings);
  }
  if (!problems->empty()) return std::nullopt;
  return settings;
}

std::optional<Settings> LoadSettings(const std::string& path,
                                     std::vector<SettingsProblem>* problems) {
  const std::optional<std::string> text =
      settings::ReadSettingsFile(path, problems);
  if (!text.has_value()) return std::nullopt;
  return ParseSettings(*text, problems);
}

}  // namespace wisteriareel
