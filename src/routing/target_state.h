#ifndef WISTERIAREEL_SRC_ROUTING_TARGET_STATE_H_
#define WISTERIAREEL_SRC_ROUTING_TARGET_STATE_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>

#include "absl/time/time.h"

namespace wisteriareel {

// Options of a TargetState.
struct TargetStateOptions {
  // Number of consecutive failures that make a target an outlier.
  int consecutive_failures = 5;
  // Share of failed recent attempts above which a target is an outlier.
  double failure_share = 0.5;
  // Min number of recent attempts for `failure_share` to apply.
  int min_attempts = 10;
  // Duration of the first ejection; doubles with each further ejection up to
  // `max_ejection_time`.
  absl::Duration base_ejection_time = absl::Seconds(10);
  absl::Duration max_ejection_time = absl::Minutes(5);
  // Time until a new or readmitted target gets its full share of requests.
  absl::Duration slow_start = absl::Seconds(20);
};

// Load that other instances put on a target, from its last report.
struct OtherInstancesLoad {
  double requests = 0;
  // Age of the report; infinite if there was none.
  absl::Duration age = absl::InfiniteDuration();
};

// Load and health of one target as known to this instance. Shared by the
// routing tables that list the target. Thread-safe; const members take no
// lock.
class TargetState {
 public:
  // `started` is the begin of the slow start; InfinitePast for none.
  TargetState(const TargetStateOptions& options, absl::Time started);

  // Counts an attempt of this instance as in flight until End.
  void Begin(absl::Time now);
  // Ends an attempt. Returns true if the target has become an outlier.
  bool End(bool failed, absl::Time now);

  // Records a report of the target about its `requests` at time `measured`.
  void OnReport(int requests, absl::Time measured);

  // Ejects the target. Returns the end of the ejection.
  absl::Time Eject(absl::Time now);

  // Returns the attempts of this instance that are in flight.
  int in_flight() const { return in_flight_.load(std::memory_order_relaxed); }

  // Returns the requests of other instances at the time of the last report:
  // the reported requests minus this instance's attempts at that time.
  OtherInstancesLoad LoadOfOthers(absl::Time now) const;

  bool IsEjected(absl::Time now) const;

  // Returns the share of its usual load that the target may get, in (0, 1].
  // Less than 1 during a slow start.
  double SlowStartShare(absl::Time now) const;

 private:
  // Attempts of this instance in flight at the end of a time slice.
  struct Sample {
    std::int64_t slice = -1;
    int in_flight = 0;
  };
  static constexpr std::size_t kSamples = 64;

  void RecordInFlight(absl::Time now);
  int InFlightAt(absl::Time time) const;

  const TargetStateOptions options_;
  std::atomic<int> in_flight_ = 0;
  // Requests of other instances, as of `measured_nanos_`.
  std::atomic<int> others_ = 0;
  std::atomic<std::int64_t> measured_nanos_;
  std::atomic<std::int64_t> ejected_until_nanos_;
  std::atomic<std::int64_t> started_nanos_;

  std::mutex mutex_;
  std::array<Sample, kSamples> samples_;
  int consecutive_failures_ = 0;
  double recent_attempts_ = 0;
  double recent_failures_ = 0;
  int ejections_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_TARGET_STATE_H_
