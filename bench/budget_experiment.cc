// Compares implementations of prepaid budgets under faults.
// Usage: budget_experiment TABLE.md PLOT.svg
//        budget_experiment --fleet SEEDS TABLE.md PLOT.svg
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "bench/budget_models.h"
#include "bench/budget_plot.h"
#include "bench/budget_run.h"
#include "bench/budget_trace.h"
#include "bench/token_experiment.h"

namespace wisteriareel {
namespace {

const std::vector<std::uint64_t> kSeeds = {20261204, 20261205, 20261206};

// Number of concurrent runs.
constexpr std::size_t kThreads = 4;

enum class ModelKind { kGrants, kPerRequest, kStaticShares };

// One row of a result table: a model in a deployment under a scenario.
struct ResultRow {
  Deployment deployment;
  Scenario scenario;
  std::string model;
  ModelKind kind = ModelKind::kGrants;
  const SizingPolicy* policy = nullptr;
  RunResult sum;
  std::size_t seeds = 0;
};

std::unique_ptr<BudgetModel> MakeModel(const ResultRow& row) {
  switch (row.kind) {
    case ModelKind::kGrants:
      return MakeGrantModel(row.deployment, row.policy);
    case ModelKind::kPerRequest:
      return MakePerRequestModel(row.deployment);
    case ModelKind::kStaticShares:
      return MakeStaticShareModel(row.deployment);
  }
  return nullptr;
}

void Add(const RunResult& run, RunResult* sum) {
  sum->requests += run.requests;
  sum->overspent += run.overspent;
  sum->refused += run.refused;
  sum->platform_unavailable += run.platform_unavailable;
  sum->holder_dead += run.holder_dead;
  sum->grant_too_small += run.grant_too_small;
  sum->top_up_unseen += run.top_up_unseen;
  sum->covered_in_zone += run.covered_in_zone;
  sum->covered_anywhere += run.covered_anywhere;
  sum->stranded += run.stranded;
  sum->topped_up += run.topped_up;
  sum->max_left = std::max(sum->max_left, run.max_left);
  sum->writes += run.writes;
}

// Runs the experiments of all rows, kThreads at a time.
void RunRows(const std::vector<std::uint64_t>& seeds,
             std::vector<ResultRow>* rows) {
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < kThreads; ++n) {
    threads.emplace_back([rows, &seeds, n] {
      for (std::size_t i = n; i < rows->size(); i += kThreads) {
        ResultRow& row = (*rows)[i];
        row.seeds = seeds.size();
        for (const std::uint64_t seed : seeds) {
          const Trace trace = MakeTrace(row.deployment, seed);
          const auto model = MakeModel(row);
          Add(RunModel(row.deployment, row.scenario, trace, model.get()),
              &row.sum);
        }
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
}

std::string FormatTable(const std::vector<ResultRow>& rows) {
  std::string text =
      "| deployment | scenario | way | overspent | refused | false: platform "
      "away | holder dead | grant too small | top-up not seen | false in all | "
      "lendable in zone / anywhere | stranded, % of top-ups | most left, % | "
      "table writes/s |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const ResultRow& row : rows) {
    const RunResult& sum = row.sum;
    absl::StrAppendFormat(
        &text,
        "| %s | %s | %s | %d | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f "
        "/ %.1f | %.2f | %.2f | %.2f |\n",
        row.deployment.name, row.scenario.name, row.model, sum.overspent,
        sum.Per10000(sum.refused), sum.Per10000(sum.platform_unavailable),
        sum.Per10000(sum.holder_dead), sum.Per10000(sum.grant_too_small),
        sum.Per10000(sum.top_up_unseen), sum.Per10000(sum.FalseRefusals()),
        sum.Per10000(sum.covered_in_zone), sum.Per10000(sum.covered_anywhere),
        100.0 * static_cast<double>(sum.stranded) /
            static_cast<double>(sum.topped_up),
        100 * sum.max_left,
        static_cast<double>(sum.writes) / kExperimentEnd /
            static_cast<double>(row.seeds));
  }
  return text;
}

std::string DrawPlot(const std::vector<ResultRow>& rows) {
  std::vector<BarPanel> panels;
  for (const ResultRow& row : rows) {
    if (panels.empty() || panels.back().title != row.deployment.name) {
      panels.push_back(BarPanel{.title = row.deployment.name, .groups = {}});
    }
    std::vector<BarGroup>& groups = panels.back().groups;
    if (groups.empty() || groups.back().label != row.scenario.name) {
      groups.push_back(BarGroup{.label = row.scenario.name, .values = {}});
    }
    groups.back().values.push_back(row.sum.Per10000(row.sum.FalseRefusals()));
  }
  return DrawBars(
      "False refusals per 10,000 requests",
      {"leased grants", "transaction per request", "equal static shares"},
      panels);
}

// Returns the rows of a sizing policy in all deployments and scenarios, with
// those of the other models if `baselines` is set.
std::vector<ResultRow> MakeRows(const std::string& name,
                                const SizingPolicy* policy, bool baselines) {
  std::vector<ResultRow> rows;
  for (const Deployment& deployment : Deployments()) {
    for (const Scenario& scenario : Scenarios()) {
      rows.push_back(
          {deployment, scenario, name, ModelKind::kGrants, policy, {}, 0});
      if (!baselines) continue;
      rows.push_back({deployment,
                      scenario,
                      "transaction per request",
                      ModelKind::kPerRequest,
                      nullptr,
                      {}});
      rows.push_back({deployment,
                      scenario,
                      "static shares",
                      ModelKind::kStaticShares,
                      nullptr,
                      {}});
    }
  }
  return rows;
}

// A sizing policy under comparison.
struct NamedPolicy {
  std::string name;
  std::unique_ptr<SizingPolicy> policy;
};

std::vector<NamedPolicy> Policies() {
  std::vector<NamedPolicy> policies;
  policies.push_back({"fixed 20,000", MakeFixedSizing(Tokens(20'000))});
  policies.push_back({"demand 60 min", MakeDemandSizing(absl::Minutes(60))});
  for (const double weight : {0.1, 0.3, 0.5, 0.7, 0.9}) {
    policies.push_back({absl::StrCat("horizon ", weight),
                        MakeHorizonSizing({.false_refusal_weight = weight})});
  }
  return policies;
}

std::int64_t Overspent(const std::vector<ResultRow>& rows) {
  std::int64_t overspent = 0;
  for (const ResultRow& row : rows) overspent += row.sum.overspent;
  return overspent;
}

int Main(const std::string& table_path, const std::string& plot_path) {
  const auto standard = MakeHorizonSizing({});
  std::vector<ResultRow> by_model =
      MakeRows("leased grants", standard.get(), true);
  RunRows(kSeeds, &by_model);
  std::ofstream(plot_path) << DrawPlot(by_model);
  std::ofstream table(table_path);
  table << FormatTable(by_model) << std::endl;

  const std::vector<NamedPolicy> policies = Policies();
  std::vector<ResultRow> by_policy;
  for (const NamedPolicy& named : policies) {
    for (ResultRow& row : MakeRows(named.name, named.policy.get(), false)) {
      by_policy.push_back(std::move(row));
    }
  }
  RunRows({kSeeds.front()}, &by_policy);
  table << FormatTable(by_policy);
  return Overspent(by_model) + Overspent(by_policy) == 0 ? EXIT_SUCCESS
                                                         : EXIT_FAILURE;
}

// Refusals for prepaid tokens in simulated fleets of routers.
int RunFleets(int seeds, const std::string& table_path,
              const std::string& plot_path) {
  const std::vector<TokenExperimentRow> rows = RunTokenExperiment(seeds);
  std::ofstream(table_path) << FormatTokenTable(rows);
  std::ofstream(plot_path) << DrawTokenPlot(rows);
  for (const TokenExperimentRow& row : rows) {
    if (row.sum.overspent > 0) return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace wisteriareel

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  int seeds = 0;
  if (arguments.size() == 4 && arguments[0] == "--fleet" &&
      absl::SimpleAtoi(arguments[1], &seeds) && seeds > 0) {
    return wisteriareel::RunFleets(seeds, arguments[2], arguments[3]);
  }
  if (arguments.size() != 2) {
    std::cerr << "usage: budget_experiment TABLE.md PLOT.svg\n"
                 "       budget_experiment --fleet SEEDS TABLE.md PLOT.svg\n";
    return EXIT_FAILURE;
  }
  return wisteriareel::Main(arguments[0], arguments[1]);
}
