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

// How a request's target is chosen.
enum class Policy : std::uint8_t {
  kFleet,
  kRoundRobin,
  kRandom,
  kLeastConnections,
  kPlainHash,
};

// One kind of request in the offered load.
struct Workload {
  Priority priority = Priority::kNormal;
  double per_second = 100;
  int tokens = 100;
  // Longest time to the whole answer that is of use.
  absl::Duration useful = absl::Seconds(20);
};

struct LoadModelOptions {
  Policy policy = Policy::kFleet;
  // Queues and sheds at the instances; without it, targets queue all.
  bool admission = true;
  int instances = 6;
  int targets = 12;
  int slots = 32;
  // Prompts' beginnings in use, by a Zipf distribution, and those that one
  // target's cache holds.
  int prefixes = 240;
  std::size_t cached_prefixes = 30;
  absl::Duration prefill = absl::Milliseconds(200);
  absl::Duration prefill_cached = absl::Milliseconds(20);
  // Between tokens at an idle target; half as much again at a full one.
  absl::Duration token_interval = absl::Milliseconds(20);
  absl::Duration report_interval = absl::Seconds(1);
  absl::Duration report_lag = absl::Seconds(2);
  absl::Duration length = absl::Seconds(120);
  absl::Duration warm_up = absl::Seconds(20);
  std::vector<Workload> workloads = {Workload{}};
};

// What a run measured, after its warm-up.
struct LoadResult {
  // Seconds, one per answered request, by workload.
  std::vector<std::vector<double>> first_token;
  std::vector<std::vector<double>> whole;
  std::vector<double> inter_token;
  int offered = 0;
  int useful = 0;
  int refused = 0;
  double prefix_hits = 0;
  // Mean over time of the busiest target's load relative to all targets' mean.
  double imbalance = 0;
  double seconds = 0;
};

// Drives selectors and admission queues, as they are, against a few lines of
// model of a target, on a paused clock.
LoadResult RunLoad(const LoadModelOptions& options);

// Returns the value below which `share` of the values lie. Zero if none.
double Quantile(std::vector<double> values, double share);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BENCH_REQUEST_LOAD_MODEL_H_
