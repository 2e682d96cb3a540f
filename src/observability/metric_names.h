#ifndef WISTERIAREEL_SRC_OBSERVABILITY_METRIC_NAMES_H_
#define WISTERIAREEL_SRC_OBSERVABILITY_METRIC_NAMES_H_

#include <string_view>

#include "wisteriareel/counters.h"

namespace wisteriareel {

// Name and help text of a metric. `name` is empty past the last enumerator.
struct MetricName {
  // Full name with prefix and unit.
  std::string_view name;
  std::string_view help;
};

MetricName NameOf(Counter counter);
MetricName NameOf(Timing timing);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_OBSERVABILITY_METRIC_NAMES_H_
