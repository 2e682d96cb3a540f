#include "bench/budget_trace.h"

#include <algorithm>
#include <cmath>

#include "wisteriareel/random_source.h"

namespace wisteriareel {
namespace {

constexpr int kLargeBudgets = 3;
constexpr double kLargeRate = 1.0;   // Requests per second.
constexpr double kSmallRate = 0.05;  // Requests per second.
// Initial top-ups, as the time that they last at the mean rate of spend.
constexpr Second kLargeInitial = 9000;
constexpr Second kSmallInitial = 1500;
constexpr Second kTopUpInterval = 1200;
constexpr Second kFaultStart = 3600;
// Mean share of the worst case that is billed.
constexpr double kMeanBilledShare = 0.45;

double Rate(int budget) {
  return budget < kLargeBudgets ? kLargeRate : kSmallRate;
}

double MeanTokens(const Deployment& deployment) {
  const auto short_tokens = static_cast<double>(deployment.short_request);
  const auto long_tokens = static_cast<double>(deployment.long_request);
  return kMeanBilledShare *
         (short_tokens + (long_tokens - short_tokens) * deployment.long_share);
}

}  // namespace

std::vector<Deployment> Deployments() {
  return {Deployment{.name = "Oman",
                     .zones = 3,
                     .instances = 8,
                     .short_request = 1500,
                     .long_request = 6000,
                     .long_share = 0.4},
          Deployment{.name = "Iceland",
                     .zones = 4,
                     .instances = 8,
                     .short_request = 1500,
                     .long_request = 8000,
                     .long_share = 0.3}};
}

std::vector<Scenario> Scenarios() {
  using Kind = Scenario::Kind;
  return {
      {"no fault", Kind::kNone, 0, 0},
      {"platform away 1 min", Kind::kPlatformUnavailable, kFaultStart,
       kFaultStart + 60},
      {"platform away 10 min", Kind::kPlatformUnavailable, kFaultStart,
       kFaultStart + 600},
      {"platform away 60 min", Kind::kPlatformUnavailable, kFaultStart,
       kFaultStart + 3600},
      {"zone cut off 30 min", Kind::kZoneCut, kFaultStart, kFaultStart + 1800},
      {"a death a minute", Kind::kDeaths, kFaultStart, kFaultStart + 3600}};
}

Trace MakeTrace(const Deployment& deployment, std::uint64_t seed) {
  const auto random = MakeSeededRandom(seed);
  Trace trace;
  for (int budget = 0; budget < kExperimentBudgets; ++budget) {
    const double spend = Rate(budget) * MeanTokens(deployment);
    const Second initial =
        budget < kLargeBudgets ? kLargeInitial : kSmallInitial;
    trace.top_ups.push_back(
        {0, budget, static_cast<std::int64_t>(spend * initial)});
    for (Second at = 300 + 100 * budget; at < kExperimentEnd;
         at += kTopUpInterval) {
      const double amount = 0.95 * spend * kTopUpInterval;
      trace.top_ups.push_back({at, budget, static_cast<std::int64_t>(amount)});
    }
    double at = 0;
    while (true) {
      at -= std::log(1 - random->Fraction()) / Rate(budget);
      if (at >= kExperimentEnd) break;
      const bool is_long = random->Fraction() < deployment.long_share;
      const std::int64_t worst =
          is_long ? deployment.long_request : deployment.short_request;
      const double billed_share = 0.2 + 0.5 * random->Fraction();
      trace.arrivals.push_back(
          {.at = static_cast<Second>(at),
           .instance = static_cast<int>(
               random->Below(static_cast<std::uint64_t>(deployment.instances))),
           .budget = budget,
           .worst_case = worst,
           .billed = static_cast<std::int64_t>(billed_share *
                                               static_cast<double>(worst)),
           .duration = 5 + static_cast<Second>(random->Below(15))});
    }
  }
  std::stable_sort(
      trace.arrivals.begin(), trace.arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  std::stable_sort(
      trace.top_ups.begin(), trace.top_ups.end(),
      [](const PlannedTopUp& a, const PlannedTopUp& b) { return a.at < b.at; });
  return trace;
}

}  // namespace wisteriareel
