#include "review/standin/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <thread>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

// As the deploy file starts it, from the project's root.
constexpr char kRouter[] = "target/wisteriareel-router";
constexpr int kHeartbeatMs = 1200;
constexpr int kReadyTimeoutMs = 10'000;

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string& path) : out_(path) {}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyClock::now() - started_);
  out_ << ms.count() << " ms: " << line << std::endl;
}

Server::Server(Store* store, std::string id, std::string service,
               Handler handler)
    : store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      handler_(std::move(handler)),
      born_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()) {
  const int listener = Listen(&port_);
  std::thread([this, listener] {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) std::thread([this, fd] { Serve(fd); }).detach();
    }
  }).detach();
  Register();
  std::thread([this] {
    for (;;) {
      SleepMs(kHeartbeatMs);
      Register();
    }
  }).detach();
}

void Server::Register() {
  const json entry = {{"service", service_},
                      {"address", Address(port_)},
                      {"zone", "zone-a"},
                      {"version", "v1"},
                      {"slots", 64},
                      {"state", "ready"},
                      {"cold_remaining_ms", 0},
                      {"born", born_ms_},
                      {"sequence", ++sequence_}};
  store_->Put("servers", id_, entry.dump());
}

void Server::Serve(int fd) {
  MessageReader reader(fd);
  Message request;
  while (reader.Read(&request)) {
    const std::string expected = request.Header("wisteriareel-expect-instance");
    if (!expected.empty() && expected != id_) {
      SendAll(fd,
              "HTTP/1.1 421 Misdirected Request\r\nWisteriareel-Instance-Id: " +
                  id_ + "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (AnswerProbe(request, fd)) continue;
    if (!handler_(request, fd)) break;
  }
  close(fd);
}

Machine::Machine(std::uint16_t store_port, std::string name,
                 std::string directory, std::vector<std::uint16_t> seeds,
                 std::uint16_t peer_port)
    : name_(std::move(name)),
      log_(directory + "/" + name_ + ".log"),
      settings_(directory + "/" + name_ + ".json") {
  json seed_list = json::array();
  for (const std::uint16_t seed : seeds) {
    seed_list.push_back({{"address", Address(seed)}});
  }
  const json settings = {
      {"instance", {{"id", name_}, {"zone", "zone-a"}}},
      {"listen",
       {{"callers", Address(callers_port_)},
        {"ready", Address(ready_port_)},
        {"peers", Address(peer_port)}}},
      {"table", Address(store_port)},
      {"seeds", seed_list},
      {"repeats", {{"ratio", 0.2}, {"slack", 56}, {"window_s", 10}}},
      {"link_mbps", 1000},
      {"shutdown_grace_s", 8}};
  std::ofstream(settings_) << settings.dump(2);
}

Machine::~Machine() {
  Signal(SIGKILL);
  Wait();
}

bool Machine::Start(int log_fd) {
  const std::string option = "--settings=" + settings_;
  pid_ = fork();
  if (pid_ != 0) return pid_ > 0;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = log_fd >= 0
                      ? log_fd
                      : open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execl(kRouter, kRouter, option.c_str(), nullptr);
  _exit(127);
}

void Machine::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void Machine::Wait() {
  if (pid_ <= 0) return;
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool Machine::IsReady() const {
  return Call(ready_port_, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n",
              std::chrono::milliseconds(500))
             .status == 200;
}

bool Machine::WaitReady() const {
  for (int ms = 0; ms < kReadyTimeoutMs; ms += 50) {
    if (IsReady()) return true;
    SleepMs(50);
  }
  return false;
}

TemporaryFolder::TemporaryFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(name.data()) != nullptr) path_ = name;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ec;
  if (std::getenv("KEEP") == nullptr && !path_.empty()) {
    std::filesystem::remove_all(path_, ec);
  }
}

std::string RequestHead(const std::string& method, const std::string& path,
                        const std::string& id, int deadline_ms,
                        std::size_t length, const std::string& more) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\n"
         "Wisteriareel-Request-Id: " +
         id + "\r\nWisteriareel-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\n" + more +
         (method == "GET"
              ? ""
              : "Content-Length: " + std::to_string(length) + "\r\n") +
         "\r\n";
}

json Manifest(const json& route, const json& service, const json& tenant) {
  return {{"version", 7},
          {"routes", {route}},
          {"services", {service}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", {tenant}}};
}

bool AnswerProbe(const Message& request, int fd) {
  if (request.Word(0) != "GET") return false;
  std::string body;
  if (request.Word(1) == "/report") {
    body =
        R"({"stage":"colocated","models":[{"name":"m","version":1,)"
        R"("adapters":[]}],"busy":false,"sequence":2,"queued":0,"running":0,)"
        R"("kv_used":0,"kv_total":447736,"handles":0})";
  } else if (request.Word(1) != "/health") {
    return false;
  }
  SendAll(fd,
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
          "Content-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  return true;
}

}  // namespace review
