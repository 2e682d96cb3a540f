// Stand-ins for servers and clients, and the router processes of a case.
#ifndef WISTERIAREEL_REVIEW_STANDIN_3_FLEET_H_
#define WISTERIAREEL_REVIEW_STANDIN_3_FLEET_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <memory>
#include <set>

#include "store.h"
#include "util.h"

namespace review {

inline std::string Seal(const std::string& id) { return "seal." + id; }

// What a server has done with one request.
struct Run {
  std::string id;
  std::string server;
  std::string tenant;
  std::string path;
  std::string counts;
  std::string body;
  std::int64_t prompt = 0;
  std::int64_t began = 0;
  std::int64_t ended = 0;
  int events = 0;
  bool whole = false;
};

struct TargetOptions {
  std::string id;
  std::string service;
  std::string zone = "zone-a";
  bool is_engine = false;
  std::int64_t kv_capacity = 447736;
  std::int64_t stride = 5;
  std::int64_t event_ms = 20;
};

// A server. Streams on an engine: the path ends with the number of events.
// Other requests: the path ends with the milliseconds of work.
class Target : public Server {
 public:
  Target(TargetOptions options, Store* store, Record* record)
      : options_(std::move(options)),
        store_(store),
        record_(record),
        born_(UnixMs()) {}

  bool Start() {
    port_ = Open(0);
    if (port_ == 0) return false;
    Beat();
    beats_ = std::thread([this] {
      while (!ended_) {
        for (int n = 0; n < 120 && !ended_; ++n) SleepMs(10);
        if (!ended_) Beat();
      }
    });
    beats_.detach();
    return true;
  }

  // Reports `draining`. Serves until Leave.
  void Drain() {
    draining_ = true;
    Beat();
  }
  // Ends: its entry is removed, its port closed.
  void Leave() {
    ended_ = true;
    const std::lock_guard<std::mutex> lock(beat_mutex_);
    store_->Put("servers", options_.id, std::nullopt);
    ClosePort(port_);
  }

  const std::string& id() const { return options_.id; }
  int port() const { return port_; }
  std::vector<Run> runs() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }
  // Time of the last report to the store, received or not.
  std::int64_t last_beat() const { return last_beat_; }
  // Number of requests that reached this server, reports excepted.
  int arrivals() const { return arrivals_; }

  // Further fields of all responses, such as "Server-Leaving: 1\r\n".
  void SetFields(const std::string& fields) {
    const std::lock_guard<std::mutex> lock(mutex_);
    fields_ = fields;
  }

  // Called when a request arrives that this server runs.
  std::function<void(const Run&)> on_run;
  // If set, answers in place of this server.
  std::function<std::optional<bool>(const Message&, int fd)> answer;

 private:
  void Beat() {
    const std::lock_guard<std::mutex> lock(beat_mutex_);
    if (ended_) return;
    json entry = {{"service", options_.service},
                  {"address", "127.0.0.1:" + std::to_string(port_)},
                  {"zone", options_.zone},
                  {"version", "v1"},
                  {"slots", options_.is_engine ? 64 : 6},
                  {"state", draining_ ? "draining" : "ready"},
                  {"cold_remaining_ms", 0},
                  {"born", born_},
                  {"sequence", ++sequence_}};
    store_->Put("servers", options_.id, entry.dump());
    last_beat_ = NowMs();
  }

