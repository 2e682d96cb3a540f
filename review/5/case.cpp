// MIXED: a stream stalls after its first events and no server is left that the
// request wasn't sent to. The router writes the head of a 503 of its own into
// the body that it has begun.

#include <sys/socket.h>

#include <atomic>

#include "review/standin/fleet.h"

namespace review {
namespace {

constexpr int kDeadlineMs = 8'000;
constexpr int kRequests = 10;
// The first server is full when this request arrives, and the second one stalls
// in its stream.
constexpr int kStalledRequest = 5;
constexpr int kEvents = 24;
constexpr int kEventIntervalMs = 10;
constexpr int kEventsBeforeStall = 8;

class Engines {
 public:
  explicit Engines(Record* record) : record_(record) {}

  // Serves a request. The engine that gets it first is full.
  bool Serve(const std::string& server, const Message& request, int fd) {
    const std::string id = request.Header("wisteriareel-request-id");
    const bool troubled = id == "stream-" + std::to_string(kStalledRequest);
    if (troubled && arrivals_++ == 0) {
      record_->Write("server " + server + " is full and doesn't run " + id);
      return SendAll(fd,
                     "HTTP/1.1 503 Service Unavailable\r\n"
                     "Wisteriareel-Request-Id: " +
                         id +
                         "\r\nWisteriareel-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
    }
    const std::string last = request.Header("last-event-id");
    record_->Write("server " + server + " runs " + id +
                   (last.empty() ? "" : " after event " + last));
    SendAll(fd, "HTTP/1.1 200 OK\r\nWisteriareel-Request-Id: " + id +
                    "\r\nWisteriareel-Response-Seal: s." + id +
                    "\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
    for (int n = last.empty() ? 1 : std::stoi(last) + 1; n <= kEvents; ++n) {
      if (troubled && HasTrouble() && n > kEventsBeforeStall) {
        record_->Write("server " + server + " stalls in " + id);
        // Stays silent until the router closes the connection.
        char byte = 0;
        recv(fd, &byte, 1, 0);
        record_->Write("server " + server + " finds the connection of " + id +
                       " closed");
        return false;
      }
      const std::string event =
          "id: " + std::to_string(n) + "\ndata: token\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      SendAll(fd, size + event + "\r\n");
      SleepMs(kEventIntervalMs);
    }
    return SendAll(fd, "0\r\n\r\n");
  }

 private:
  Record* const record_;
  std::atomic<int> arrivals_ = 0;
};

std::string Escape(const std::string& bytes) {
  std::string out;
  for (const char c : bytes) {
    if (c == '\r') {
      out += "\\r";
    } else if (c == '\n') {
      out += "\\n";
    } else {
      out += c;
    }
  }
  return out;
}

int Run(const std::string& record_path) {
  // The threads of the stand-ins use static objects until the process ends.
  static Record record(record_path);
  static Store store;
  static Engines engines(&record);
  const TemporaryFolder folder;
  store.Put(
      "op", "config",
      Manifest(
          {{"name", "stream"},
           {"host", "h.example"},
           {"prefix", "/r/"},
           {"kind", "streaming"},
           {"timeout_ms", 8000},
           {"target_latency_ms", 600},
           {"priority", 0},
           {"service", "engines"},
           {"attempts", 3},
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
  const auto make_handler = [](const std::string& id) {
    return [id](const Message& request, int fd) {
      return engines.Serve(id, request, fd);
    };
  };
  static const Server first(&store, "i-1", "engines", make_handler("i-1"));
  static const Server second(&store, "i-2", "engines", make_handler("i-2"));
  const std::uint16_t peers = FreePort();
  Machine machine(store.port(), "front-a-1", folder.path(), {peers}, peers);
  if (!machine.Start() || !machine.WaitReady()) return kCannotRun;
  SleepMs(6000);

  int malformed = 0;
  int whole = 0;
  for (int n = 0; n < kRequests; ++n) {
    const std::string id = "stream-" + std::to_string(n);
    record.Write("client sends " + id);
    const ClientResponse response =
        Call(machine.callers_port(),
             RequestHead("POST", "/r/1", id, kDeadlineMs, 2,
                         "Wisteriareel-Model: m\r\n"
                         "Wisteriareel-Token-Counts: 1110,150\r\n"
                         "Wisteriareel-Prompt-Prefix: a1:350,b" +
                             std::to_string(n) + ":760\r\n") +
                 "hi",
             std::chrono::milliseconds(kDeadlineMs + 500));
    record.Write("client got " + id + ": status " +
                 std::to_string(response.status) +
                 (response.complete ? ", complete" : ", incomplete"));
    if (response.malformed) {
      ++malformed;
      record.Write("instead of the next chunk of " + id +
                   " the client got: " + Escape(response.malformed_bytes));
    }
    if (response.complete && response.status == 200) ++whole;
  }
  record.Write(std::to_string(whole) + " whole streams, " +
               std::to_string(malformed) +
               " with bytes that are no answer in the protocol");
  if (malformed > 0) return kBroken;
  return whole >= kRequests - 1 ? kHeld : kCannotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const int code = argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
  std::_Exit(code);
}
