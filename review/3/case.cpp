// BUDGET: a machine uses tokens that it holds while the store is away, and is
// killed. Its next process states in a heartbeat that it keeps to the amounts
// in the store, although it couldn't read the row of this tenant yet, and is
// killed too. The process after that counts the used tokens as unused.

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "review/standin/fleet.h"

namespace review {
namespace {

constexpr std::int64_t kPrepaid = 1'000'000;
constexpr std::int64_t kPromptTokens = 1'900;
constexpr std::int64_t kTokensPerEvent = 5;
constexpr int kEvents = 20;
constexpr std::int64_t kOutputTokens = kEvents * kTokensPerEvent;
// Time between two requests.
constexpr int kRequestIntervalMs = 50;
constexpr int kMachines = 3;

// Times after the start of the requests. The store turns one machine away for
// 4.5 s, and after that one of its partitions, with the tenant's budget, is
// away for 3.5 s.
constexpr int kOutageMs = 5'000;
constexpr int kFirstKillMs = 9'000;
constexpr int kPartialOutageMs = 9'500;
constexpr int kFirstRestartMs = 9'800;
constexpr int kSecondKillMs = 11'300;
constexpr int kSecondRestartMs = 12'100;
constexpr int kOutageEndMs = 13'000;
constexpr int kEndMs = 50'000;

// The tokens that each request consumed.
class Meter {
 public:
  void AddRun(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ran_.insert(id);
  }
  void AddEvents(const std::string& id, std::int64_t events) {
    const std::lock_guard lock(mutex_);
    events_[id] += events;
  }
  std::int64_t Total() {
    const std::lock_guard lock(mutex_);
    std::int64_t total = static_cast<std::int64_t>(ran_.size()) * kPromptTokens;
    for (const auto& [id, events] : events_) total += events * kTokensPerEvent;
    return total;
  }

