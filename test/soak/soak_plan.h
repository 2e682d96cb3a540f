#ifndef WISTERIAREEL_TEST_SOAK_SOAK_PLAN_H_
#define WISTERIAREEL_TEST_SOAK_SOAK_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace wisteriareel::soak {

enum class FaultKind {
  // SIGTERM; the process is started again after its end.
  kStop,
  // SIGHUP.
  kReload,
  // SIGSTOP, and SIGCONT after the duration.
  kFreeze,
  // SIGKILL; the process is started again after the duration.
  kKill,
  // The output of one instance isn't read for the duration.
  kPauseLog,
  // The store refuses all calls for the duration.
  kStoreAway,
};

// Names on the command line, such as "stop".
std::string_view FaultName(FaultKind kind);
std::optional<FaultKind> ParseFaultName(std::string_view name);

struct PlannedFault {
  // Time from the start of the traffic.
  absl::Duration at;
  FaultKind kind = FaultKind::kStop;
  int instance = 0;
  absl::Duration duration;

  friend bool operator==(const PlannedFault&, const PlannedFault&) = default;
};

struct PlanOptions {
  std::uint64_t seed = 1;
  absl::Duration length = absl::Seconds(20);
  int instances = 4;
  // Not empty.
  std::vector<FaultKind> kinds;
};

// Returns the faults of a seed in the order of their times. Depends on the
// options only. Stops of one instance don't overlap.
std::vector<PlannedFault> MakePlan(const PlanOptions& options);

}  // namespace wisteriareel::soak

#endif  // WISTERIAREEL_TEST_SOAK_SOAK_PLAN_H_
