#include <docopt/docopt.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "daemons/command_line.h"
#include "src/platform/platform_codec.h"
#include "standin/model_engine.h"
#include "standin/plain_service.h"
#include "standin/platform_standin.h"

namespace wisteriareel {
namespace {

constexpr char kUsage[] =
    R"(wisteriareel-standin: stand-ins for the platform and for targets.

Each prints "listening KIND PORT" once it is ready and runs until SIGTERM or
SIGINT. POST /faults with {"NAME": NUMBER} sets faults; GET /faults lists them.
Several kinds can run in one process.

Usage:
  wisteriareel-standin [--platform=PORT] [--engines=PORTS] [--services=PORTS]
                       [--host=HOST] [--instances=FILE] [--models=NAMES]
                       [--token-interval-ms=MS] [--max-batch=N]
                       [--cache-entries=N] [--ignore-fencing]
                       [--stamp-events]
  wisteriareel-standin (-h | --help)
  wisteriareel-standin --version

Options:
  --platform=PORT         Run table, object store and instance list.
  --engines=PORTS         Run a model engine on each port, comma-separated.
  --services=PORTS        Run a plain service on each port, comma-separated.
  --host=HOST             Address to listen on [default: 127.0.0.1].
  --instances=FILE        JSON {"instances": [...]} for the instance list.
  --models=NAMES          Models that the engines have loaded [default: small].
  --token-interval-ms=MS  Time between two tokens [default: 5].
  --max-batch=N           Maximum number of sequences in a batch [default: 256].
  --cache-entries=N       Capacity of each prefix cache [default: 64].
  --ignore-fencing        Engines accept orders with old fencing numbers.
  --stamp-events          Engines add the time of sending to each event.
  -h --help               Show this text.
  --version               Show the version.

Exit codes: 0 ended by a signal, 1 can't listen or read a file, 2 invalid
command line.
)";

constexpr int kExitFailure = 1;

using Arguments = CommandArguments;

bool ParsePorts(const docopt::value& argument, std::vector<int>* ports) {
  if (!argument.isString()) return true;
  for (const auto& text : absl::StrSplit(argument.asString(), ',')) {
    int port = 0;
    if (!absl::SimpleAtoi(text, &port) || port < 0 || port > 65535) {
      std::fprintf(stderr, "invalid port: %s\n", absl::StrCat(text).c_str());
      return false;
    }
    ports->push_back(port);
  }
  return true;
}

bool ReadNumber(const Arguments& arguments, const char* name, int min,
                int* number) {
  const std::string text = arguments.at(name).asString();
  if (absl::SimpleAtoi(text, number) && *number >= min) return true;
  std::fprintf(stderr, "%s: expected an integer of at least %d, found %s\n",
               name, min, text.c_str());
  return false;
}

// Owns the stand-ins that the command line selects.
class Standins {
 public:
  // Starts all stand-ins. Prints an error, sets `*exit_code` and returns false
  // on failure.
  bool Start(const Arguments& arguments, int* exit_code) {
    *exit_code = kExitUsage;
    std::vector<int> platforms;
    std::vector<int> engines;
    std::vector<int> services;
    ModelEngineOptions options;
    if (!ParsePorts(arguments.at("--platform"), &platforms) ||
        !ParsePorts(arguments.at("--engines"), &engines) ||
        !ParsePorts(arguments.at("--services"), &services) ||
        !ReadEngineOptions(arguments, &options)) {
      return false;
    }
    if (platforms.size() + engines.size() + services.size() == 0) {
      std::fprintf(stderr, "no stand-in selected; see --help\n");
      return false;
    }
    *exit_code = kExitFailure;
    const std::string host = arguments.at("--host").asString();
    for (const int port : platforms) {
      auto platform = std::make_unique<PlatformStandin>();
      if (!LoadInstances(arguments.at("--instances"), platform.get())) {
        return false;
      }
      if (!Listen("platform", host, port, std::move(platform))) return false;
    }
    for (const int port : engines) {
      if (!Listen("engine", host, port,
                  std::make_unique<ModelEngine>(options))) {
        return false;
      }
    }
    for (const int port : services) {
      if (!Listen("service", host, port, std::make_unique<PlainService>())) {
        return false;
      }
    }
    return true;
  }

 private:
  static bool ReadEngineOptions(const Arguments& arguments,
                                ModelEngineOptions* options) {
    int interval_ms = 0;
    int cache_entries = 0;
    if (!ReadNumber(arguments, "--token-interval-ms", 0, &interval_ms) ||
        !ReadNumber(arguments, "--max-batch", 1, &options->max_batch) ||
        !ReadNumber(arguments, "--cache-entries", 1, &cache_entries)) {
      return false;
    }
    options->token_interval = absl::Milliseconds(interval_ms);
    options->cache_entries = static_cast<std::size_t>(cache_entries);
    options->checks_fencing = !arguments.at("--ignore-fencing").asBool();
    options->stamp_events = arguments.at("--stamp-events").asBool();
    options->models.clear();
    for (const auto& name :
         absl::StrSplit(arguments.at("--models").asString(), ',')) {
      options->models.insert(absl::StrCat(name));
    }
    return true;
  }

  static bool LoadInstances(const docopt::value& file,
                            PlatformStandin* platform) {
    if (!file.isString()) return true;
    std::ifstream in(file.asString());
    const std::string text((std::istreambuf_iterator<char>(in)),
                           std::istreambuf_iterator<char>());
    const auto instances = DecodeInstances(text);
    if (!instances) {
      std::fprintf(stderr, "%s: expected {\"instances\": [...]}\n",
                   file.asString().c_str());
      return false;
    }
    for (const ListedInstance& instance : *instances) {
      platform->UpsertInstance(instance);
    }
    return true;
  }

  bool Listen(const char* kind, const std::string& host, int port,
              std::unique_ptr<StandinListener> standin) {
    LastReason reason;
    if (!standin->Start({host, static_cast<std::uint16_t>(port)}, &reason)) {
      std::fprintf(stderr, "%s\n", reason.detail().c_str());
      return false;
    }
    std::printf("listening %s %d\n", kind, standin->port());
    std::fflush(stdout);
    running_.push_back(std::move(standin));
    return true;
  }

  std::vector<std::unique_ptr<StandinListener>> running_;
};

int Run(int argc, char** argv) {
  // Blocked before any thread starts, so that only sigwait receives them.
  sigset_t termination_signals;
  sigemptyset(&termination_signals);
  sigaddset(&termination_signals, SIGTERM);
  sigaddset(&termination_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &termination_signals, nullptr);
  int exit_code = 0;
  const auto arguments =
      ParseCommandLine(kUsage, "wisteriareel-standin " WISTERIAREEL_VERSION,
                       argc, argv, &exit_code);
  if (!arguments) return exit_code;
  Standins standins;
  if (!standins.Start(*arguments, &exit_code)) return exit_code;
  int signal = 0;
  sigwait(&termination_signals, &signal);
  return 0;
}

}  // namespace
}  // namespace wisteriareel

int main(int argc, char** argv) { return wisteriareel::Run(argc, argv); }