 private:
  std::mutex mutex_;
  std::set<std::string> ran_;
  std::map<std::string, std::int64_t> events_;
};

std::int64_t CountEvents(const std::string& body) {
  std::int64_t count = 0;
  for (std::size_t at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

void SendChunk(int fd, const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  SendAll(fd, size + bytes + "\r\n");
}

bool ServeStream(const Message& request, int fd, Record* record, Meter* meter) {
  const std::string id = request.Header("wisteriareel-request-id");
  record->Write("server runs " + id);
  meter->AddRun(id);
  SendAll(fd, "HTTP/1.1 200 OK\r\nWisteriareel-Request-Id: " + id +
                  "\r\nWisteriareel-Response-Seal: s." + id +
                  "\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  const std::string last = request.Header("last-event-id");
  for (int n = last.empty() ? 1 : std::stoi(last) + 1; n <= kEvents; ++n) {
    SendChunk(fd, "id: " + std::to_string(n) + "\ndata: token\n\n");
    SleepMs(2);
  }
  return SendAll(fd, "0\r\n\r\n");
}

// Returns the index of the machine that drew the tenant's tokens.
int FindLeader(Store* store) {
  int leader = 0;
  std::int64_t most = -1;
  for (int n = 0; n < kMachines; ++n) {
    const std::string row = store->Get(
        "budgets", "tenant", "holder/front-a-" + std::to_string(n + 1));
    const std::int64_t granted = std::atoll(row.c_str());
    if (granted <= most) continue;
    most = granted;
    leader = n;
  }
  return leader;
}

int Run(const std::string& record_path) {
  // The threads of the stand-ins use static objects until the process ends.
  static Record record(record_path);
  static Store store;
  static Meter meter;
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
           {"engine",
            {{"slots", 64},
             {"kv_capacity", 447736},
             {"stride", kTokensPerEvent}}}},
          {{"name", "tenant"}, {"api_keys", {"key"}}, {"prepaid", kPrepaid}})
          .dump());
  const auto serve = [](const Message& request, int fd) {
    return ServeStream(request, fd, &record, &meter);
  };
  static const Server first(&store, "i-1", "engines", serve);
  static const Server second(&store, "i-2", "engines", serve);

  std::vector<std::uint16_t> peers;
  for (int n = 0; n < kMachines; ++n) peers.push_back(FreePort());
  static std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::uint16_t> store_ports;
  for (int n = 0; n < kMachines; ++n) {
    store_ports.push_back(store.AddPort());
    machines.push_back(std::make_unique<Machine>(
        store_ports.back(), "front-a-" + std::to_string(n + 1), folder.path(),
        peers, peers[n]));
    if (!machines.back()->Start()) return kCannotRun;
  }
  for (const auto& machine : machines) {
    if (!machine->WaitReady()) return kCannotRun;
  }
  SleepMs(6000);

  const auto started = SteadyClock::now();
  const auto elapsed_ms = [started] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               SteadyClock::now() - started)
        .count();
  };
  static std::atomic<int> open_requests = 0;
  static std::atomic<int> refused_402 = 0;
  static std::atomic<int> answered = 0;
  std::thread clients([&] {
    for (int n = 0; elapsed_ms() < kEndMs; ++n) {
      SleepMs(kRequestIntervalMs);
      ++open_requests;
      std::thread([n] {
        const std::string id = "stream-" + std::to_string(n);
        const std::string head =
            RequestHead("POST", "/r/1", id, 8000, 2,
                        "Wisteriareel-Model: m\r\nWisteriareel-Token-Counts: " +
                            std::to_string(kPromptTokens) + "," +
                            std::to_string(kOutputTokens) +
                            "\r\nWisteriareel-Prompt-Prefix: a1:1500,b" +
                            std::to_string(n) + ":400\r\n");
        const Machine& machine = *machines[n % kMachines];
        const ClientResponse response =
            Call(machine.callers_port(), head + "hi",
                 std::chrono::milliseconds(8500));
        const std::int64_t events =
            response.status == 200 ? CountEvents(response.message.body) : 0;
        meter.AddEvents(id, events);
        if (response.status == 402) ++refused_402;
        if (response.status == 200) ++answered;
        record.Write("client got " + id + ": status " +
                     std::to_string(response.status) + ", " +
                     std::to_string(events) + " events");
        --open_requests;
      }).detach();
    }
  });
  const auto wait_until = [&](int ms) {
    SleepMs(static_cast<int>(std::max<std::int64_t>(0, ms - elapsed_ms())));
  };
  const auto note = [&](const std::string& text) {
    record.Write(
        text + "; " + std::to_string(meter.Total()) +
        " tokens consumed; rows of the tenant: pool " +
        store.Get("budgets", "tenant", "pool") + ", front-a-1 " +
        store.Get("budgets", "tenant", "holder/front-a-1") + ", front-a-2 " +
        store.Get("budgets", "tenant", "holder/front-a-2") + ", front-a-3 " +
        store.Get("budgets", "tenant", "holder/front-a-3"));
  };
  if (HasTrouble()) {
    wait_until(kOutageMs);
    const int index = FindLeader(&store);
    Machine& leader = *machines[index];
    note("the store turns the leader away, front-a-" +
         std::to_string(index + 1));
    store.SetFault([port = store_ports[index]](const StoreCall& call) {
      return call.port == port ? StoreFault::kUnavailable : StoreFault::kNone;
    });
    wait_until(kFirstKillMs);
    note("the leader is killed");
    leader.Signal(SIGKILL);
    leader.Wait();
    wait_until(kPartialOutageMs);
    note("the store serves all, but for the tenant's partition");
    store.SetFault([](const StoreCall& call) {
      return call.part == "tenant" ? StoreFault::kUnavailable
                                   : StoreFault::kNone;
    });
    wait_until(kFirstRestartMs);
    note("the leader starts again");
    leader.Start();
    wait_until(kSecondKillMs);
    note("the leader is killed again");
    leader.Signal(SIGKILL);
    leader.Wait();
    wait_until(kSecondRestartMs);
    note("the leader starts again");
    leader.Start();
    wait_until(kOutageEndMs);
    note("all of the store is back");
    store.SetFault(nullptr);
  }
  clients.join();
  while (open_requests > 0) SleepMs(50);
  note("end");
  record.Write(std::to_string(answered) + " streams, " +
               std::to_string(refused_402) + " refused with 402; " +
               std::to_string(meter.Total()) + " of " +
               std::to_string(kPrepaid) + " tokens consumed");
  machines.clear();
  if (meter.Total() > kPrepaid) return kBroken;
  return answered > 0 && refused_402 > 0 ? kHeld : kCannotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const int code = argc == 2 ? review::Run(argv[1]) : review::kCannotRun;
  std::_Exit(code);
}
