// Two of four routers are killed, the store stops answering shortly after their
// processes have started again, and they are killed once more before the store
// is back.

#include <cstdio>
#include <vector>

#include "../harness/budget_load.h"

namespace {

constexpr std::int64_t kPrepaid = 1'000'000;
constexpr int kRouters = 4;
constexpr int kKilled = 2;
constexpr int kManyCallers = 12;
// Longest time for enough routers to record the tokens that they hold while
// there are no requests.
constexpr auto kMaxWarmUp = std::chrono::seconds(65);
// Time from a kill to the start of the processes.
constexpr int kDownMs = 500;
// Time from the start of the processes to the outage of the store, and the
// length of the outage.
constexpr int kBeforeOutageMs = 300;
constexpr int kOutageMs = 4500;

using Routers = std::vector<review::Router*>;

void Kill(const Routers& routers, review::BudgetDeployment* deployment) {
  for (review::Router* router : routers) {
    deployment->Record("SIGKILL to " + router->options().id);
    router->Kill();
  }
  deployment->Record("rows:" + deployment->DescribeRows());
}

void StartAgain(const Routers& routers, review::BudgetDeployment* deployment) {
  deployment->Sleep(kDownMs);
  for (review::Router* router : routers) {
    router->Start();
    deployment->Record("started " + router->options().id);
  }
}

int Run(const std::string& folder) {
  review::BudgetDeployment deployment(kPrepaid, kRouters,
                                      folder + "/record.txt");
  if (!deployment.Start()) return 2;
  // One more draws the tokens from the store.
  if (!deployment.WaitUntilHeldBy(kKilled + 1, kMaxWarmUp)) return 2;
  const bool trouble = review::WantsTrouble();
  // Not the router that draws the tokens from the store.
  Routers routers;
  for (const std::size_t n : deployment.FindLargestReserves(kKilled)) {
    routers.push_back(deployment.routers()[n].get());
  }
  if (trouble) {
    Kill(routers, &deployment);
    StartAgain(routers, &deployment);
  }
  deployment.Sleep(kBeforeOutageMs);
  deployment.SetCallers(kManyCallers);
  if (trouble) {
    deployment.Record("store stops answering; rows:" +
                      deployment.DescribeRows());
    deployment.store().SetMode(review::Store::Mode::kSilent);
  }
  deployment.Sleep(kOutageMs);
  if (trouble) {
    Kill(routers, &deployment);
    deployment.store().SetMode(review::Store::Mode::kUp);
    deployment.Record("store answers; rows:" + deployment.DescribeRows());
    StartAgain(routers, &deployment);
  }
  deployment.WaitUntilExhausted(50, std::chrono::seconds(25));
  deployment.Record("rows:" + deployment.DescribeRows());
  const std::int64_t consumed = deployment.Finish();
  std::printf("prepaid %lld, consumed %lld\n", static_cast<long long>(kPrepaid),
              static_cast<long long>(consumed));
  return consumed > kPrepaid ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return argc == 2 ? Run(argv[1]) : 2; }
