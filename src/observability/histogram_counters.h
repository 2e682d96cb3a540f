#ifndef WISTERIAREEL_SRC_OBSERVABILITY_HISTOGRAM_COUNTERS_H_
#define WISTERIAREEL_SRC_OBSERVABILITY_HISTOGRAM_COUNTERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/reason.h"

namespace wisteriareel {

// A metric whose value is read when the metrics are formatted.
struct Gauge {
  // Name in lower snake case, without the prefix `wisteriareel_`.
  std::string name;
  // Description with the unit.
  std::string help;
  // Thread-safe; must not block.
  std::function<double()> read;
};

// Counters in memory, exposed in the Prometheus text format. Thread-safe. Each
// thread uses one of several shards, so that counting takes no lock and rarely
// contends for a cache line.
class HistogramCounters final : public Counters {
 public:
  HistogramCounters();
  ~HistogramCounters() override;

  void Refused(Reason reason) override;
  void Retried(Reason reason) override;
  void Add(Counter counter, std::uint64_t amount) override;
  void Record(Timing timing, absl::Duration duration) override;

  // Adds `gauge` to the output of FormatMetrics.
  void AddGauge(Gauge gauge);

  // Returns all metrics: every counter, including those that are still zero,
  // one line per reason, the timings as cumulative histograms in seconds, and
  // the gauges.
  std::string FormatMetrics() const;

 private:
  struct Shard;

  Shard& LocalShard() const;

  const std::vector<std::unique_ptr<Shard>> shards_;
  mutable std::mutex gauges_mutex_;
  std::vector<Gauge> gauges_;
};

// Content type of HistogramCounters::FormatMetrics.
inline constexpr char kMetricsContentType[] =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_OBSERVABILITY_HISTOGRAM_COUNTERS_H_
