// The store comes back from an older copy while a server drains: the copy shows
// the server as ready.
#include "fleet.h"

namespace review {
namespace {

constexpr int kRouters = 3;
constexpr int kTargets = 4;
constexpr std::int64_t kDrainMs = 2000;
// Time from the return of the store to the end of the server, which falls
// before its next report.
constexpr std::int64_t kServesOnMs = 800;

int Play(const std::string& folder, Record* record) {
  // The threads of the stand-ins use them to the end of the process.
  auto& store = *new Store(record);
  auto& targets = *new std::vector<std::unique_ptr<Target>>;
  std::mutex mutex;
  // When a machine was first told that the server drains.
  std::map<int, std::int64_t> told;
  store.on_read = [&](int machine, const std::string& table, const json& rows) {
    if (table != "servers") return;
    for (const json& row : rows) {
      if (row.value("key", "") != "i-a0") continue;
      const json entry =
          json::parse(FromBase64(row.value("value", "")), nullptr, false);
      const std::string state = entry.value("state", "");
      const std::lock_guard<std::mutex> lock(mutex);
      if (state == "draining" && told.emplace(machine, NowMs()).second) {
        record->Add("store: machine " + std::to_string(machine) +
                    " has read that i-a0 is draining");
      }
    }
  };
  store.Put("op", "config", Manifest(7, 6114644).dump());
  for (int n = 0; n < kTargets; ++n) {
    targets.push_back(std::make_unique<Target>(
        TargetOptions{.id = "i-a" + std::to_string(n), .service = "app"},
        &store, record));
    if (!targets.back()->Start()) return kNotRun;
  }
  std::map<std::string, int> machine_of;
  std::map<std::string, std::int64_t> sent_at;
  std::int64_t acknowledged = INT64_MAX;
  int late = 0;
  std::set<std::string> late_ids;
  targets[0]->on_run = [&](const Run& run) {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto machine = machine_of.find(run.id);
    if (machine == machine_of.end()) return;
    const auto at = told.find(machine->second);
    if (at == told.end() || NowMs() < acknowledged + kDrainMs ||
        NowMs() < at->second + kDrainMs) {
      return;
    }
    ++late;
    late_ids.insert(run.id);
    record->Add("late: " + run.id + " reaches i-a0 from machine " +
                std::to_string(machine->second) + " " +
                std::to_string(NowMs() - acknowledged) +
                " ms after the ack of its draining and " +
                std::to_string(NowMs() - at->second) +
                " ms after this machine had read it");
  };
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<int> seeds;
  for (int n = 0; n < kRouters; ++n) {
    routers.push_back(std::make_unique<Router>(n, folder, store.OpenFor(n)));
    seeds.push_back(routers.back()->peers());
  }
  for (const auto& router : routers) {
    if (!router->Start(seeds)) return kNotRun;
  }
  for (const auto& router : routers) {
    if (!router->AwaitReady(10000)) return kNotRun;
  }
  SleepMs(4000);
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::atomic<int> lost{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < 12; ++n) {
    clients.emplace_back([&, n] {
      while (!stop) {
        const int machine = n % kRouters;
        const Call call{.id = NewId(),
                        .path = "/write/400",
                        .key = "key-one",
                        .body = "certificate " + NewId(),
                        .deadline_ms = 3000};
        {
          const std::lock_guard<std::mutex> lock(mutex);
          machine_of[call.id] = machine;
        }
        const Answer answer =
            Send(routers[static_cast<std::size_t>(machine)]->callers(), call,
                 record);
        if (answer.status == 200) ++served;
        const std::lock_guard<std::mutex> lock(mutex);
        if (answer.status != 200 && late_ids.contains(call.id)) {
          ++lost;
          record->Add("lost: " + call.id + " ran at i-a0 and got " +
                      std::to_string(answer.status));
        }
        SleepMs(30);
      }
    });
  }
  SleepMs(1000);
  // The copy is taken about 4.5 s before the store comes back from it.
  store.TakeCopy();
  record->Add("store: copy taken");
  SleepMs(300);
  targets[0]->Drain();
  {
    const std::lock_guard<std::mutex> lock(mutex);
    acknowledged = NowMs();
  }
  record->Add("server i-a0 reports draining; the store has acknowledged it");
  SleepMs(3600);
  if (Trouble()) {
    store.GoAway();
    const std::int64_t away = NowMs();
    record->Add("store: away");
    // A report of the server falls into the time without a store.
    while (targets[0]->last_beat() < away) SleepMs(5);
    SleepMs(50);
    store.Restore();
    record->Add("store: back from the copy");
  } else {
    SleepMs(600);
  }
  // The server has served for over kDrainMs and ends.
  SleepMs(kServesOnMs);
  targets[0]->Leave();
  record->Add("server i-a0 ends");
  SleepMs(1500);
  stop = true;
  for (std::thread& client : clients) client.join();
  record->Add("served " + std::to_string(served.load()) + ", late arrivals " +
              std::to_string(late) + ", of these without success " +
              std::to_string(lost.load()));
  for (const auto& router : routers) {
    if (router->Ended().has_value()) return kNotRun;
  }
  const std::lock_guard<std::mutex> lock(mutex);
  if (served == 0 || told.size() != kRouters) return kNotRun;
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return review::kNotRun;
  review::Record record(argv[1]);
  if (!record.ok()) return review::kNotRun;
  const int result = review::Play(argv[2], &record);
  record.Add("result " + std::to_string(result));
  fflush(nullptr);
  // The threads of the stand-ins end with the process.
  _exit(result);
}
