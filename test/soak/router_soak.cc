#include <docopt/docopt.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <filesystem>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "daemons/command_line.h"
#include "test/soak/soak_run.h"

namespace wisteriareel::soak {
namespace {

constexpr char kUsage[] =
    R"(router_soak: plays faults on real router processes and checks promises.

Usage:
  router_soak --router=PATH [--seed=N] [--seeds=N] [--seconds=S]
              [--instances=N] [--targets=N] [--callers=N] [--response-ms=MS]
              [--faults=KINDS] [--logs=DIR] [--jobs=N]
  router_soak (-h | --help)

Options:
  --router=PATH     Program of the router.
  --seed=N          First seed [default: 1].
  --seeds=N         Number of seeds [default: 1].
  --seconds=S       Time with faults, for each seed [default: 20].
  --instances=N     Number of instances [default: 4].
  --targets=N       Number of targets of each service [default: 4].
  --callers=N       Number of callers [default: 48].
  --response-ms=MS  Longest time of a response [default: 6000].
  --faults=KINDS    Comma-separated: stop, reload, freeze, kill, log, store
                    [default: stop,reload,freeze,kill,log,store].
  --logs=DIR        Folder for logs and reports [default: soak-logs].
  --jobs=N          Number of seeds played at once [default: 1].
  -h --help         Show this text.

Exit codes: 0 all promises kept, 1 a promise broken, 2 invalid command line,
3 a seed couldn't be played.
)";

constexpr int kExitBroken = 1;
constexpr int kExitNotPlayed = 3;

struct SoakCommand {
  SoakOptions options;
  std::string logs;
  std::string faults;
  std::uint64_t first_seed = 1;
  int seeds = 1;
  int jobs = 1;
};

bool ReadNumber(const CommandArguments& arguments, const char* name,
                int* number) {
  const std::string text = arguments.at(name).asString();
  if (absl::SimpleAtoi(text, number) && *number >= 1) return true;
  std::fprintf(stderr, "%s: expected an integer of at least 1, found %s\n",
               name, text.c_str());
  return false;
}

bool ReadFaults(const std::string& names, std::vector<FaultKind>* faults) {
  for (const auto& name : absl::StrSplit(names, ',')) {
    const auto kind = ParseFaultName({name.data(), name.size()});
    if (!kind.has_value()) {
      std::fprintf(stderr, "--faults: unknown kind of fault: %s\n",
                   absl::StrCat(name).c_str());
      return false;
    }
    faults->push_back(*kind);
  }
  return true;
}

bool ReadCommand(const CommandArguments& arguments, SoakCommand* command) {
  int seed = 0;
  int seconds = 0;
  int response_ms = 0;
  command->faults = arguments.at("--faults").asString();
  if (!ReadNumber(arguments, "--seed", &seed) ||
      !ReadNumber(arguments, "--seeds", &command->seeds) ||
      !ReadNumber(arguments, "--seconds", &seconds) ||
      !ReadNumber(arguments, "--instances", &command->options.instances) ||
      !ReadNumber(arguments, "--targets", &command->options.targets) ||
      !ReadNumber(arguments, "--callers", &command->options.callers) ||
      !ReadNumber(arguments, "--response-ms", &response_ms) ||
      !ReadNumber(arguments, "--jobs", &command->jobs) ||
      !ReadFaults(command->faults, &command->options.faults)) {
    return false;
  }
  command->first_seed = static_cast<std::uint64_t>(seed);
  command->options.length = absl::Seconds(seconds);
  command->options.max_response_time = absl::Milliseconds(response_ms);
  command->options.router = arguments.at("--router").asString();
  command->logs = arguments.at("--logs").asString();
  if (access(command->options.router.c_str(), X_OK) != 0) {
    std::fprintf(stderr, "--router: can't execute %s\n",
                 command->options.router.c_str());
    return false;
  }
  std::error_code ec;
  std::filesystem::create_directories(command->logs, ec);
  if (access(command->logs.c_str(), W_OK) == 0) return true;
  std::fprintf(stderr, "--logs: can't write to %s\n", command->logs.c_str());
  return false;
}

// Plays the seeds of a command, several at once.
class SoakSeries {
 public:
  explicit SoakSeries(const SoakCommand& command) : command_(command) {}

  // Returns the exit code.
  int Play() {
    std::vector<std::thread> jobs;
    jobs.reserve(static_cast<std::size_t>(command_.jobs));
    for (int n = 0; n < command_.jobs; ++n) {
      jobs.emplace_back([this] {
        for (int index = next_++; index < command_.seeds; index = next_++) {
          PlaySeed(command_.first_seed + static_cast<std::uint64_t>(index));
        }
      });
    }
    for (std::thread& job : jobs) job.join();
    std::printf("%d of %d seeds broke a promise, %d not played\n", broken_,
                command_.seeds, not_played_);
    if (broken_ > 0) return kExitBroken;
    return not_played_ > 0 ? kExitNotPlayed : 0;
  }

 private:
  void PlaySeed(std::uint64_t seed) {
    SoakOptions options = command_.options;
    options.seed = seed;
    options.folder = absl::StrCat(command_.logs, "/seed-", seed);
    std::error_code ec;
    std::filesystem::remove_all(options.folder, ec);
    std::filesystem::create_directories(options.folder, ec);
    const SoakResult result = SoakRun(options).Play();
    const std::lock_guard lock(mutex_);
    if (!result.played) ++not_played_;
    if (!result.violations.empty()) ++broken_;
    const char* verdict = !result.played              ? "not played"
                          : result.violations.empty() ? "kept"
                                                      : "broken";
    std::printf("seed %s: %s, %zu requests, %zu answered, %zu violations\n",
                absl::StrCat(seed).c_str(), verdict, result.requests,
                result.answered, result.violations.size());
    for (const Violation& violation : result.violations) {
      std::printf("  %s: %s: %s\n",
                  std::string(PromiseName(violation.promise)).c_str(),
                  violation.subject.c_str(), violation.detail.c_str());
    }
    if (!result.violations.empty()) PrintCommand(options);
    std::fflush(stdout);
  }

  void PrintCommand(const SoakOptions& options) const {
    std::printf(
        "  logs in %s; again: router_soak --router=%s --seed=%s --seconds=%s "
        "--instances=%d --targets=%d --callers=%d --response-ms=%s "
        "--faults=%s\n",
        options.folder.c_str(), options.router.c_str(),
        absl::StrCat(options.seed).c_str(),
        absl::StrCat(absl::ToInt64Seconds(options.length)).c_str(),
        options.instances, options.targets, options.callers,
        absl::StrCat(absl::ToInt64Milliseconds(options.max_response_time))
            .c_str(),
        command_.faults.c_str());
  }

  const SoakCommand command_;
  std::atomic<int> next_ = 0;
  std::mutex mutex_;
  int broken_ = 0;
  int not_played_ = 0;
};

int Main(int argc, char** argv) {
  int exit_code = 0;
  const auto arguments =
      ParseCommandLine(kUsage, "router_soak", argc, argv, &exit_code);
  if (!arguments.has_value()) return exit_code;
  SoakCommand command;
  if (!ReadCommand(*arguments, &command)) return kExitUsage;
  return SoakSeries(command).Play();
}

}  // namespace
}  // namespace wisteriareel::soak

int main(int argc, char** argv) { return wisteriareel::soak::Main(argc, argv); }
