#ifndef WISTERIAREEL_BENCH_REQUEST_LOAD_MODEL_H_
#define WISTERIAREEL_BENCH_REQUEST_LOAD_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/request/admission_queue.h"
#include "src/routing/fleet_selector.h"
#include "standin/fakes/static_config.h"
#include "standin/fakes/stepping_clock.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {

// Policy by which the target of a request is chosen.
enum class Policy : std::uint8_t {
  // The production FleetSelector.
  kFleet,
  kRoundRobin,
  kRandom,
  kLeastConnections,
  // The prefix hash modulo the number of targets.
  kPlainHash,
};

// One class of requests in the offered load.
struct Workload {
  Priority priority = Priority::kNormal;
  double per_second = 100;
  int tokens = 100;
  // Maximum time from arrival to the complete response for the response to
  // count as useful.
  absl::Duration useful = absl::Seconds(20);
};

struct LoadModelOptions {
  Policy policy = Policy::kFleet;
  // Whether instances queue and refuse requests. If false, targets queue all
  // requests.
  bool admission = true;
  int instances = 6;
  int targets = 12;
  int slots = 32;
  // Distinct prompt prefixes, with Zipf-distributed popularity, and the number
  // of them that the cache of one target holds.
  int prefixes = 240;
  std::size_t cached_prefixes = 30;
  absl::Duration prefill = absl::Milliseconds(200);
  absl::Duration prefill_cached = absl::Milliseconds(20);
  // Time between tokens at an idle target; 1.5 times this at a full one.
  absl::Duration token_interval = absl::Milliseconds(20);
  absl::Duration report_interval = absl::Seconds(1);
  // Time from the measurement of a load until the instances receive it.
  absl::Duration report_lag = absl::Seconds(2);
  absl::Duration length = absl::Seconds(120);
  absl::Duration warm_up = absl::Seconds(20);
  std::vector<Workload> workloads = {Workload{}};
};

// Measurements of a run, without its warm-up.
struct LoadResult {
  // In seconds, one value per completed request, by workload.
  std::vector<std::vector<double>> first_token_time;
  std::vector<std::vector<double>> completion_time;
  std::vector<double> inter_token_time;
  int offered = 0;
  int useful = 0;
  int refused = 0;
  // Share of the started requests whose prefix was in the cache of the target.
  double prefix_hits = 0;
  // Load of the busiest target relative to the mean of all targets, averaged
  // over time.
  double imbalance = 0;
  // Measured time.
  double seconds = 0;
};

// Runs the production selectors and admission queues against a simple model of
// targets, on a simulated clock.
LoadResult RunLoad(const LoadModelOptions& options);

// Returns the given quantile, in [0, 1], of `values`. Returns zero if there are
// none.
double Quantile(std::vector<double> values, double quantile);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BENCH_REQUEST_LOAD_MODEL_H_
