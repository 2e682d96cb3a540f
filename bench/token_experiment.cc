#include "bench/token_experiment.h"

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "bench/budget_plot.h"

namespace wisteriareel {
namespace {

constexpr std::size_t kThreads = 4;
constexpr std::uint64_t kFirstSeed = 20261204;

struct FleetSize {
  int instances;
  int zones;
  int customers;
  double requests_per_s;
};

constexpr FleetSize kSizes[] = {
    {9, 4, 10, 127}, {74, 4, 24, 424}, {95, 5, 40, 452}};

struct FleetScenario {
  std::string name;
  std::vector<FleetFault> faults;
};

std::vector<FleetScenario> Scenarios() {
  using Kind = FleetFaultKind;
  const auto at = [](Kind kind, double at_s, double for_s, double share = 1,
                     double factor = 1) {
    return FleetFault{.kind = kind,
                      .at = absl::Seconds(at_s),
                      .duration = absl::Seconds(for_s),
                      .share = share,
                      .factor = factor};
  };
  return {
      {"calm", {}},
      {"hot customer", {at(Kind::kHotCustomer, 14, 6, 1, 2.6)}},
      {"isolated twice",
       {at(Kind::kIsolated, 6, 7.8, 0.7), at(Kind::kIsolated, 24, 7.4, 0.6)}},
      {"store away",
       {at(Kind::kStoreCut, 12, 4.5), at(Kind::kStoreCut, 30, 9)}},
      {"store rejects a third", {at(Kind::kStoreRejects, 12, 9, 0.34)}},
      {"store slow", {at(Kind::kStoreSlow, 12.8, 5.9, 1, 90)}},
      {"replies lost", {at(Kind::kRepliesLost, 12, 4.5, 1, 0.35)}},
      {"zone cut", {at(Kind::kZoneCut, 33.5, 6.5)}},
      {"killed", {at(Kind::kKilled, 13, 3.8, 0.16)}},
      {"most killed", {at(Kind::kKilled, 13, 2, 0.55)}},
      {"all killed", {at(Kind::kKilled, 41, 1.1)}},
      {"restarted in turn", {at(Kind::kRestarted, 1, 1.5)}},
      {"all of it",
       {at(Kind::kRestarted, 1, 2, 0.6), at(Kind::kIsolated, 5.9, 7.8, 0.7),
        at(Kind::kHotCustomer, 14, 6, 1, 2.6), at(Kind::kToppedUp, 16, 1, 0.2),
        at(Kind::kStoreSlow, 17, 4, 1, 60), at(Kind::kIsolated, 24, 7.4, 0.6),
        at(Kind::kZoneCut, 33.5, 6.5), at(Kind::kKilled, 41, 1.1)}},
  };
}

}  // namespace

std::vector<TokenExperimentRow> RunTokenExperiment(int seeds) {
  std::vector<TokenExperimentRow> rows;
  std::vector<TokenFleetOptions> options;
  for (const FleetSize& size : kSizes) {
    const int share = std::max(1, seeds * kSizes[0].instances / size.instances);
    for (const FleetScenario& scenario : Scenarios()) {
      rows.push_back({.scenario = scenario.name,
                      .instances = size.instances,
                      .seeds = share});
      options.push_back({.instances = size.instances,
                         .zones = size.zones,
                         .customers = size.customers,
                         .requests_per_s = size.requests_per_s,
                         .faults = scenario.faults});
    }
  }
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < kThreads; ++n) {
    threads.emplace_back([&] {
      for (std::size_t i = next++; i < rows.size(); i = next++) {
        for (int seed = 0; seed < rows[i].seeds; ++seed) {
          TokenFleetOptions run = options[i];
          run.seed = kFirstSeed + static_cast<std::uint64_t>(seed);
          rows[i].sum += SimulateTokenFleet(run);
        }
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  return rows;
}

std::string FormatTokenTable(const std::vector<TokenExperimentRow>& rows) {
  std::string text =
      "| instances | scenario | runs | overspent | false refusals | out of "
      "reach | not granted | held elsewhere | stranded | unserved falsely | "
      "other refusals | store calls/s | most | conflicts/s | peer calls/s | "
      "mean wait ms |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const TokenExperimentRow& row : rows) {
    const TokenFleetResult& sum = row.sum;
    const double seconds = 70.0 * row.seeds;
    absl::StrAppendFormat(&text, "| %d | %s | %d | %d | %.0f", row.instances,
                          row.scenario, row.seeds, sum.overspent,
                          sum.Per10000(sum.AllFalseRefusals()));
    for (const std::int64_t n : sum.false_refusals) {
      absl::StrAppendFormat(&text, " | %.0f", sum.Per10000(n));
    }
    absl::StrAppendFormat(
        &text, " | %.0f | %.0f | %.0f | %d | %.0f | %.0f | %.1f |\n",
        sum.Per10000(sum.falsely_unserved), sum.Per10000(sum.other_refusals),
        static_cast<double>(sum.store_calls) / seconds, sum.peak_store_calls,
        static_cast<double>(sum.conflicts) / seconds,
        static_cast<double>(sum.peer_calls) / seconds,
        absl::ToDoubleMilliseconds(sum.waited) /
            static_cast<double>(std::max<std::int64_t>(1, sum.requests)));
  }
  return text;
}

std::string DrawTokenPlot(const std::vector<TokenExperimentRow>& rows) {
  std::vector<std::string> causes;
  for (std::size_t n = 0; n < kRefusalCauses; ++n) {
    causes.push_back(RefusalCauseName(static_cast<RefusalCause>(n)));
  }
  std::vector<BarPanel> panels;
  for (const TokenExperimentRow& row : rows) {
    const std::string title = absl::StrCat(row.instances, " instances");
    if (panels.empty() || panels.back().title != title) {
      panels.push_back({.title = title, .groups = {}});
    }
    BarGroup group{.label = row.scenario, .values = {}};
    for (const std::int64_t n : row.sum.false_refusals) {
      group.values.push_back(row.sum.Per10000(n));
    }
    panels.back().groups.push_back(std::move(group));
  }
  return DrawBars("Requests refused for tokens falsely, per 10,000", causes,
                  panels);
}

}  // namespace wisteriareel
