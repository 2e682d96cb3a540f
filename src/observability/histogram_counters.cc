#include "src/observability/histogram_counters.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <cmath>
#include <cstddef>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "src/observability/metric_names.h"

namespace wisteriareel {
namespace {

namespace bh = boost::histogram;

constexpr std::size_t kShards = 8;
// Exclusive upper bounds of the values of Reason, Counter and Timing. Larger
// values aren't counted.
constexpr std::size_t kMaxReasons = 1000;
constexpr std::size_t kMaxCounters = 64;
constexpr std::size_t kMaxTimings = 16;

// Buckets range from 100 microseconds to 1000 seconds, five per decade. Shorter
// durations are counted in the first bucket, longer ones only in +Inf.
constexpr int kBuckets = 35;
constexpr double kMinSeconds = 1e-4;
constexpr double kMaxSeconds = 1e3;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Cells = std::vector<bh::accumulators::thread_safe<std::uint64_t>>;
using Histogram =
    bh::histogram<std::tuple<Axis>, bh::dense_storage<Cells::value_type>>;

Histogram MakeTimings() {
  return Histogram(Axis(kBuckets, kMinSeconds, kMaxSeconds));
}

std::size_t NextShard() {
  static std::atomic<std::size_t> next = 0;
  return next.fetch_add(1, std::memory_order_relaxed) % kShards;
}

absl::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

void AppendHeader(std::string* page, std::string_view name,
                  std::string_view help, absl::string_view type) {
  absl::StrAppend(page, "# HELP ", View(name), " ", View(help), "\n# TYPE ",
                  View(name), " ", type, "\n");
}

}  // namespace

struct HistogramCounters::Shard {
  using Cell = std::atomic<std::uint64_t>;

  std::array<Cell, kMaxReasons> refused{};
  std::array<Cell, kMaxReasons> retried{};
  std::array<Cell, kMaxCounters> counters{};
  std::vector<Histogram> timings =
      std::vector<Histogram>(kMaxTimings, MakeTimings());
  std::array<Cell, kMaxTimings> nanoseconds{};
};

namespace {

template <typename Shards, typename Read>
std::uint64_t SumShards(const Shards& shards, const Read& read) {
  std::uint64_t sum = 0;
  for (const auto& shard : shards) sum += read(*shard);
  return sum;
}

template <std::size_t kSize>
void Increment(std::array<std::atomic<std::uint64_t>, kSize>* cells,
               std::size_t index, std::uint64_t amount) {
  if (index >= kSize) return;
  (*cells)[index].fetch_add(amount, std::memory_order_relaxed);
}

template <typename Shards, typename Cells>
void AppendReasons(std::string* page, std::string_view name,
                   std::string_view help, const Shards& shards, Cells cells) {
  AppendHeader(page, name, help, "counter");
  for (std::size_t n = 1; n < kMaxReasons; ++n) {
    const std::string_view reason = ReasonName(static_cast<Reason>(n));
    if (reason == "unknown") continue;
    const std::uint64_t sum = SumShards(
        shards, [&](const auto& shard) { return (shard.*cells)[n].load(); });
    absl::StrAppend(page, View(name), "{reason=\"", View(reason), "\"} ", sum,
                    "\n");
  }
}

}  // namespace

HistogramCounters::HistogramCounters()
    : shards_([] {
        std::vector<std::unique_ptr<Shard>> shards;
        shards.reserve(kShards);
        for (std::size_t n = 0; n < kShards; ++n) {
          shards.push_back(std::make_unique<Shard>());
        }
        return shards;
      }()) {}

HistogramCounters::~HistogramCounters() = default;

HistogramCounters::Shard& HistogramCounters::LocalShard() const {
  thread_local const std::size_t shard = NextShard();
  return *shards_[shard];
}

void HistogramCounters::Refused(Reason reason) {
  Increment(&LocalShard().refused, static_cast<std::size_t>(reason), 1);
}

void HistogramCounters::Retried(Reason reason) {
  Increment(&LocalShard().retried, static_cast<std::size_t>(reason), 1);
}

void HistogramCounters::Add(Counter counter, std::uint64_t amount) {
  Increment(&LocalShard().counters, static_cast<std::size_t>(counter), amount);
}

void HistogramCounters::Record(Timing timing, absl::Duration duration) {
  const auto index = static_cast<std::size_t>(timing);
  if (index >= kMaxTimings) return;
  const absl::Duration clamped = std::max(duration, absl::ZeroDuration());
  Shard& shard = LocalShard();
  shard.timings[index](absl::ToDoubleSeconds(clamped));
  Increment(&shard.nanoseconds, index,
            static_cast<std::uint64_t>(absl::ToInt64Nanoseconds(clamped)));
}

void HistogramCounters::AddGauge(Gauge gauge) {
  std::lock_guard<std::mutex> lock(gauges_mutex_);
  gauges_.push_back(std::move(gauge));
}

std::string HistogramCounters::FormatMetrics() const {
  std::string page;
  AppendReasons(&page, "wisteriareel_refused_total",
                "Requests and calls refused, by reason.", shards_,
                &Shard::refused);
  AppendReasons(&page, "wisteriareel_retried_total",
                "Attempts retried, by reason.", shards_, &Shard::retried);
  for (std::size_t n = 0; n < kMaxCounters; ++n) {
    const MetricName metric = NameOf(static_cast<Counter>(n));
    if (metric.name.empty()) break;
    const std::uint64_t sum = SumShards(
        shards_, [&](const Shard& shard) { return shard.counters[n].load(); });
    AppendHeader(&page, metric.name, metric.help, "counter");
    absl::StrAppend(&page, View(metric.name), " ", sum, "\n");
  }
  for (std::size_t n = 0; n < kMaxTimings; ++n) {
    const MetricName metric = NameOf(static_cast<Timing>(n));
    if (metric.name.empty()) break;
    AppendHeader(&page, metric.name, metric.help, "histogram");
    const Axis& axis = shards_.front()->timings[n].axis();
    std::uint64_t sum = 0;
    // Index -1 is the underflow bucket, the last index the overflow bucket.
    for (int i = -1; i <= axis.size(); ++i) {
      sum += SumShards(shards_, [&](const Shard& shard) {
        return static_cast<std::uint64_t>(shard.timings[n].at(i).load());
      });
      const std::string bound =
          i == axis.size() ? "+Inf" : absl::StrCat(axis.value(i + 1));
      absl::StrAppend(&page, View(metric.name), "_bucket{le=\"", bound, "\"} ",
                      sum, "\n");
    }
    const std::uint64_t ns = SumShards(shards_, [&](const Shard& shard) {
      return shard.nanoseconds[n].load();
    });
    absl::StrAppend(&page, View(metric.name), "_sum ",
                    static_cast<double>(ns) * 1e-9, "\n", View(metric.name),
                    "_count ", sum, "\n");
  }
  std::lock_guard<std::mutex> lock(gauges_mutex_);
  for (const Gauge& gauge : gauges_) {
    const std::string name = absl::StrCat("wisteriareel_", gauge.name);
    AppendHeader(&page, name, gauge.help, "gauge");
    absl::StrAppend(&page, name, " ", gauge.read(), "\n");
  }
  return page;
}

}  // namespace wisteriareel
