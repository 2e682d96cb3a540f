#include <docopt/docopt.h>
#include <pthread.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "daemons/command_line.h"
#include "src/app/daemon.h"
#include "src/observability/log4cxx_event_log.h"
#include "src/settings/settings.h"

namespace wisteriareel {
namespace {

constexpr char kUsage[] =
    R"(wisteriareeld: one instance of the wisteriareel router fleet.

Runs until SIGTERM or SIGINT, or an operator's drain order, and then shuts
down gracefully.

Usage:
  wisteriareeld --settings=FILE [--check-settings]
  wisteriareeld (-h | --help)
  wisteriareeld --version

Options:
  --settings=FILE   Settings in JSON with comments; see docs/SETTINGS.md.
  --check-settings  Check the settings, list every problem, and exit.
  -h --help         Show this.
  --version         Show the version.

Exit codes: 0 clean shutdown, 1 can't listen, 2 invalid command line,
3 invalid settings, 4 incomplete shutdown (see the last log line).
)";

constexpr int kExitClean = 0;
constexpr int kExitCannotListen = 1;
constexpr int kExitSettings = 3;
constexpr int kExitIncompleteShutdown = 4;

using Arguments = CommandArguments;

// Blocks the termination signals in this thread and all threads started later,
// so that only sigwait receives them. Ignores SIGPIPE.
sigset_t BlockTerminationSignals() {
  sigset_t termination_signals;
  sigemptyset(&termination_signals);
  sigaddset(&termination_signals, SIGTERM);
  sigaddset(&termination_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &termination_signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return termination_signals;
}

std::optional<Settings> ReadSettings(const std::string& path) {
  std::vector<SettingsProblem> problems;
  auto settings = LoadSettings(path, &problems);
  std::fputs(FormatProblems(problems).c_str(), stderr);
  return settings;
}

int Serve(Settings settings, const sigset_t& termination_signals) {
  Log4cxxEventLog events({.min_severity = settings.log.min_severity});
  Daemon daemon(std::move(settings), &events);
  LastReason reason;
  if (!daemon.Start(&reason)) {
    std::fprintf(stderr, "wisteriareeld can't start: %s\n",
                 reason.detail().c_str());
    return kExitCannotListen;
  }
  std::thread waiter([&daemon, termination_signals] {
    int signal = 0;
    sigwait(&termination_signals, &signal);
    daemon.RequestDrain();
  });
  daemon.AwaitDrainRequest();
  const ShutdownReport report = daemon.Shutdown();
  // Wakes the waiter thread if an operator's drain order came before a signal.
  kill(getpid(), SIGTERM);
  waiter.join();
  return report.clean() ? kExitClean : kExitIncompleteShutdown;
}

int Run(int argc, char** argv) {
  const sigset_t termination_signals = BlockTerminationSignals();
  int exit_code = 0;
  const auto arguments = ParseCommandLine(
      kUsage, "wisteriareeld " WISTERIAREEL_VERSION, argc, argv, &exit_code);
  if (!arguments) return exit_code;
  auto settings = ReadSettings(arguments->at("--settings").asString());
  if (!settings) return kExitSettings;
  if (arguments->at("--check-settings").asBool()) {
    std::puts("settings: no problem found");
    return kExitClean;
  }
  return Serve(std::move(*settings), termination_signals);
}

}  // namespace
}  // namespace wisteriareel

int main(int argc, char** argv) { return wisteriareel::Run(argc, argv); }
