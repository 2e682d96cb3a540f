// LOST: a machine that is told to stop takes a stream between 3 s and 3.5 s
// after the SIGTERM, passes it on to a server, and cuts it off when its grace
// is over.

#include <signal.h>
#include <unistd.h>

#include <algorithm>

#include "review/standin/fleet.h"

namespace review {
namespace {

constexpr int kDeadlineMs = 10'000;
// The stream takes 6 s, within the time limits of client and route.
constexpr int kEvents = 30;
constexpr int kEventIntervalMs = 200;
// Time from the SIGTERM to the request, on a connection that is open since
// before.
constexpr int kSendAfterTermMs = 3'250;
constexpr int kConnections = 4;

std::string StreamRequest(const std::string& id) {
  return RequestHead("POST", "/r/1", id, kDeadlineMs, 2,
                     "Wisteriareel-Model: m\r\n"
                     "Wisteriareel-Token-Counts: 1110,150\r\n"
                     "Wisteriareel-Prompt-Prefix: a1:350,b" +
                         id + ":760\r\n") +
         "hi";
}

bool ServeStream(const Message& request, int fd, Record* record) {
  const std::string id = request.Header("wisteriareel-request-id");
  const bool is_short = id.starts_with("first-");
  const int events = is_short ? 1 : kEvents;
  record->Write("server runs " + id);
  SendAll(fd, "HTTP/1.1 200 OK\r\nWisteriareel-Request-Id: " + id +
                  "\r\nWisteriareel-Response-Seal: s." + id +
                  "\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  for (int n = 1; n <= events; ++n) {
    if (!is_short) SleepMs(kEventIntervalMs);
    const std::string event = "id: " + std::to_string(n) + "\ndata: token\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!SendAll(fd, size + event + "\r\n")) {
      record->Write("server finds the connection of " + id + " closed after " +
                    std::to_string(n) + " events");
      return false;
    }
  }
  record->Write("server has sent all events of " + id);
  return SendAll(fd, "0\r\n\r\n");
}

int Run(const std::string& record_path) {
  // The threads of the stand-ins use static objects until the process ends.
  static Record record(record_path);
  static Store store;
  const TemporaryFolder folder;
  store.Put(
      "op", "config",
      Manifest(
          {{"name", "stream"},
           {"host", "h.example"},
           {"prefix", "/r/"},
           {"kind", "streaming"},
           {"timeout_ms", 10000},
           {"target_latency_ms", 1200},
           {"priority", 2},
           {"service", "engines"},
           {"attempts", 2},
           {"public", false},
           {"sticky", true},
           {"resumable", true},
           {"gap_aim_ms", 250}},
          {{"name", "engines"},
           {"health_path", "/health"},
           {"max_connections", 370},
           {"protocol", "h1"},
           {"tls", false},
           {"engine", {{"slots", 64}, {"kv_capacity", 447736}, {"stride", 5}}}},
          {{"name", "tenant"}, {"api_keys", {"key"}}, {"prepaid", 10'000'000}})
          .dump());
  const auto serve = [](const Message& request, int fd) {
    return ServeStream(request, fd, &record);
  };
  static const Server first(&store, "i-1", "engines", serve);
  static const Server second(&store, "i-2", "engines", serve);
  const std::vector<std::uint16_t> peers = {FreePort(), FreePort()};
  Machine machine(store.port(), "front-a-1", folder.path(), peers, peers[0]);
  Machine other(store.port(), "front-a-2", folder.path(), peers, peers[1]);
  if (!machine.Start() || !other.Start() || !machine.WaitReady() ||
      !other.WaitReady()) {
    return kCannotRun;
  }
  SleepMs(6000);

  // The connections serve a request each and are kept open.
  std::vector<int> connections;
  for (int n = 0; n < kConnections; ++n) {
    const int fd = Connect(machine.callers_port());
    const std::string id = "first-" + std::to_string(n);
    if (fd < 0 || !SendAll(fd, StreamRequest(id))) return kCannotRun;
    const ClientResponse response =
        ReadResponse(fd, SteadyClock::now() + std::chrono::seconds(5));
    record.Write("client got " + id + ": status " +
                 std::to_string(response.status) +
                 (response.complete ? ", complete" : ", incomplete"));
    if (!response.complete || response.status != 200) return kCannotRun;
    connections.push_back(fd);
  }
  const auto term = SteadyClock::now();
  if (HasTrouble()) {
    record.Write("SIGTERM to front-a-1");
    machine.Signal(SIGTERM);
  }
  SleepMs(kSendAfterTermMs);
  for (int n = 0; n < kConnections; ++n) {
    const std::string id = "stream-" + std::to_string(n);
    const bool sent = SendAll(connections[n], StreamRequest(id));
    record.Write("client sends " + id + (sent ? "" : ": connection closed"));
  }
  int lost = 0;
  int answered = 0;
  for (int n = 0; n < kConnections; ++n) {
    const ClientResponse response = ReadResponse(
        connections[n],
        term + std::chrono::milliseconds(kSendAfterTermMs + kDeadlineMs));
    record.Write("client got stream-" + std::to_string(n) + ": status " +
                 std::to_string(response.status) +
                 (response.complete ? ", complete, " : ", incomplete, ") +
                 std::to_string(std::count(response.message.body.begin(),
                                           response.message.body.end(), '\n') /
                                3) +
                 " events");
    if (response.complete) {
      ++answered;
    } else if (response.status == 200) {
      ++lost;
    }
    close(connections[n]);
  }
  record.Write(std::to_string(answered) + " complete answers, " +
               std::to_string(lost) + " cut off");
  if (lost > 0) return kBroken;
  return answered > 0 ? kHeld : kCannotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const int code = argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
  std::_Exit(code);
}
