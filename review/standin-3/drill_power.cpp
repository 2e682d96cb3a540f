// All machines and the store lose power together. The store comes back from a
// copy some seconds old, and the machines start again.
#include <random>

#include "fleet.h"

namespace review {
namespace {

constexpr int kRouters = 6;
constexpr int kTenants = 4;
constexpr std::int64_t kPrepaid = 250000;
constexpr std::int64_t kStride = 5;
constexpr int kClients = 32;

std::string TenantName(int tenant) { return "tenant" + std::to_string(tenant); }

int Play(const std::string& folder, Record* record) {
  // The threads of the stand-ins use them to the end of the process.
  auto& store = *new Store(record);
  auto& targets = *new std::vector<std::unique_ptr<Target>>;
  json manifest = Manifest(7, kPrepaid);
  manifest["tenants"] = json::array();
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    manifest["tenants"].push_back({{"name", TenantName(tenant)},
                                   {"api_keys", {"key-" + TenantName(tenant)}},
                                   {"priority", 1},
                                   {"prepaid", kPrepaid}});
  }
  store.Put("op", "config", manifest.dump());
  for (int n = 0; n < 4; ++n) {
    targets.push_back(
        std::make_unique<Target>(TargetOptions{.id = "i-e" + std::to_string(n),
                                               .service = "engine",
                                               .is_engine = true,
                                               .event_ms = 4},
                                 &store, record));
    if (!targets.back()->Start()) return kNotRun;
  }
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<int> seeds;
  for (int n = 0; n < kRouters; ++n) {
    routers.push_back(std::make_unique<Router>(n, folder, store.OpenFor(n)));
    if (n < 3) seeds.push_back(routers.back()->peers());
  }
  for (const auto& router : routers) {
    if (!router->Start(seeds)) return kNotRun;
  }
  for (const auto& router : routers) {
    if (!router->AwaitReady(10000)) return kNotRun;
  }
  SleepMs(4000);
  std::atomic<bool> stop{false};
  std::mutex mutex;
  std::map<int, std::int64_t> delivered;
  std::map<int, int> statuses;
  std::vector<std::thread> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&, n] {
      std::mt19937 random(static_cast<unsigned>(n + 1));
      const int tenant = n % kTenants;
      while (!stop) {
        const int events = 10 + static_cast<int>(random() % 31);
        const int prompt = 400 + static_cast<int>(random() % 800);
        const Router& router = *routers[random() % routers.size()];
        const Answer answer = Send(
            router.callers(),
            {.id = NewId(),
             .path = "/gen/" + std::to_string(events),
             .key = "key-" + TenantName(tenant),
             .counts = std::to_string(prompt) + "," +
                       std::to_string(events * kStride),
             .prefix = "5c1e07a2:100,e4402b7d:" + std::to_string(prompt - 100),
             .deadline_ms = 5000},
            record);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          ++statuses[answer.status];
          delivered[tenant] += answer.events * kStride;
        }
        SleepMs(answer.status == 200 ? 20 : 150);
      }
    });
  }
  SleepMs(1000);
  store.TakeCopy();
  record->Add("store: copy taken");
  SleepMs(4000);
  if (Trouble()) {
    store.GoAway();
    for (const auto& router : routers) router->Kill();
    record->Add("the store and all machines have lost power");
    SleepMs(800);
    for (const auto& router : routers) {
      if (!router->Start(seeds)) return kNotRun;
    }
    record->Add("the machines start again");
    SleepMs(200);
    store.Restore();
    record->Add("store: back from the copy");
    store.Put("op", "config", manifest.dump());
  } else {
    SleepMs(1000);
  }
  SleepMs(25000);
  stop = true;
  for (std::thread& client : clients) client.join();
  std::string list;
  int answered = 0;
  for (const auto& [status, count] : statuses) {
    list += " " + std::to_string(status) + ":" + std::to_string(count);
    if (status == 200) answered += count;
  }
  record->Add("answers by status:" + list);
  int result = kHeld;
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    std::map<std::string, std::int64_t> prompts;
    for (const auto& target : targets) {
      for (const Run& run : target->runs()) {
        if (run.tenant == TenantName(tenant)) prompts[run.id] = run.prompt;
      }
    }
    std::int64_t input = 0;
    for (const auto& [id, tokens] : prompts) input += tokens;
    const std::int64_t used = input + delivered[tenant];
    record->Add(TenantName(tenant) + " got " + std::to_string(input) +
                " tokens of input in " + std::to_string(prompts.size()) +
                " requests + " + std::to_string(delivered[tenant]) +
                " of output = " + std::to_string(used) + " of " +
                std::to_string(kPrepaid) + " prepaid");
    if (used > kPrepaid) result = kBroken;
  }
  return answered == 0 ? kNotRun : result;
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
