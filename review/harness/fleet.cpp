#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <thread>
#include <utility>

#include "nlohmann/json.hpp"

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// The command of the deploy file, apart from the path of the settings.
constexpr char kProgram[] = "target/wisteriareel-router";

std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

int CountEvents(const std::string& body) {
  int n = 0;
  for (std::size_t at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2)) {
    ++n;
  }
  return n;
}

// Reads a body in chunks. Returns true if its end arrived.
bool ReadChunks(Connection* connection, SteadyTime deadline,
                std::string* body) {
  std::string& buffer = connection->buffer();
  for (;;) {
    std::size_t line = 0;
    while ((line = buffer.find("\r\n")) == std::string::npos) {
      if (!connection->Fill(deadline)) return false;
    }
    const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
    while (buffer.size() < line + 2 + size + 2) {
      if (!connection->Fill(deadline)) return false;
    }
    body->append(buffer, line + 2, size);
    buffer.erase(0, line + 2 + size + 2);
    if (size == 0) return true;
  }
}

}  // namespace

Router::Router(RouterOptions options) : options_(std::move(options)) {
  settings_ = options_.folder + "/" + options_.id + ".json";
  json seeds = json::array();
  for (const int port : options_.seed_ports) {
    seeds.push_back({{"address", Loopback(port)}});
  }
  // The fields of deploy/router.json.template with the figures of a small
  // deployment.
  std::ofstream(settings_) << json{
      {"instance", {{"id", options_.id}, {"zone", options_.zone}}},
      {"listen",
       {{"callers", Loopback(options_.callers_port)},
        {"ready", Loopback(options_.ready_port)},
        {"peers", Loopback(options_.peers_port)}}},
      {"table", Loopback(options_.store_port)},
      {"seeds", seeds},
      {"repeats", {{"ratio", 0.2}, {"slack", 56}, {"window_s", 10}}},
      {"link_mbps", 1000.0},
      {"machine", {{"memory_mb", 110}, {"max_descriptors", 4100}}},
      {"shutdown_grace_s", 8}}.dump(1);
}

Router::~Router() { Kill(); }

void Router::Start() {
  const std::string log = options_.folder + "/" + options_.id + "." +
                          std::to_string(++starts_) + ".log";
  const std::string argument = "--settings=" + settings_;
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  execl(kProgram, kProgram, argument.c_str(), nullptr);
  _exit(127);
}

bool Router::IsReady() const {
  const auto connection =
      Connection::Open(options_.ready_port, milliseconds(200));
  if (connection == nullptr ||
      !connection->Write("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")) {
    return false;
  }
  const auto head = connection->ReadHead(std::chrono::steady_clock::now() +
                                         milliseconds(500));
  return head.has_value() && head->status == 200;
}

bool Router::WaitUntilReady(milliseconds timeout) const {
  const SteadyTime end = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < end) {
    if (IsReady()) return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

void Router::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void Router::WaitForEnd(milliseconds timeout) {
  const SteadyTime end = std::chrono::steady_clock::now() + timeout;
  while (IsRunning() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  Kill();
}

void Router::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool Router::IsRunning() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  pid_ = 0;
  return false;
}

CallerReply Call(const CallerRequest& request) {
  const SteadyTime deadline =
      std::chrono::steady_clock::now() + request.deadline;
  CallerReply reply;
  const auto connection = Connection::Open(
      request.port, std::min(request.deadline, milliseconds(1000)));
  if (connection == nullptr) return reply;
  std::string head = request.method + " " + request.target +
                     " HTTP/1.1\r\nHost: " + request.host +
                     "\r\nWisteriareel-Request-Id: " + request.id +
                     "\r\nWisteriareel-Deadline-Ms: " +
                     std::to_string(request.deadline.count()) + "\r\n";
  if (!request.api_key.empty())
    head += "X-Api-Key: " + request.api_key + "\r\n";
  if (!request.token_counts.empty()) {
    head += "Wisteriareel-Model: m\r\nWisteriareel-Token-Counts: " +
            request.token_counts + "\r\n";
  }
  if (!request.prompt_prefix.empty()) {
    head += "Wisteriareel-Prompt-Prefix: " + request.prompt_prefix + "\r\n";
  }
  head += "Content-Length: " + std::to_string(request.body.size()) +
          "\r\n\r\n" + request.body;
  if (!connection->Write(head)) return reply;
  const auto response = connection->ReadHead(deadline);
  if (!response.has_value()) return reply;
  reply.status = response->status;
  reply.sealed = !response->Header("Wisteriareel-Response-Seal").empty();
  reply.retry_after_s = std::atof(response->Header("Retry-After").c_str());
  if (response->Header("Transfer-Encoding") == "chunked") {
    reply.complete = ReadChunks(connection.get(), deadline, &reply.body);
  } else {
    const auto length = static_cast<std::size_t>(
        std::atoll(response->Header("Content-Length").c_str()));
    while (connection->buffer().size() < length && connection->Fill(deadline)) {
    }
    reply.body = connection->buffer().substr(0, length);
    reply.complete = reply.body.size() == length;
  }
  reply.events = CountEvents(reply.body);
  return reply;
}

std::string MakeTemporaryFolder() {
  const char* base = std::getenv("TMPDIR");
  std::string path = std::string(base == nullptr ? "/tmp" : base) +
                     "/wisteriareel-review-XXXXXX";
  return mkdtemp(path.data()) == nullptr ? "." : path;
}

bool WantsTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

}  // namespace review
