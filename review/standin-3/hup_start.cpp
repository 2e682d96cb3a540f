// Machines are restarted in turn, and the settings change again while a process
// starts: it gets SIGHUP a moment after its start.
#include "fleet.h"

namespace review {
namespace {

constexpr int kRouters = 7;
constexpr int kMachines = 2;
constexpr int kEndsEach = 3;
constexpr std::int64_t kHupAfterMs = 2;
constexpr std::int64_t kRestartDelayMs = 300;
// An end during a disturbance or so long after it doesn't count.
constexpr std::int64_t kExcusedMs = 1000;

int Play(const std::string& folder, Record* record) {
  // The threads of the stand-ins use them to the end of the process.
  auto& store = *new Store(record);
  auto& targets = *new std::vector<std::unique_ptr<Target>>;
  store.Put("op", "config", Manifest(7, 6114644).dump());
  for (int n = 0; n < 3; ++n) {
    targets.push_back(std::make_unique<Target>(
        TargetOptions{.id = "i-a" + std::to_string(n), .service = "app"},
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
  SleepMs(2000);
  int broken_machines = 0;
  for (int n = 0; n < kMachines; ++n) {
    Router& router = *routers[static_cast<std::size_t>(n)];
    router.Signal(SIGTERM);
    record->Add(router.name() + " gets SIGTERM");
    const std::int64_t until = NowMs() + 9000;
    while (NowMs() < until && !router.Ended().has_value()) SleepMs(20);
    if (router.pid() > 0) return kNotRun;
    int ends = 0;
    std::int64_t restarted = 0;
    while (ends < kEndsEach) {
      SleepMs(kRestartDelayMs);
      if (!router.Start(seeds)) return kNotRun;
      // The restart after SIGTERM is the last of the disturbance.
      if (restarted == 0) restarted = NowMs();
      record->Add(router.name() + " starts");
      if (Trouble()) {
        SleepMs(kHupAfterMs);
        router.Signal(SIGHUP);
        record->Add(router.name() + " gets SIGHUP");
      }
      const std::int64_t hup_sent = NowMs();
      SleepMs(kExcusedMs);
      const std::optional<int> status = router.Ended();
      if (!status.has_value()) break;
      // It has ended after SIGHUP was sent.
      const bool counts = hup_sent - restarted > kExcusedMs;
      if (counts) ++ends;
      record->Add(router.name() + " has ended by itself" +
                  (counts ? "" : " (not counted)") +
                  (WIFSIGNALED(*status)
                       ? ", signal " + std::to_string(WTERMSIG(*status))
                       : ", status " + std::to_string(WEXITSTATUS(*status))));
    }
    if (ends == kEndsEach) ++broken_machines;
    if (router.pid() <= 0 && !router.Start(seeds)) return kNotRun;
    const bool ready = router.AwaitReady(10000);
    record->Add(router.name() + (ready ? " is ready" : " isn't ready"));
    if (!ready) return kNotRun;
  }
  record->Add("machines whose processes ended by themselves " +
              std::to_string(kEndsEach) +
              " times: " + std::to_string(broken_machines) + " of " +
              std::to_string(kRouters));
  return broken_machines >= kMachines ? kBroken : kHeld;
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
