#include "src/routing/target_state.h"

#include <algorithm>
#include <limits>

namespace wisteriareel {
namespace {

// Resolution of the samples of attempts in flight.
constexpr absl::Duration kSlice = absl::Milliseconds(100);
constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::min();
// Ensures that a target in its slow start gets some requests.
constexpr double kMinStartShare = 0.1;
// Decay of the recent attempts and failures with each further attempt.
constexpr double kRecentDecay = 0.95;
// Prevents an overflow of the shift that doubles the ejection time.
constexpr int kMaxDoublings = 10;

std::int64_t SliceOf(absl::Time time) {
  return absl::ToUnixNanos(time) / absl::ToInt64Nanoseconds(kSlice);
}

std::int64_t NanosOf(absl::Time time) {
  return time == absl::InfinitePast() ? kNever : absl::ToUnixNanos(time);
}

}  // namespace

TargetState::TargetState(const TargetStateOptions& options, absl::Time started)
    : options_(options),
      measured_nanos_(kNever),
      ejected_until_nanos_(kNever),
      started_nanos_(NanosOf(started)) {}

void TargetState::Begin(absl::Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  in_flight_.fetch_add(1, std::memory_order_relaxed);
  RecordInFlight(now);
}

bool TargetState::End(bool failed, absl::Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  in_flight_.fetch_sub(1, std::memory_order_relaxed);
  RecordInFlight(now);
  recent_attempts_ = recent_attempts_ * kRecentDecay + 1;
  recent_failures_ = recent_failures_ * kRecentDecay + (failed ? 1 : 0);
  consecutive_failures_ = failed ? consecutive_failures_ + 1 : 0;
  if (!failed) return false;
  const bool by_share =
      recent_attempts_ >= options_.min_attempts &&
      recent_failures_ > recent_attempts_ * options_.failure_share;
  return consecutive_failures_ >= options_.consecutive_failures || by_share;
}

void TargetState::OnReport(int requests, absl::Time measured) {
  std::lock_guard<std::mutex> lock(mutex_);
  const std::int64_t nanos = NanosOf(measured);
  if (nanos <= measured_nanos_.load(std::memory_order_relaxed)) return;
  others_.store(std::max(0, requests - InFlightAt(measured)),
                std::memory_order_relaxed);
  measured_nanos_.store(nanos, std::memory_order_relaxed);
}

absl::Time TargetState::Eject(absl::Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  const int doublings = std::min(ejections_, kMaxDoublings);
  const absl::Duration length =
      std::min(options_.max_ejection_time,
               options_.base_ejection_time * (1 << doublings));
  const absl::Time until = now + length;
  ++ejections_;
  consecutive_failures_ = 0;
  recent_attempts_ = 0;
  recent_failures_ = 0;
  ejected_until_nanos_.store(NanosOf(until), std::memory_order_relaxed);
  started_nanos_.store(NanosOf(until), std::memory_order_relaxed);
  return until;
}

OtherInstancesLoad TargetState::LoadOfOthers(absl::Time now) const {
  const std::int64_t measured = measured_nanos_.load(std::memory_order_relaxed);
  if (measured == kNever) return {};
  const int requests = others_.load(std::memory_order_relaxed);
  return {.requests = static_cast<double>(requests),
          .age = now - absl::FromUnixNanos(measured)};
}

bool TargetState::IsEjected(absl::Time now) const {
  return NanosOf(now) < ejected_until_nanos_.load(std::memory_order_relaxed);
}

double TargetState::SlowStartShare(absl::Time now) const {
  const std::int64_t started = started_nanos_.load(std::memory_order_relaxed);
  if (started == kNever) return 1.0;
  const double share = absl::FDivDuration(now - absl::FromUnixNanos(started),
                                          options_.slow_start);
  return std::clamp(share, kMinStartShare, 1.0);
}

void TargetState::RecordInFlight(absl::Time now) {
  const std::int64_t slice = SliceOf(now);
  samples_[static_cast<std::size_t>(slice) % kSamples] = {
      .slice = slice, .in_flight = in_flight()};
}

// Returns the attempts that this instance had in flight at `time`, or the
// current ones if there is no sample that old.
int TargetState::InFlightAt(absl::Time time) const {
  const std::int64_t slice = SliceOf(time);
  const Sample* latest = nullptr;
  for (const Sample& sample : samples_) {
    if (sample.slice < 0 || sample.slice > slice) continue;
    if (latest == nullptr || sample.slice > latest->slice) latest = &sample;
  }
  return latest == nullptr ? in_flight() : latest->in_flight;
}

}  // namespace wisteriareel
