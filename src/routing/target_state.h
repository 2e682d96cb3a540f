#ifndef WISTERIAREEL_SRC_ROUTING_TARGET_STATE_H_
#define WISTERIAREEL_SRC_ROUTING_TARGET_STATE_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>

#include "absl/time/time.h"

namespace wisteriareel {

struct TargetStateOptions {
  // Failures in a row that make a target an outlier.
  int consecutive_failures = 5;
  // Share of recent attempts that failed, beyond which it is one too.
  double failure_share = 0.5;
  // Recent attempts needed to judge by their share.
  int min_attempts = 10;
  // First ejection; doubles with each one that follows soon.
  absl::Duration base_ejection_time = absl::Seconds(10);
  absl::Duration max_ejection_time = absl::Minutes(5);
  // Time in which a new or readmitted target gets its full share.
  absl::Duration slow_start = absl::Seconds(20);
};

// What a target's last report says of the work of other instances.
struct OtherInstancesLoad {
  double requests = 0;
  // Infinite if there was no report.
  absl::Duration age = absl::InfiniteDuration();
};

// What this instance knows of one target's load and health. Shared by the
// routing tables that list the target. Thread-safe; reads take no lock.
class TargetState {
 public:
  // `started` begins a slow start; InfinitePast for none.
  TargetState(const TargetStateOptions& options, absl::Time started);

  // Counts an attempt from this instance as in flight, until End.
  void Begin(absl::Time now);
  // Returns true if the target has become an outlier.
  bool End(bool failed, absl::Time now);

  // Takes the target's word that `requests` were there at `measured`.
  void OnReport(int requests, absl::Time measured);

  // Gives the target no new work for a while. Returns until when.
  absl::Time Eject(absl::Time now);

  // Returns the attempts in flight from this instance.
  int in_flight() const { return in_flight_.load(std::memory_order_relaxed); }

  // Returns the requests of other instances at the target when it last
  // reported: those that it had beyond this instance's own at that time.
  OtherInstancesLoad LoadOfOthers(absl::Time now) const;

  bool IsEjected(absl::Time now) const;

  // Returns the share of its work that the target may get, in (0, 1].
  double SlowStartShare(absl::Time now) const;

 private:
  // This instance's attempts in flight at the end of a slice of time.
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
