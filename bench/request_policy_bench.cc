// Compares the routing and admission policies with simple ones in one run and
// checks the stated targets. Exits with status 1 if a target is missed.

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "bench/request_load_model.h"

namespace wisteriareel {
namespace {

// Targets that are stated in the requests page.
constexpr double kGoodputShareAtTwice = 0.9;
constexpr double kHighPrioritySlowdown = 2.0;

struct NamedPolicy {
  const char* name;
  Policy policy;
};

constexpr NamedPolicy kPolicies[] = {
    {"fleet", Policy::kFleet},
    {"round robin", Policy::kRoundRobin},
    {"random", Policy::kRandom},
    {"least connections", Policy::kLeastConnections},
    {"plain hashing", Policy::kPlainHash}};

// Returns the requests per second, of 100 tokens each, that fill all slots.
double FullLoad(const LoadModelOptions& options) {
  const double stay = absl::ToDoubleSeconds(options.token_interval) * 1.5 * 100;
  return options.targets * options.slots / stay;
}

void ComparePolicies() {
  std::printf("%-18s %9s %9s %24s %24s\n", "policy at 0.8 load", "prefix",
              "busiest/", "first token ms", "between tokens ms");
  std::printf("%-18s %9s %9s %24s %24s\n", "", "hits", "mean", "50/95/99",
              "50/95/99");
  for (const NamedPolicy& named : kPolicies) {
    LoadModelOptions options{.policy = named.policy, .admission = false};
    options.workloads = {{.per_second = 0.8 * FullLoad(options)}};
    const LoadResult result = RunLoad(options);
    const auto ms = [](const std::vector<double>& values, double quantile) {
      return Quantile(values, quantile) * 1e3;
    };
    std::printf(
        "%-18s %8.1f%% %9.2f %8.0f/%7.0f/%7.0f %8.1f/%7.1f/%7.1f\n", named.name,
        result.prefix_hits * 100, result.imbalance,
        ms(result.first_token_time[0], 0.5),
        ms(result.first_token_time[0], 0.95),
        ms(result.first_token_time[0], 0.99), ms(result.inter_token_time, 0.5),
        ms(result.inter_token_time, 0.95), ms(result.inter_token_time, 0.99));
  }
}

bool CompareGoodput() {
  std::printf("\n%-22s %10s %10s %10s %12s\n", "useful responses per s",
              "offered", "fleet", "refused", "no admission");
  double peak = 0;
  double at_twice = 0;
  for (const double load : {0.5, 0.75, 1.0, 1.25, 1.5, 2.0}) {
    LoadModelOptions options;
    options.workloads = {{.per_second = load * FullLoad(options)}};
    const LoadResult with = RunLoad(options);
    options.admission = false;
    const LoadResult without = RunLoad(options);
    at_twice = with.useful / with.seconds;
    // Uses the higher peak of both variants, so that a low peak with admission
    // control does not improve the ratio.
    peak = std::max({peak, at_twice, without.useful / without.seconds});
    std::printf("%-22.2f %10.1f %10.1f %10.1f %12.1f\n", load,
                with.offered / with.seconds, at_twice,
                with.refused / with.seconds, without.useful / without.seconds);
  }
  const double share = at_twice / peak;
  std::printf("at twice the load: %.1f%% of the peak (target %.0f%%)\n",
              share * 100, kGoodputShareAtTwice * 100);
  return share >= kGoodputShareAtTwice;
}

bool ComparePriorities() {
  LoadModelOptions options;
  const Workload high{.priority = Priority::kInteractive,
                      .per_second = 0.3 * FullLoad(options),
                      .tokens = 20};
  const Workload low{.priority = Priority::kBatch,
                     .per_second = 0.6 * FullLoad(options),
                     .tokens = 400,
                     .useful = absl::Seconds(120)};
  options.workloads = {high};
  const double alone = Quantile(RunLoad(options).completion_time[0], 0.95);
  options.workloads = {high, low};
  const LoadResult overloaded = RunLoad(options);
  options.admission = false;
  const LoadResult plain = RunLoad(options);
  const double with = Quantile(overloaded.completion_time[0], 0.95);
  std::printf(
      "\n95th percentile of interactive requests: alone %.2f s, under batch "
      "overload %.2f s (%.2fx, target %.1fx), without admission %.2f s\n",
      alone, with, with / alone, kHighPrioritySlowdown,
      Quantile(plain.completion_time[0], 0.95));
  std::printf("batch responses completed meanwhile: %zu, %.2f per second\n",
              overloaded.completion_time[1].size(),
              static_cast<double>(overloaded.completion_time[1].size()) /
                  overloaded.seconds);
  return with <= alone * kHighPrioritySlowdown &&
         !overloaded.completion_time[1].empty();
}

}  // namespace
}  // namespace wisteriareel

int main() {
  wisteriareel::ComparePolicies();
  const bool goodput = wisteriareel::CompareGoodput();
  const bool priorities = wisteriareel::ComparePriorities();
  return goodput && priorities ? 0 : 1;
}
