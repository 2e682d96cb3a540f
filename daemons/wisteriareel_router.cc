#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "boost/asio/io_context.hpp"
#include "daemons/command_line.h"
#include "platform/load_client.h"
#include "platform/message_codec.h"
#include "platform/store_client.h"
#include "src/observability/log4cxx_event_log.h"
#include "src/router/router_daemon.h"
#include "src/router/router_settings.h"

namespace wisteriareel {
namespace {

constexpr char kUsage[] =
    R"(wisteriareel-router: one instance of the router on the platform.

Serves until SIGTERM or SIGINT and then shuts down gracefully. SIGHUP checks
the settings file; changes take effect at the next start.

Usage:
  wisteriareel-router --settings=FILE [--check-settings]
  wisteriareel-router (-h | --help)
  wisteriareel-router --version

Options:
  --settings=FILE   Settings in JSON with comments; see docs/SETTINGS.md.
  --check-settings  Check the settings, list every problem, and exit.
  -h --help         Show this help.
  --version         Show the version.

Exit codes: 0 clean shutdown, 1 can't listen, 2 invalid command line,
3 invalid settings.
)";

// Blocks of this size are returned to the system when they are freed, however
// large the ones before were.
constexpr int kMinMappedBlockBytes = 128 << 10;
constexpr int kMaxFreeHeapBytes = 1 << 20;

constexpr int kExitClean = 0;
constexpr int kExitCannotListen = 1;
constexpr int kExitSettings = 3;

std::optional<RouterSettings> ReadSettings(const std::string& path) {
  std::vector<SettingsProblem> problems;
  auto settings = LoadRouterSettings(path, &problems);
  std::fputs(FormatProblems(problems).c_str(), stderr);
  return settings;
}

// Checks the settings file and logs the result. Settings are read only at the
// start; changes take effect at the next start.
void CheckChangedSettings(const std::string& path, const RouterSettings& active,
                          EventLog* log) {
  std::vector<SettingsProblem> problems;
  const auto settings = LoadRouterSettings(path, &problems);
  if (!settings.has_value()) {
    log->Write(
        EventId::kSettingsRejected, Severity::kError,
        "the changed settings are invalid; they would prevent the next start",
        {{"problems", FormatProblems(problems)}});
    return;
  }
  log->Write(EventId::kSettingsReloaded, Severity::kInfo,
             "settings file checked",
             {{"changed", *settings == active ? "no" : "at next start"}});
}

int Serve(const std::string& path, const RouterSettings& settings) {
  Log4cxxEventLog log(
      {.min_severity = settings.min_severity, .standard_output = true});
  boost::asio::io_context io(1);
  const platform::MessageCodec codec;
  platform::StoreClient store(&io, settings.table, &log);
  platform::LoadClient loads(&io);
  RouterDaemon daemon(
      settings,
      {.codec = &codec, .table = &store, .source = &store, .loads = &loads},
      &io, &log,
      [&path, &settings, &log] { CheckChangedSettings(path, settings, &log); });
  LastReason reason;
  if (!daemon.Start(&reason)) {
    std::fprintf(stderr, "wisteriareel-router can't start: %s\n",
                 reason.detail().c_str());
    return kExitCannotListen;
  }
  daemon.Run();
  return kExitClean;
}

int Run(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, kMinMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kMaxFreeHeapBytes);
  int exit_code = 0;
  const auto arguments =
      ParseCommandLine(kUsage, "wisteriareel-router " WISTERIAREEL_VERSION,
                       argc, argv, &exit_code);
  if (!arguments) return exit_code;
  const std::string path = arguments->at("--settings").asString();
  const auto settings = ReadSettings(path);
  if (!settings) return kExitSettings;
  if (arguments->at("--check-settings").asBool()) {
    std::puts("settings: no problem found");
    return kExitClean;
  }
  return Serve(path, *settings);
}

}  // namespace
}  // namespace wisteriareel

int main(int argc, char** argv) { return wisteriareel::Run(argc, argv); }
