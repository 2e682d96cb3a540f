#include "test/soak/router_process.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "nlohmann/json.hpp"

namespace wisteriareel::soak {
namespace {

using nlohmann::json;

// Capacity of the pipe: a reader that pauses is felt after a few lines.
constexpr int kLogPipeBytes = 4096;
constexpr int kLogPollMs = 20;
constexpr absl::Duration kReadyTimeout = absl::Milliseconds(500);
constexpr int kExitCantExecute = 127;

std::string LoopbackAddress(std::uint16_t port) {
  return absl::StrCat("127.0.0.1:", port);
}

}  // namespace

RouterProcess::RouterProcess(RouterProcessOptions options)
    : options_(std::move(options)),
      settings_path_(
          absl::StrCat(options_.folder, "/", options_.name, ".json")),
      log_path_(absl::StrCat(options_.folder, "/", options_.name, ".log")) {}

RouterProcess::~RouterProcess() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  stopping_ = true;
  if (log_thread_.joinable()) log_thread_.join();
}

bool RouterProcess::WriteSettings() const {
  json seeds = json::array();
  for (const std::uint16_t port : options_.peer_ports) {
    seeds.push_back({{"address", LoopbackAddress(port)}});
  }
  json settings = {
      {"instance", {{"id", options_.name}, {"zone", "zone-a"}}},
      {"listen",
       {{"callers", LoopbackAddress(callers_port_)},
        {"ready", LoopbackAddress(ready_port_)},
        {"peers", LoopbackAddress(options_.peer_port)}}},
      {"table", LoopbackAddress(options_.store_port)},
      {"seeds", seeds},
      {"repeats", {{"ratio", 0.2}, {"slack", 56}, {"window_s", 10}}},
      {"link_mbps", 1000},
      {"shutdown_grace_s", 8}};
  if (options_.memory_mb > 0) {
    settings["machine"] = {{"memory_mb", options_.memory_mb}};
  }
  std::ofstream out(settings_path_);
  out << settings.dump(2);
  return out.good();
}

bool RouterProcess::Start() {
  if (!log_thread_.joinable()) {
    std::array<int, 2> ends{};
    if (!WriteSettings() || pipe2(ends.data(), O_CLOEXEC) != 0) return false;
    log_reader_ = FileDescriptor(ends[0]);
    log_writer_ = FileDescriptor(ends[1]);
    fcntl(log_writer_.get(), F_SETPIPE_SZ, kLogPipeBytes);
    log_thread_ = std::thread([this] { CopyLog(); });
  }
  const std::string settings = absl::StrCat("--settings=", settings_path_);
  pid_ = fork();
  if (pid_ != 0) return pid_ > 0;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (options_.max_descriptors > 0) {
    const rlimit limit{.rlim_cur = options_.max_descriptors,
                       .rlim_max = options_.max_descriptors};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  dup2(log_writer_.get(), STDOUT_FILENO);
  dup2(log_writer_.get(), STDERR_FILENO);
  execl(options_.program.c_str(), options_.program.c_str(), settings.c_str(),
        nullptr);
  _exit(kExitCantExecute);
}

void RouterProcess::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

bool RouterProcess::IsRunning() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = 0;
  return pid_ > 0;
}

bool RouterProcess::IsReady() const {
  const FileDescriptor connection = ConnectToLoopback(ready_port_);
  HttpMessage response;
  return connection.valid() &&
         SendAll(connection.get(), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
         HttpReader(connection.get())
                 .Read(absl::Now() + kReadyTimeout, &response) ==
             ResponseEnd::kComplete &&
         response.Status() == 200;
}

void RouterProcess::PauseLogReader(absl::Time until) {
  paused_until_ms_ = absl::ToUnixMillis(until);
}

void RouterProcess::CopyLog() {
  std::ofstream out(log_path_, std::ios::app);
  std::array<char, kLogPipeBytes> buf;
  while (!stopping_) {
    if (absl::ToUnixMillis(absl::Now()) < paused_until_ms_) {
      absl::SleepFor(absl::Milliseconds(kLogPollMs));
      continue;
    }
    pollfd entry{.fd = log_reader_.get(), .events = POLLIN, .revents = 0};
    if (poll(&entry, 1, kLogPollMs) <= 0) continue;
    const ssize_t n = read(log_reader_.get(), buf.data(), buf.size());
    if (n <= 0) return;
    out.write(buf.data(), n);
    out.flush();
  }
}

}  // namespace wisteriareel::soak
