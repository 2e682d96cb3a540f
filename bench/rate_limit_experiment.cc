#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "test/rate_limit_fleet.h"

namespace wisteriareel {
namespace {

struct Scenario {
  std::string name;
  RateLimitFleetOptions options;
};

// The summary of the runs of one scenario.
struct Row {
  int runs = 0;
  int exceeded = 0;
  int exceeded_unaffected = 0;
  double worst_ratio = 0;
  double worst_unaffected_ratio = 0;
  double used_share = 0;
};

RateLimitFault Fault(RateLimitFault::Kind kind, double at_s, double for_s,
                     double share) {
  return {.kind = kind,
          .at = absl::Seconds(at_s),
          .duration = absl::Seconds(for_s),
          .share = share};
}

std::vector<Scenario> Scenarios(int instances, double limit, double demand) {
  using Kind = RateLimitFault::Kind;
  RateLimitFleetOptions base;
  base.instances = instances;
  base.changes = {{.at = absl::Seconds(12), .per_second = limit}};
  base.requests_per_s = std::max(limit * demand, 1.0);
  if (limit < 1) base.length = absl::Seconds(240);
  std::vector<Scenario> scenarios;
  const auto add = [&](const std::string& name) -> RateLimitFleetOptions& {
    scenarios.push_back({.name = name, .options = base});
    return scenarios.back().options;
  };
  add("calm");
  add("no notices").notice_delay = absl::InfiniteDuration();
  add("requests wait 2 s").patience = absl::Seconds(2);
  RateLimitFleetOptions& burst = add("burst after a pause");
  burst.pause_at = absl::Seconds(20);
  burst.pause_end = absl::Seconds(45);
  burst.burst = 20 * instances;
  add("one has half").shape = DemandShape::kOneHasHalf;
  add("half have none").shape = DemandShape::kHalfHaveNone;
  add("killed").faults = {Fault(Kind::kKilled, 20, 3, 0.34),
                          Fault(Kind::kKilled, 40, 8, 0.34)};
  add("all killed").faults = {Fault(Kind::kKilled, 30, 1, 1)};
  add("joined").faults = {Fault(Kind::kJoined, 18, 0, 0.34),
                          Fault(Kind::kJoined, 30, 0, 0.34)};
  add("third cut").faults = {Fault(Kind::kCut, 20, 12, 0.34)};
  add("cut, joined, killed").faults = {Fault(Kind::kCut, 20, 9, 0.34),
                                       Fault(Kind::kJoined, 25, 0, 0.25),
                                       Fault(Kind::kKilled, 33, 4, 0.2)};
  add("limit changes").changes = {
      {.at = absl::Seconds(12), .per_second = limit},
      {.at = absl::Seconds(25), .per_second = limit * 2},
      {.at = absl::Seconds(35), .per_second = limit / 2},
      {.at = absl::Seconds(45), .per_second = limit}};
  add("limit ends").changes = {{.at = absl::Seconds(12), .per_second = limit},
                               {.at = absl::Seconds(25), .per_second = {}},
                               {.at = absl::Seconds(35), .per_second = limit}};
  return scenarios;
}

Row RunScenario(const RateLimitFleetOptions& options, int seeds) {
  Row row;
  for (int seed = 1; seed <= seeds; ++seed) {
    RateLimitFleetOptions run = options;
    run.seed = static_cast<std::uint64_t>(seed);
    const RateLimitFleetResult result = RunRateLimitFleet(run);
    ++row.runs;
    row.used_share += result.used_share / seeds;
    if (result.worst_bound > 0) {
      const double ratio = result.worst_arrivals / result.worst_bound;
      row.worst_ratio = std::max(row.worst_ratio, ratio);
      if (ratio > 1) ++row.exceeded;
    }
    if (result.worst_unaffected_bound > 0) {
      const double ratio =
          result.worst_unaffected_arrivals / result.worst_unaffected_bound;
      row.worst_unaffected_ratio = std::max(row.worst_unaffected_ratio, ratio);
      if (ratio > 1) ++row.exceeded_unaffected;
    }
  }
  return row;
}

// Prints a Markdown table of all scenarios at all sizes.
void PrintTable(const RateLimitFleetOptions& options,
                const std::vector<int>& sizes, int seeds, double demand) {
  std::printf(
      "| scenario | instances | limit | runs | over | over, unaffected | "
      "worst part of the bound | unaffected | used |\n"
      "|---|---|---|---|---|---|---|---|---|\n");
  for (const int instances : sizes) {
    for (const double limit : {0.1, 1.0, 1.2, 2.0, 10.0, 200.0}) {
      const int runs =
          instances * limit > 2000 ? std::max(1, seeds / 5) : seeds;
      for (Scenario& scenario : Scenarios(instances, limit, demand)) {
        scenario.options.way = options.way;
        scenario.options.limits = options.limits;
        const Row row = RunScenario(scenario.options, runs);
        absl::PrintF("| %s | %d | %g | %d | %d | %d | %.2f | %.2f | %.2f |\n",
                     scenario.name, instances, limit, row.runs, row.exceeded,
                     row.exceeded_unaffected, row.worst_ratio,
                     row.worst_unaffected_ratio, row.used_share);
      }
      std::fflush(stdout);
    }
  }
}

}  // namespace
}  // namespace wisteriareel

// Usage: rate_limit_experiment slots|equal|subset SEEDS DEMAND [INSTANCES
// [DIVIDED_PART]]. DEMAND is the demand as a multiple of the limit.
int main(int argc, char** argv) {
  using wisteriareel::RateLimitWay;
  const std::string way = argc > 1 ? argv[1] : "";
  int seeds = 0;
  double demand = 0;
  std::vector<int> sizes = {2, 6, 8, 12, 95, 300};
  wisteriareel::RateLimitFleetOptions options;
  options.way = way == "equal"    ? RateLimitWay::kEqualSplit
                : way == "subset" ? RateLimitWay::kSubset
                                  : RateLimitWay::kSlots;
  bool valid = argc >= 4 && argc <= 6 &&
               (way == "slots" || way == "equal" || way == "subset") &&
               absl::SimpleAtoi(argv[2], &seeds) && seeds > 0 &&
               absl::SimpleAtod(argv[3], &demand);
  if (valid && argc > 4) {
    sizes = {0};
    valid = absl::SimpleAtoi(argv[4], sizes.data()) && sizes.front() > 0;
  }
  if (valid && argc > 5)
    valid = absl::SimpleAtod(argv[5], &options.limits.divided_part);
  if (!valid) {
    std::fprintf(stderr,
                 "usage: %s slots|equal|subset SEEDS DEMAND [INSTANCES "
                 "[DIVIDED_PART]]\n",
                 argv[0]);
    return 2;
  }
  wisteriareel::PrintTable(options, sizes, seeds, demand);
  return 0;
}
