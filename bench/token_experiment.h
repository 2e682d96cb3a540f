#ifndef WISTERIAREEL_BENCH_TOKEN_EXPERIMENT_H_
#define WISTERIAREEL_BENCH_TOKEN_EXPERIMENT_H_

#include <string>
#include <vector>

#include "test/token_fleet.h"

namespace wisteriareel {

// The results of one scenario at one size, summed over the seeds.
struct TokenExperimentRow {
  std::string scenario;
  int instances = 0;
  int seeds = 0;
  TokenFleetResult sum;
};

// Simulates fleets of TokenPlanes in all scenarios at all sizes, `seeds` times
// each at the smallest size and fewer times at larger ones.
std::vector<TokenExperimentRow> RunTokenExperiment(int seeds);

// Returns a Markdown table of the rows.
std::string FormatTokenTable(const std::vector<TokenExperimentRow>& rows);

// Returns an SVG plot of the false refusals by cause.
std::string DrawTokenPlot(const std::vector<TokenExperimentRow>& rows);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BENCH_TOKEN_EXPERIMENT_H_
