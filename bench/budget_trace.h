#ifndef WISTERIAREEL_BENCH_BUDGET_TRACE_H_
#define WISTERIAREEL_BENCH_BUDGET_TRACE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriareel {

// Seconds since the start of an experiment.
using Second = int;

// Arrival of one request at an instance.
struct Arrival {
  Second at = 0;
  int instance = 0;
  int budget = 0;
  std::int64_t worst_case = 0;
  std::int64_t billed = 0;
  Second duration = 0;
};

// One top-up by an operator.
struct PlannedTopUp {
  Second at = 0;
  int budget = 0;
  std::int64_t amount = 0;
};

// Size and load of a deployment.
struct Deployment {
  std::string name;
  int zones = 0;
  int instances = 0;
  std::int64_t short_request = 0;
  std::int64_t long_request = 0;
  double long_share = 0;

  int ZoneOf(int instance) const { return instance % zones; }
};

// A kind of fault that lasts from `from` to `to`.
struct Scenario {
  enum class Kind { kNone, kPlatformUnavailable, kZoneCut, kDeaths };

  std::string name;
  Kind kind = Kind::kNone;
  Second from = 0;
  Second to = 0;
};

// Load of an experiment, the same for all models.
struct Trace {
  std::vector<Arrival> arrivals;
  std::vector<PlannedTopUp> top_ups;
};

inline constexpr int kExperimentBudgets = 10;
inline constexpr Second kExperimentEnd = 2 * 3600 + 1800;

std::vector<Deployment> Deployments();
std::vector<Scenario> Scenarios();
Trace MakeTrace(const Deployment& deployment, std::uint64_t seed);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BENCH_BUDGET_TRACE_H_
