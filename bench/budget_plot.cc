#include "bench/budget_plot.h"

#include <cmath>
#include <cstddef>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace wisteriareel {
namespace {

constexpr double kWidth = 960;
constexpr double kPanelHeight = 240;
constexpr double kPanelTop = 60;
constexpr double kLeftMargin = 60;
constexpr double kPlotHeight = 150;
constexpr double kMaxValue = 10'000;
const char* const kColors[] = {"#6a4c93", "#c9a227", "#4a7c59"};

double Height(double value) {
  return kPlotHeight * std::log10(1 + value) / std::log10(1 + kMaxValue);
}

std::string Text(double x, double y, const std::string& text,
                 const std::string& anchor) {
  return absl::StrFormat(
      "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y,
      anchor, text);
}

std::string DrawGrid(double base) {
  std::string svg;
  for (const double value : {0.0, 1.0, 10.0, 100.0, 1'000.0, 10'000.0}) {
    const double y = base - Height(value);
    absl::StrAppendFormat(&svg,
                          "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
                          "y2=\"%.1f\" stroke=\"#ddd\"/>\n",
                          kLeftMargin, y, kWidth - 10, y);
    svg += Text(kLeftMargin - 6, y + 4, absl::StrCat(value), "end");
  }
  return svg;
}

std::string DrawGroup(const BarGroup& group, double left, double width,
                      double base) {
  std::string svg;
  const double bar = width * 0.8 / static_cast<double>(group.values.size());
  for (std::size_t i = 0; i < group.values.size(); ++i) {
    const double x = left + width * 0.1 + bar * static_cast<double>(i);
    const double height = Height(group.values[i]);
    absl::StrAppendFormat(&svg,
                          "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
                          "height=\"%.1f\" fill=\"%s\"/>\n",
                          x, base - height, bar - 2, height, kColors[i % 3]);
    svg += Text(x + bar / 2, base - height - 3,
                absl::StrFormat("%.3g", group.values[i]), "middle");
  }
  return svg + Text(left + width / 2, base + 16, group.label, "middle");
}

}  // namespace

std::string DrawBars(const std::string& title,
                     const std::vector<std::string>& series,
                     const std::vector<BarPanel>& panels) {
  const double height =
      kPanelTop + kPanelHeight * static_cast<double>(panels.size());
  std::string svg = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
      "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"11\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
      kWidth, height);
  svg += Text(kLeftMargin, 20, title, "start");
  for (std::size_t i = 0; i < series.size(); ++i) {
    const double x = kLeftMargin + 260 * static_cast<double>(i);
    absl::StrAppendFormat(&svg,
                          "<rect x=\"%.1f\" y=\"30\" width=\"10\" "
                          "height=\"10\" fill=\"%s\"/>\n",
                          x, kColors[i % 3]);
    svg += Text(x + 16, 39, series[i], "start");
  }
  for (std::size_t i = 0; i < panels.size(); ++i) {
    const double top = kPanelTop + kPanelHeight * static_cast<double>(i);
    const double base = top + 30 + kPlotHeight;
    svg += Text(kLeftMargin, top + 14, panels[i].title, "start");
    svg += DrawGrid(base);
    const double width = (kWidth - 10 - kLeftMargin) /
                         static_cast<double>(panels[i].groups.size());
    double left = kLeftMargin;
    for (const BarGroup& group : panels[i].groups) {
      svg += DrawGroup(group, left, width, base);
      left += width;
    }
  }
  return svg + "</svg>\n";
}

}  // namespace wisteriareel
