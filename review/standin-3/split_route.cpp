// A new manifest splits a route of streams between a service with an engine and
// one without, as the example of the users' wire page does.
#include "fleet.h"

namespace review {
namespace {

constexpr int kRouters = 3;
constexpr int kClients = 6;
constexpr int kRequests = 240;
constexpr std::int64_t kPrepaid = 60000;
constexpr std::int64_t kPrompt = 800;
constexpr int kEvents = 40;
// Output tokens of an event: the stride of the engine. Of the other service
// only one a event is counted, since the manifest states nothing.
constexpr std::int64_t kStride = 5;
constexpr std::int64_t kConfigApplyMs = 2000;

json SplitManifest() {
  json manifest = Manifest(9, kPrepaid);
  json& route = manifest["routes"][0];
  route.erase("service");
  route["traffic_split"] = {{{"service", "engine"}, {"weight", 90}},
                            {{"service", "pool-b"}, {"weight", 10}}};
  manifest["services"].push_back({{"name", "pool-b"},
                                  {"health_path", "/health"},
                                  {"max_connections", 110},
                                  {"protocol", "h1"},
                                  {"tls", false}});
  return manifest;
}

int Play(const std::string& folder, Record* record) {
  // The threads of the stand-ins use them to the end of the process.
  auto& store = *new Store(record);
  auto& targets = *new std::vector<std::unique_ptr<Target>>;
  store.Put("op", "config", Manifest(7, kPrepaid).dump());
  for (int n = 0; n < 6; ++n) {
    targets.push_back(std::make_unique<Target>(
        TargetOptions{.id = (n < 4 ? "i-e" : "i-b") + std::to_string(n),
                      .service = n < 4 ? "engine" : "pool-b",
                      .is_engine = true,
                      .event_ms = 5},
        &store, record));
    if (!targets.back()->Start()) return kNotRun;
  }
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
  SleepMs(3000);
  if (Trouble()) {
    store.Put("op", "config", SplitManifest().dump());
    record->Add("operator: version 9 splits the route 90 to 10");
  }
  SleepMs(kConfigApplyMs + 500);
  std::mutex mutex;
  std::map<std::string, std::int64_t> events_of;
  std::map<int, int> statuses;
  std::atomic<int> next{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&] {
      for (int k = next++; k < kRequests; k = next++) {
        const Call call{.id = NewId(),
                        .path = "/gen/" + std::to_string(kEvents),
                        .key = "key-one",
                        .counts = "800,200",
                        .prefix = "5c1e07a2:500,e4402b7d:300"};
        const Answer answer =
            Send(routers[static_cast<std::size_t>(k % kRouters)]->callers(),
                 call, record);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          ++statuses[answer.status];
          events_of[call.id] = answer.events;
        }
        if (answer.status != 200) SleepMs(100);
      }
    });
  }
  for (std::thread& client : clients) client.join();
  std::int64_t input = 0;
  std::int64_t output = 0;
  int at_other = 0;
  int at_engine = 0;
  std::set<std::string> seen;
  for (const auto& target : targets) {
    const bool is_other = target->id().starts_with("i-b");
    for (const Run& run : target->runs()) {
      if (run.tenant != "hule930" || !seen.insert(run.id).second) continue;
      ++(is_other ? at_other : at_engine);
      input += kPrompt;
      output += events_of[run.id] * (is_other ? 1 : kStride);
    }
  }
  std::string list;
  for (const auto& [status, count] : statuses) {
    list += " " + std::to_string(status) + ":" + std::to_string(count);
  }
  record->Add("answers by status:" + list);
  record->Add("tenant hule930: " + std::to_string(at_engine) +
              " requests ran at the engine and " + std::to_string(at_other) +
              " at pool-b; input " + std::to_string(input) +
              " + delivered output " + std::to_string(output) + " = " +
              std::to_string(input + output) + " tokens of " +
              std::to_string(kPrepaid) + " prepaid");
  for (const auto& router : routers) {
    if (router->Ended().has_value()) return kNotRun;
  }
  if (at_engine == 0) return kNotRun;
  return input + output > kPrepaid ? kBroken : kHeld;
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
