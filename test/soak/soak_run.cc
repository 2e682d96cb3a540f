#include "test/soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"
#include "nlohmann/json.hpp"

namespace wisteriareel::soak {
namespace {

using nlohmann::json;

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kReadyTimeout = absl::Seconds(20);
// Time after which all instances know all targets and each other.
constexpr absl::Duration kWarmUp = absl::Seconds(5);
constexpr absl::Duration kTargetRenewal = absl::Milliseconds(1200);
constexpr absl::Duration kGrace = absl::Seconds(8);
constexpr absl::Duration kRestartDelay = absl::Milliseconds(500);
// Time for faults that are under way at the end of the plan.
constexpr absl::Duration kTail = absl::Seconds(10);
constexpr double kBreakOffShare = 0.05;
constexpr double kPauseShare = 0.05;
constexpr int kPrepaidTokens = 1'000'000'000;

json MakeStreamRoute(const char* name, bool resumable) {
  return {{"name", name},
          {"host", "h.example"},
          {"prefix", absl::StrCat("/", name, "/")},
          {"kind", "streaming"},
          {"timeout_ms", 10'000},
          {"target_latency_ms", 1200},
          {"priority", 2},
          {"service", "engines"},
          {"attempts", 2},
          {"public", false},
          {"sticky", true},
          {"resumable", resumable},
          {"gap_aim_ms", 250}};
}

std::string MakeConfig() {
  const json plain_route = {{"name", "plain"},      {"host", "h.example"},
                            {"prefix", "/plain/"},  {"kind", "unsafe"},
                            {"timeout_ms", 10'000}, {"target_latency_ms", 1000},
                            {"priority", 2},        {"service", "records"},
                            {"attempts", 2},        {"public", false}};
  const json engines = {
      {"name", "engines"},
      {"health_path", "/health"},
      {"max_connections", 370},
      {"protocol", "h1"},
      {"tls", false},
      {"engine", {{"slots", 64}, {"kv_capacity", 447'736}, {"stride", 5}}}};
  const json records = {{"name", "records"},
                        {"health_path", "/health"},
                        {"max_connections", 370},
                        {"protocol", "h1"},
                        {"tls", false}};
  const json config = {
      {"version", 1},
      {"routes",
       json::array({MakeStreamRoute("stream", false),
                    MakeStreamRoute("resumable", true), plain_route})},
      {"services", json::array({engines, records})},
      {"limits",
       {{"max_header_bytes", 16'384},
        {"max_body_bytes", 4'194'304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15'000}}},
      {"tenants", json::array({{{"name", "customer"},
                                {"api_keys", json::array({"key"})},
                                {"prepaid", kPrepaidTokens}}})}};
  return config.dump();
}

// Returns the lines of all logs in `folder` that contain `text`.
std::vector<std::string> FindLogLines(const std::string& folder,
                                      const std::string& text) {
  std::vector<std::string> lines;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() != ".log") continue;
    std::ifstream log(entry.path());
    for (std::string line; std::getline(log, line);) {
      if (line.find(text) != std::string::npos) lines.push_back(line);
    }
  }
  return lines;
}

}  // namespace

SoakRun::SoakRun(SoakOptions options) : options_(std::move(options)) {}

SoakRun::~SoakRun() {
  stop_callers_ = true;
  for (std::thread& caller : callers_) {
    if (caller.joinable()) caller.join();
  }
}

bool SoakRun::StartWorld() {
  if (!store_.Start()) return false;
  store_.Put("op", "config", MakeConfig());
  for (int n = 0; n < options_.targets; ++n) {
    for (const char* service : {"engines", "records"}) {
      SoakTarget& target = targets_.emplace_back(
          SoakTargetOptions{.id = absl::StrCat(service, "-", n),
                            .service = service,
                            .break_off_share = kBreakOffShare,
                            .pause_share = kPauseShare},
          &store_, &recorder_);
      if (!target.Start()) return false;
    }
  }
  std::vector<std::uint16_t> peer_ports;
  peer_ports.reserve(static_cast<std::size_t>(options_.instances));
  for (int n = 0; n < options_.instances; ++n) {
    peer_ports.push_back(FindFreePort());
  }
  for (int n = 0; n < options_.instances; ++n) {
    Instance& instance = instances_.emplace_back();
    instance.process = std::make_unique<RouterProcess>(RouterProcessOptions{
        .program = options_.router,
        .name = absl::StrCat("instance-", n),
        .folder = options_.folder,
        .store_port = store_.port(),
        .peer_ports = peer_ports,
        .peer_port = peer_ports[static_cast<std::size_t>(n)]});
    if (!instance.process->Start()) return false;
  }
  return AwaitReady();
}

bool SoakRun::AwaitReady() const {
  const absl::Time until = absl::Now() + kReadyTimeout;
  for (const Instance& instance : instances_) {
    while (!instance.process->IsReady()) {
      if (absl::Now() >= until) return false;
      absl::SleepFor(kStep);
    }
  }
  return true;
}

void SoakRun::StartCallers() {
  std::vector<std::uint16_t> ports;
  ports.reserve(instances_.size());
  for (const Instance& instance : instances_) {
    ports.push_back(instance.process->callers_port());
  }
  for (int n = 0; n < options_.callers; ++n) {
    const SoakCallerOptions options{
        .seed = options_.seed,
        .number = n,
        .ports = ports,
        .max_response_time = options_.max_response_time};
    callers_.emplace_back([this, options] {
      SoakCaller(options, &recorder_).Run(stop_callers_);
    });
  }
}

void SoakRun::Note(const std::string& line) {
  notes_.push_back(absl::StrCat(
      absl::FormatTime("%H:%M:%E3S", absl::Now(), absl::UTCTimeZone()), " (",
      absl::FormatDuration(
          absl::Trunc(absl::Now() - traffic_start_, absl::Milliseconds(1))),
      ") ", line));
}

void SoakRun::Inject(const PlannedFault& fault) {
  Instance& instance = instances_[static_cast<std::size_t>(fault.instance)];
  const absl::Time now = absl::Now();
  const std::string_view name = FaultName(fault.kind);
  Note(absl::StrCat(absl::string_view(name.data(), name.size()), " instance-",
                    fault.instance, " ", absl::FormatDuration(fault.duration)));
  switch (fault.kind) {
    case FaultKind::kStop:
      if (!instance.process->IsRunning()) break;
      instance.stop_at = now;
      recorder_.Add(InstanceSignal{.instance = fault.instance,
                                   .kind = SignalKind::kTerminate,
                                   .at = now});
      instance.process->Signal(SIGTERM);
      break;
    case FaultKind::kReload:
      recorder_.Add(InstanceSignal{
          .instance = fault.instance, .kind = SignalKind::kReload, .at = now});
      instance.process->Signal(SIGHUP);
      break;
    case FaultKind::kFreeze:
      if (instance.continue_at == absl::InfiniteFuture()) {
        instance.frozen_at = now;
      }
      instance.continue_at = now + fault.duration;
      instance.process->Signal(SIGSTOP);
      break;
    case FaultKind::kKill:
      if (!instance.process->IsRunning()) break;
      instance.killed = true;
      instance.killed_at = now;
      instance.start_at = now + fault.duration;
      instance.process->Signal(SIGKILL);
      break;
    case FaultKind::kPauseLog:
      instance.process->PauseLogReader(now + fault.duration);
      break;
    case FaultKind::kStoreAway:
      store_.SetAway(true);
      store_back_at_ = now + fault.duration;
      break;
  }
}

void SoakRun::Step(Instance* instance, int number) {
  const absl::Time now = absl::Now();
  if (now >= instance->continue_at) {
    instance->process->Signal(SIGCONT);
    recorder_.Add(Disturbance{
        .instance = number, .from = instance->frozen_at, .to = now});
    instance->continue_at = absl::InfiniteFuture();
  }
  if (instance->process->IsRunning()) {
    if (now >= instance->stop_at + kGrace) {
      Note(absl::StrCat("end of the grace of instance-", number));
      instance->process->Signal(SIGKILL);
    }
    return;
  }
  if (instance->start_at == absl::InfiniteFuture()) {
    instance->start_at = now + kRestartDelay;
    if (instance->stop_at == absl::InfiniteFuture()) {
      recorder_.Add(UnexpectedExit{.instance = number, .at = now});
      Note(absl::StrCat("instance-", number, " ended by itself"));
    } else {
      Note(absl::StrCat("instance-", number, " ended after ",
                        absl::FormatDuration(now - instance->stop_at)));
    }
  }
  if (now < instance->start_at) return;
  if (instance->killed) {
    recorder_.Add(Disturbance{
        .instance = number, .from = instance->killed_at, .to = now});
  }
  instance->killed = false;
  instance->stop_at = absl::InfiniteFuture();
  instance->start_at = absl::InfiniteFuture();
  instance->process->Start();
}

void SoakRun::InjectFaults() {
  const std::vector<PlannedFault> plan =
      MakePlan({.seed = options_.seed,
                .length = options_.length,
                .instances = options_.instances,
                .kinds = options_.faults});
  auto next = plan.begin();
  const absl::Time end = traffic_start_ + options_.length + kTail;
  while (absl::Now() < end) {
    const absl::Time now = absl::Now();
    for (; next != plan.end() && now >= traffic_start_ + next->at; ++next) {
      Inject(*next);
    }
    int number = 0;
    for (Instance& instance : instances_) Step(&instance, number++);
    if (now >= store_back_at_) {
      store_.SetAway(false);
      store_back_at_ = absl::InfiniteFuture();
    }
    if (now >= renew_targets_at_) {
      for (SoakTarget& target : targets_) target.Renew();
      renew_targets_at_ = now + kTargetRenewal;
    }
    absl::SleepFor(kStep);
  }
}

void SoakRun::EndDisturbances() {
  int number = 0;
  for (const Instance& instance : instances_) {
    if (instance.continue_at < absl::InfiniteFuture()) {
      instance.process->Signal(SIGCONT);
      recorder_.Add(Disturbance{.instance = number,
                                .from = instance.frozen_at,
                                .to = absl::InfiniteFuture()});
    }
    if (instance.killed) {
      recorder_.Add(Disturbance{.instance = number,
                                .from = instance.killed_at,
                                .to = absl::InfiniteFuture()});
    }
    ++number;
  }
}

SoakResult SoakRun::Judge() {
  const SoakHistory history = recorder_.Take();
  SoakResult result{
      .played = true,
      .requests = history.requests.size(),
      .violations = SoakChecker({.grace = kGrace}).Check(history)};
  for (const CallerRecord& request : history.requests) {
    const bool success = request.status >= 200 && request.status < 300;
    if (success && request.end == ResponseEnd::kComplete) ++result.answered;
  }
  std::ofstream report(absl::StrCat(options_.folder, "/report.txt"));
  for (const std::string& note : notes_) report << note << "\n";
  report << result.requests << " requests, " << result.answered << " answered, "
         << result.violations.size() << " violations\n";
  for (const Violation& violation : result.violations) {
    report << PromiseName(violation.promise) << ": " << violation.subject
           << ": " << violation.detail << "\n";
    const std::vector<std::string> lines =
        FindLogLines(options_.folder, violation.subject);
    for (const std::string& line : lines) report << "  " << line << "\n";
    if (lines.empty()) report << "  no line in any log\n";
  }
  return result;
}

SoakResult SoakRun::Play() {
  if (!StartWorld()) return {};
  absl::SleepFor(kWarmUp);
  traffic_start_ = absl::Now();
  renew_targets_at_ = traffic_start_;
  StartCallers();
  InjectFaults();
  EndDisturbances();
  stop_callers_ = true;
  for (std::thread& caller : callers_) caller.join();
  instances_.clear();
  targets_.clear();
  return Judge();
}

}  // namespace wisteriareel::soak
