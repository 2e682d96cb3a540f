#include "src/router/router_settings.h"

#include "src/settings/object_reader.h"
#include "src/settings/settings_checks.h"
#include "src/settings/settings_file.h"

namespace wisteriareel {
namespace {

using settings::HostAndPort;
using settings::Identifier;
using settings::Number;
using settings::ObjectReader;

// The platform writes durations in seconds, with fractions.
const Number kSeconds{0.1, 3600};

// An element of the list `seeds`.
struct Seed {
  Endpoint address;
};

void ReadInstance(ObjectReader* reader, RouterInstanceSettings* out) {
  reader->Required("id", Identifier{}, &out->id);
  reader->Required("zone", Identifier{}, &out->zone);
}

void ReadListen(ObjectReader* reader, RouterListenSettings* out) {
  reader->Required("callers", HostAndPort{}, &out->callers);
  reader->Required("ready", HostAndPort{}, &out->ready);
  reader->Required("peers", HostAndPort{}, &out->peers);
}

void ReadRetrySettings(ObjectReader* reader, RetrySettings* out) {
  reader->Optional("ratio", Number{0, 1}, &out->ratio);
  reader->Optional("slack", Number{0, 1e6}, &out->slack);
  double window_s = absl::ToDoubleSeconds(out->window);
  reader->Optional("window_s", kSeconds, &window_s);
  out->window = absl::Seconds(window_s);
}

void ReadMachine(ObjectReader* reader, RouterMachineSettings* out) {
  reader->Optional("memory_mb", Number{16, 1e6}, &out->memory_mb);
  double descriptors = out->max_descriptors;
  reader->Optional("max_descriptors", Number{64, 1e7}, &descriptors);
  out->max_descriptors = static_cast<int>(descriptors);
}

void ReadSeed(ObjectReader* reader, Seed* out) {
  reader->Required("address", HostAndPort{}, &out->address);
}

void ReadRouter(ObjectReader* reader, RouterSettings* out) {
  const settings::Choice<Severity> severity{{{"debug", Severity::kDebug},
                                             {"info", Severity::kInfo},
                                             {"warning", Severity::kWarning},
                                             {"error", Severity::kError}}};
  reader->RequiredObject("instance", &out->instance, ReadInstance);
  reader->RequiredObject("listen", &out->listen, ReadListen);
  reader->Required("table", HostAndPort{}, &out->table);
  reader->OptionalObject("repeats", &out->retry, ReadRetrySettings);
  double grace_s = absl::ToDoubleSeconds(out->shutdown_grace);
  reader->Optional("shutdown_grace_s", kSeconds, &grace_s);
  out->shutdown_grace = absl::Seconds(grace_s);
  reader->Optional("link_mbps", Number{0, 1e6}, &out->link_mbps);
  reader->OptionalObject("machine", &out->machine, ReadMachine);
  reader->Optional("log_least", severity, &out->min_severity);
  std::vector<Seed> seeds;
  reader->OptionalList("seeds", &seeds, ReadSeed);
  for (const Seed& seed : seeds) out->seeds.push_back(seed.address);
}

}  // namespace

std::optional<RouterSettings> ParseRouterSettings(
    std::string_view text, std::vector<SettingsProblem>* problems) {
  const auto root = settings::ParseSettingsJson(text, problems);
  if (!root.has_value()) return std::nullopt;
  RouterSettings settings;
  {
    ObjectReader reader(*root, "$", problems);
    ReadRouter(&reader, &settings);
  }
  if (!problems->empty()) return std::nullopt;
  return settings;
}

std::optional<RouterSettings> LoadRouterSettings(
    const std::string& path, std::vector<SettingsProblem>* problems) {
  const auto text = settings::ReadSettingsFile(path, problems);
  if (!text.has_value()) return std::nullopt;
  return ParseRouterSettings(*text, problems);
}

}  // namespace wisteriareel
