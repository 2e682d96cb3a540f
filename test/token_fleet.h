#ifndef WISTERIAREEL_TEST_TOKEN_FLEET_H_
#define WISTERIAREEL_TEST_TOKEN_FLEET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace wisteriareel {

// A kind of fault in a simulated fleet.
enum class FleetFaultKind : std::uint8_t {
  // Instances reach neither the store nor each other.
  kIsolated,
  // Instances don't reach the store. They reach each other.
  kStoreCut,
  // The store rejects the calls of some instances.
  kStoreRejects,
  // The store is `factor` times as slow.
  kStoreSlow,
  // The store performs a share `factor` of the writes without a reply.
  kRepliesLost,
  // Instances of one zone don't reach the store or the other zones.
  kZoneCut,
  // Processes end without notice and start again after `duration`.
  kKilled,
  // Processes are stopped gracefully, one after the other, `duration` apart.
  kRestarted,
  // One customer sends `factor` times its usual requests.
  kHotCustomer,
  // The budgets of a `share` of the customers grow by a quarter.
  kToppedUp,
  // Processes are stopped gracefully and don't start again.
  kRemoved,
  // The store is away for `duration` and comes back from a copy that was
  // `factor` seconds old when it went away.
  kStoreRestored,
};

struct FleetFault {
  FleetFaultKind kind = FleetFaultKind::kIsolated;
  // Since the first request.
  absl::Duration at;
  absl::Duration duration;
  // Share of the instances or customers.
  double share = 1;
  double factor = 1;
};

struct TokenFleetOptions {
  int instances = 9;
  int zones = 4;
  int customers = 10;
  double requests_per_s = 127;
  // Time in which requests arrive.
  absl::Duration length = absl::Seconds(56);
  // Budgets as a multiple of the expected demand. Below 1, most customers use
  // up what they paid for, and the last tokens matter.
  double prepaid_factor = 0.95;
  std::vector<FleetFault> faults;
  std::uint64_t seed = 1;
};

// Where the tokens were that a request was refused for.
enum class RefusalCause : std::uint8_t {
  // The instance could reach neither the store nor an instance with tokens.
  kOutOfReach,
  // Not granted to any instance.
  kNotGranted,
  // Free at instances that could be reached.
  kHeldElsewhere,
  // Granted to processes that ended, or lost on the way.
  kStranded,
};
inline constexpr std::size_t kRefusalCauses = 4;

struct TokenFleetResult {
  std::int64_t requests = 0;
  // Requests that no try was admitted for.
  std::int64_t unserved = 0;
  // Refused tries whose request fitted into 97% of the customer's budget, by
  // the cause.
  std::array<std::int64_t, kRefusalCauses> false_refusals{};
  std::int64_t other_refusals = 0;
  // Requests that were refused falsely at their last try.
  std::int64_t falsely_unserved = 0;
  // Refused tries that were told that the budget is exhausted, wrongly.
  std::int64_t false_exhausted = 0;
  // Largest sum of tokens consumed beyond a budget.
  std::int64_t overspent = 0;
  std::int64_t store_calls = 0;
  std::int64_t conflicts = 0;
  std::int64_t peer_calls = 0;
  // Most calls of the store in one second.
  std::int64_t peak_store_calls = 0;
  // Sum of the times that admitted requests waited for tokens.
  absl::Duration waited;

  TokenFleetResult& operator+=(const TokenFleetResult& other);
  std::int64_t AllFalseRefusals() const;
  double Per10000(std::int64_t n) const;
};

// Simulates a fleet of TokenPlanes over a store and a network with faults, on a
// virtual clock.
TokenFleetResult SimulateTokenFleet(const TokenFleetOptions& options);

std::string RefusalCauseName(RefusalCause cause);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_TOKEN_FLEET_H_
