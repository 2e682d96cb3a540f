// A router is restarted as planned. Then the store is away for a moment and
// comes back from a copy that is some seconds old. All routers live on.

#include <csignal>
#include <cstdio>

#include "../harness/budget_load.h"

namespace {

constexpr std::int64_t kPrepaid = 300'000;
constexpr int kRouters = 3;
constexpr int kCallers = 12;
// Age of the copy when the store goes away, and time for which it is away.
constexpr int kCopyAgeMs = 5000;
constexpr int kAwayMs = 1000;
// Time from the end of a process to the start of the next one.
constexpr int kDownMs = 1500;
constexpr int kRestMs = 15'000;

int Run(const std::string& folder) {
  review::BudgetDeployment deployment(kPrepaid, kRouters,
                                      folder + "/record.txt");
  if (!deployment.Start()) return 2;
  deployment.Sleep(6000);
  review::Router& leader = *deployment.routers()[deployment.FindLeader()];
  deployment.Record("SIGTERM to " + leader.options().id +
                    "; rows:" + deployment.DescribeRows());
  leader.Signal(SIGTERM);
  leader.WaitForEnd(std::chrono::seconds(8));
  deployment.Record("it has ended, callers start; rows:" +
                    deployment.DescribeRows());
  deployment.SetCallers(kCallers);
  deployment.Sleep(kDownMs);
  leader.Start();
  deployment.Record("started " + leader.options().id);
  if (!deployment.WaitUntilExhausted(20, std::chrono::seconds(20))) return 2;
  deployment.Record("budget exhausted; rows:" + deployment.DescribeRows());
  if (review::WantsTrouble()) {
    deployment.Record("store goes away");
    deployment.store().SetMode(review::Store::Mode::kReset);
    deployment.Sleep(kAwayMs);
    deployment.store().Restore(kCopyAgeMs + kAwayMs);
    deployment.store().SetMode(review::Store::Mode::kUp);
    deployment.Record("store is back; rows:" + deployment.DescribeRows());
  }
  deployment.Sleep(kRestMs);
  deployment.Record("rows:" + deployment.DescribeRows());
  const std::int64_t consumed = deployment.Finish();
  std::printf("prepaid %lld, consumed %lld\n", static_cast<long long>(kPrepaid),
              static_cast<long long>(consumed));
  return consumed > kPrepaid ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return argc == 2 ? Run(argv[1]) : 2; }
