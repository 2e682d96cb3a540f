#ifndef WISTERIAREEL_BENCH_BUDGET_PLOT_H_
#define WISTERIAREEL_BENCH_BUDGET_PLOT_H_

#include <string>
#include <vector>

namespace wisteriareel {

// One group of bars, a bar per series.
struct BarGroup {
  std::string label;
  std::vector<double> values;
};

// One panel of a bar chart.
struct BarPanel {
  std::string title;
  std::vector<BarGroup> groups;
};

// Returns an SVG image of the panels, one below the other, with bars scaled
// by the logarithm of one plus the value.
std::string DrawBars(const std::string& title,
                     const std::vector<std::string>& series,
                     const std::vector<BarPanel>& panels);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BENCH_BUDGET_PLOT_H_
