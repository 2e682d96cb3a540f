#ifndef WISTERIAREEL_TEST_RATE_LIMIT_FLEET_H_
#define WISTERIAREEL_TEST_RATE_LIMIT_FLEET_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/target_rate_limits.h"

namespace wisteriareel {

// How instances of a simulated fleet keep the limit of a target.
enum class RateLimitWay : std::uint8_t {
  // TargetRateLimits.
  kSlots,
  // Each of n instances sends 1/n of the limit, one request at a time.
  kEqualSplit,
  // Up to four instances, by rendezvous rank, send an equal part each.
  kSubset,
};

// How the requests for the target are spread over the instances.
enum class DemandShape : std::uint8_t {
  kEqual,
  // One instance gets half of the requests.
  kOneHasHalf,
  // Half of the instances get no requests.
  kHalfHaveNone,
};

struct RateLimitFault {
  enum class Kind : std::uint8_t {
    // Processes end without notice and start again after `duration`.
    kKilled,
    // Instances don't reach the platform or each other. They reach the target.
    kCut,
    // Instances with new names start, as a `share` of those at the start.
    kJoined,
  };
  Kind kind = Kind::kKilled;
  // Since the start.
  absl::Duration at;
  absl::Duration duration;
  // Share of the instances.
  double share = 0.34;
};

// What the target names from a time on.
struct RateLimitChange {
  // Since the start.
  absl::Duration at;
  // Requests per second; unset if the target names no limit.
  std::optional<double> per_second;
};

struct RateLimitFleetOptions {
  RateLimitWay way = RateLimitWay::kSlots;
  // For kSlots; `self` is set for each instance.
  TargetRateLimitsOptions limits;
  int instances = 8;
  // In time order, at least one.
  std::vector<RateLimitChange> changes;
  DemandShape shape = DemandShape::kEqual;
  // Requests per second for the target at all instances together.
  double requests_per_s = 5;
  // No requests arrive in this time, since the start; `burst` requests arrive
  // at its end, besides the usual ones.
  absl::Duration pause_at;
  absl::Duration pause_end;
  int burst = 0;
  // A request that can't be sent waits for this time.
  absl::Duration patience;
  // Time after which a notice reaches other instances; infinite if it doesn't.
  absl::Duration notice_delay = absl::Seconds(1);
  absl::Duration max_clock_error = absl::Milliseconds(50);
  // Delay of the platform's responses, which instances read its clock from.
  absl::Duration max_platform_delay = absl::Seconds(1);
  // Time from a send to its arrival, and from the head to its arrival.
  absl::Duration max_delay = absl::Milliseconds(350);
  // Time from an arrival to the head of the response.
  absl::Duration max_response_time = absl::Milliseconds(1500);
  std::vector<RateLimitFault> faults;
  absl::Duration length = absl::Seconds(60);
  std::uint64_t seed = 1;
};

struct RateLimitFleetResult {
  // Arrivals in the 4 s window that comes closest to the bound or exceeds it
  // most, and the bound: 1.5 times the highest limit in force since 3 s before
  // the window, for 4 s, and 5 requests. Windows start 3 s after the target
  // first named a limit. Only instances count that the target had told 0.5 s
  // before.
  int worst_arrivals = 0;
  double worst_bound = 0;
  // The same without instances that were killed or cut.
  int worst_unaffected_arrivals = 0;
  double worst_unaffected_bound = 0;
  // Arrivals as a share of what the limit allows, from 10 s after the target
  // first named it.
  double used_share = 0;
  int arrivals = 0;

  bool KeepsLimit() const { return worst_arrivals <= worst_bound; }
};

// Simulates a fleet of instances with one target. Instances write heartbeats
// and read those of others as InstanceRegistry does by default.
RateLimitFleetResult RunRateLimitFleet(const RateLimitFleetOptions& options);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_RATE_LIMIT_FLEET_H_