  std::string Fields() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return fields_;
  }

  // Waits; returns false if the client has closed its connection.
  bool Work(int fd, std::int64_t ms) {
    const std::int64_t until = NowMs() + ms;
    for (;;) {
      const std::int64_t left = until - NowMs();
      if (left <= 0) return true;
      pollfd entry{.fd = fd, .events = POLLIN, .revents = 0};
      if (poll(&entry, 1, static_cast<int>(left)) <= 0) continue;
      char byte = 0;
      if (recv(fd, &byte, 1, MSG_PEEK) <= 0) return false;
      SleepMs(until - NowMs());
    }
  }

  bool Handle(const Message& request, int fd, int) override {
    const std::string path = request.Word(1);
    const std::string id = request.Field("wisteriareel-request-id");
    if (answer) {
      if (const auto open = answer(request, fd); open.has_value()) return *open;
    }
    if (path == "/report") {
      const std::string body = json{
          {"stage", "colocated"},
          {"models",
           {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
          {"busy", false},
          {"sequence", 0},
          {"queued", 0},
          {"running", running_.load()},
          {"kv_used", 0},
          {"kv_total", options_.kv_capacity},
          {"handles", 0}}.dump();
      return SendAll(
          fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
                  Fields() + "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
    }
    const std::string echo =
        "Wisteriareel-Request-Id: " + id + "\r\n" + Fields();
    ++arrivals_;
    const std::string expected = request.Field("wisteriareel-expect-instance");
    if (!expected.empty() && expected != options_.id) {
      return SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\n" + echo +
                             "Wisteriareel-Instance-Id: " + options_.id +
                             "\r\nContent-Length: 0\r\n\r\n");
    }
    if (id.empty()) {
      return SendAll(fd,
                     "HTTP/1.1 400 Bad Request\r\nWisteriareel-Not-Executed: "
                     "1\r\nContent-Length: 0\r\n\r\n");
    }
    Run run{.id = id,
            .server = options_.id,
            .tenant = request.Field("wisteriareel-tenant"),
            .path = path,
            .counts = request.Field("wisteriareel-token-counts"),
            .body = request.body,
            .began = NowMs()};
    std::int64_t output = INT64_MAX;
    if (options_.is_engine) {
      const std::size_t comma = run.counts.find(',');
      run.prompt = atoll(run.counts.c_str());
      if (comma != std::string::npos)
        output = atoll(run.counts.c_str() + comma + 1);
      // Larger than the memory: rejected as if the server were full.
      if (run.prompt > options_.kv_capacity ||
          output > options_.kv_capacity - run.prompt) {
        record_->Add("server " + options_.id + " rejects " + id + " (" +
                     run.counts + ") as larger than its memory");
        return SendAll(fd, "HTTP/1.1 503 Service Unavailable\r\n" + echo +
                               "Wisteriareel-Not-Executed: 1\r\n"
                               "Content-Length: 0\r\n\r\n");
      }
    }
    if (on_run) on_run(run);
    record_->Add("server " + options_.id + " runs " + id + " " + path +
                 (run.tenant.empty() ? "" : " tenant " + run.tenant) +
                 (run.counts.empty() ? "" : " counts " + run.counts));
    std::size_t index = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      index = runs_.size();
      runs_.push_back(run);
    }
    ++running_;
    const bool open = options_.is_engine
                          ? Stream(request, fd, echo, output, index)
                          : Plain(request, fd, echo, index);
    --running_;
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[index].ended = NowMs();
    return open;
  }

  static int Number(const std::string& path) {
    const std::size_t end = path.find('?');
    const std::string plain = path.substr(0, end);
    return atoi(plain.substr(plain.rfind('/') + 1).c_str());
  }

  bool Plain(const Message& request, int fd, const std::string& echo,
             std::size_t index) {
    const std::string id = request.Field("wisteriareel-request-id");
    if (!Work(fd, Number(request.Word(1)))) return false;
    const std::string body = "answer to " + id + "\n";
    const bool sent =
        SendAll(fd, "HTTP/1.1 200 OK\r\n" + echo +
                        "Wisteriareel-Response-Seal: " + Seal(id) +
                        "\r\nContent-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body);
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[index].whole = sent;
    return sent;
  }

  bool Stream(const Message& request, int fd, const std::string& echo,
              std::int64_t output, std::size_t index) {
    const std::string id = request.Field("wisteriareel-request-id");
    const std::int64_t most = output / options_.stride;
    const std::int64_t events =
        std::min<std::int64_t>(Number(request.Word(1)), most);
    if (!Work(fd, options_.event_ms)) return false;
    if (!SendAll(fd, "HTTP/1.1 200 OK\r\n" + echo +
                         "Wisteriareel-Response-Seal: " + Seal(id) +
                         "\r\nContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    const std::string from = request.Field("last-event-id");
    for (std::int64_t n = atoll(from.c_str()) + 1; n <= events; ++n) {
      if (!Work(fd, options_.event_ms)) return false;
      if (!SendAll(fd, Chunk("id: " + std::to_string(n) + "\ndata: " + id +
                             " " + std::to_string(n) + "\n\n"))) {
        return false;
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_[index].events = static_cast<int>(n);
    }
    const bool sent = SendAll(fd, "0\r\n\r\n");
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[index].whole = sent;
    return sent;
  }

  const TargetOptions options_;
  Store* const store_;
  Record* const record_;
  const std::int64_t born_;
  int port_ = 0;
  std::mutex beat_mutex_;
  std::atomic<int> sequence_{0};
  std::atomic<std::int64_t> last_beat_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> ended_{false};
  std::atomic<int> running_{0};
  std::atomic<int> arrivals_{0};
  std::thread beats_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::string fields_;
};

// One router process, with settings as the platform renders them.
class Router {
 public:
  Router(int index, std::string folder, int store_port)
      : index_(index),
        name_("front-a-" + std::to_string(index + 1)),
        folder_(std::move(folder)),
        store_port_(store_port),
        callers_(FreePort()),
        ready_(FreePort()),
        peers_(FreePort()) {}
  ~Router() { Kill(); }

  const std::string& name() const { return name_; }
  int callers() const { return callers_; }
  int peers() const { return peers_; }
  pid_t pid() const { return pid_; }

  bool Start(const std::vector<int>& seeds) {
    json seed_list = json::array();
    for (const int port : seeds) {
      seed_list.push_back({{"address", At(port)}});
    }
    const json settings = {
        {"instance", {{"id", name_}, {"zone", "zone-a"}}},
        {"listen",
         {{"callers", At(callers_)},
          {"ready", At(ready_)},
          {"peers", At(peers_)}}},
        {"table", At(store_port_)},
        {"seeds", seed_list},
        {"repeats", {{"ratio", 0.2}, {"slack", 56}, {"window_s", 10}}},
        {"link_mbps", 1000},
        {"machine", {{"memory_mb", 110}, {"max_descriptors", 4100}}},
        {"shutdown_grace_s", 8}};
    const std::string path = folder_ + "/" + name_ + ".json";
    FILE* file = fopen(path.c_str(), "w");
    if (file == nullptr) return false;
    fputs(settings.dump(1).c_str(), file);
    fclose(file);
    const std::string log = folder_ + "/" + name_ + ".log";
    const std::string argument = "--settings=" + path;
    pid_ = fork();
    if (pid_ != 0) return pid_ > 0;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    const char* program = getenv("ROUTER");
    if (program == nullptr) program = "target/wisteriareel-router";
    execl(program, program, argument.c_str(), nullptr);
    _exit(127);
  }

  void Signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  // Returns the status of a process that has ended, or nullopt.
  std::optional<int> Ended() {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = 0;
      return status;
    }
    return std::nullopt;
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  bool IsReady() const {
    const Socket socket = Connect(ready_);
    if (!socket.ok() ||
        !SendAll(socket.fd(), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return false;
    }
    Message reply;
    return Reader(socket.fd()).Read(NowMs() + 500, &reply, true) ==
               End::kComplete &&
           reply.Status() == 200;
  }
  bool AwaitReady(std::int64_t ms) const {
    for (const std::int64_t until = NowMs() + ms; NowMs() < until;
         SleepMs(50)) {
      if (IsReady()) return true;
    }
    return false;
  }

 private:
  static std::string At(int port) {
    return "127.0.0.1:" + std::to_string(port);
  }

  const int index_;
  const std::string name_;
  const std::string folder_;
  const int store_port_;
  const int callers_;
  const int ready_;
  const int peers_;
  pid_t pid_ = 0;
};

struct Call {
  std::string id;
  std::string method = "POST";
  std::string path;
  std::string key;
  std::string counts;
  std::string prefix;
  std::string body;
  std::int64_t deadline_ms = 5000;
  std::string more_fields;
};

struct Answer {
  int status = 0;
  End end = End::kClosed;
  Message message;
  std::int64_t sent = 0;
  std::int64_t ended = 0;
  int events = 0;
};

inline int CountEvents(const std::string& body) {
  int events = 0;
  for (std::size_t at = body.find("id: "); at != std::string::npos;
       at = body.find("id: ", at + 4)) {
    if (body.find("\n\n", at) != std::string::npos) ++events;
  }
  return events;
}

inline std::string NewId() {
  static std::atomic<unsigned> next{1};
  char id[32];
  snprintf(id, sizeof(id), "%08x%08x",
           static_cast<unsigned>(UnixMs() & 0xffffffff), next++);
  return id;
}

inline std::string Format(const Call& call, const std::string& host) {
  std::string text =
      call.method + " " + call.path + " HTTP/1.1\r\nHost: " + host +
      "\r\nWisteriareel-Request-Id: " + call.id +
      "\r\nWisteriareel-Deadline-Ms: " + std::to_string(call.deadline_ms) +
      "\r\n";
  if (!call.counts.empty()) {
    text +=
        "Wisteriareel-Model: m\r\nWisteriareel-Token-Counts: " + call.counts +
        "\r\nWisteriareel-Prompt-Prefix: " + call.prefix + "\r\n";
  }
  if (!call.key.empty()) text += "X-Api-Key: " + call.key + "\r\n";
  text += call.more_fields;
  if (call.method != "GET" || !call.body.empty()) {
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  return text + "\r\n" + call.body;
}

// Sends one request on a connection of its own.
inline Answer Send(int port, const Call& call, Record* record) {
  Answer answer{.sent = NowMs()};
  const Socket socket = Connect(port);
  if (socket.ok() && SendAll(socket.fd(), Format(call, "svc.example"))) {
    answer.end = Reader(socket.fd())
                     .Read(NowMs() + call.deadline_ms, &answer.message, true);
    answer.status = answer.message.Status();
  }
  answer.ended = NowMs();
  answer.events = CountEvents(answer.message.body);
  record->Add("client " + call.id + " " + call.method + " " + call.path +
              (call.counts.empty() ? "" : " counts " + call.counts) + " -> " +
              std::to_string(answer.status) + " " + EndName(answer.end) +
              " after " + std::to_string(answer.ended - answer.sent) + " ms" +
              (answer.events > 0
                   ? ", " + std::to_string(answer.events) + " events"
                   : ""));
  return answer;
}

// The manifest of a small installation: streams on an engine, and plain
// requests on an application.
inline json Manifest(int version, std::int64_t prepaid) {
  return {{"version", version},
          {"routes",
           {{{"name", "r-gen"},
             {"host", "svc.example"},
             {"prefix", "/gen/"},
             {"kind", "streaming"},
             {"timeout_ms", 8000},
             {"target_latency_ms", 600},
             {"priority", 0},
             {"service", "engine"},
             {"attempts", 1},
             {"public", false},
             {"sticky", true},
             {"resumable", false},
             {"gap_aim_ms", 250}},
            {{"name", "r-write"},
             {"host", "svc.example"},
             {"prefix", "/write/"},
             {"kind", "non_idempotent"},
             {"timeout_ms", 4000},
             {"target_latency_ms", 150},
             {"priority", 2},
             {"service", "app"},
             {"attempts", 1},
             {"public", false},
             {"sticky", false},
             {"resumable", false}},
            {{"name", "r-read"},
             {"host", "svc.example"},
             {"prefix", "/read/"},
             {"kind", "idempotent"},
             {"timeout_ms", 4000},
             {"target_latency_ms", 150},
             {"priority", 2},
             {"service", "app"},
             {"attempts", 2},
             {"public", false},
             {"sticky", false},
             {"resumable", false}}}},
          {"services",
           {{{"name", "engine"},
             {"health_path", "/health"},
             {"max_connections", 370},
             {"protocol", "h1"},
             {"tls", false},
             {"engine",
              {{"slots", 64},
               {"kv_capacity", 447736},
               {"token_kv_bytes", 18432},
               {"link_mbps", 370000.0},
               {"moves", true},
               {"backups", true},
               {"stride", 5},
               {"most", 12},
               {"pin_ms", 4000.0},
               {"hold_ms", 2000.0},
               {"handle_s", 5.0},
               {"models", {{{"name", "m"}}}}}}},
            {{"name", "app"},
             {"health_path", "/health"},
             {"max_connections", 110},
             {"protocol", "h1"},
             {"tls", false}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           {{{"name", "hule930"},
             {"api_keys", {"key-one"}},
             {"priority", 1},
             {"prepaid", prepaid}},
            {{"name", "mabo112"},
             {"api_keys", {"key-two"}},
             {"priority", 1},
             {"prepaid", 6114644}}}}};
}

inline bool Trouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || strcmp(value, "0") != 0;
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

}  // namespace review

#endif  // WISTERIAREEL_REVIEW_STANDIN_3_FLEET_H_
