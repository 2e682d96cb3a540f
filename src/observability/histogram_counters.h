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

// A value that is read when the page is made.
struct Gauge {
  // Name in lower snake case, without the common prefix.
  std::string name;
  // What it says, with its unit.
  std::string help;
  // Thread-safe; must not block.
  std::function<double()> read;
};

// Counters in memory, shown on a page in the Prometheus text format.
// Thread-safe. Threads count in shards of their own, so that counting takes
// no lock and rarely shares a cache line.
class HistogramCounters final : public Counters {
 public:
  HistogramCounters();
  ~HistogramCounters() override;

  void Refused(Reason reason) override;
  void Retried(Reason reason) override;
  void Add(Counter counter, std::uint64_t amount) override;
  void Record(Timing timing, absl::Duration duration) override;

  // Shows `gauge` from now on.
  void AddGauge(Gauge gauge);

  // Returns the page: every counter, also those that are still zero, one line
  // per reason, and the timings as cumulative histograms in seconds.
  std::string FormatMetrics() const;

 private:
  struct Shard;

  Shard& LocalShard() const;

  const std::vector<std::unique_ptr<Shard>> shards_;
  mutable std::mutex gauges_mutex_;
  std::vector<Gauge> gauges_;
};

// Content type of HistogramCounters::Page.
inline constexpr char kMetricsContentType[] =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_OBSERVABILITY_HISTOGRAM_COUNTERS_H_
