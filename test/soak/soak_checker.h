#ifndef WISTERIAREEL_TEST_SOAK_SOAK_CHECKER_H_
#define WISTERIAREEL_TEST_SOAK_SOAK_CHECKER_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "test/soak/soak_history.h"

namespace wisteriareel::soak {

enum class Promise {
  // A request that was read gets a complete response.
  kNothingLost,
  // A success is the target's complete response to this request.
  kWholeAndOwn,
  // Requests that may not be repeated run once at most.
  kAtMostOnce,
  // A request that is answered as not run has not run.
  kNotRunIsTrue,
  // Processes end only when they are told to.
  kKeepsRunning,
};

std::string_view PromiseName(Promise promise);

struct Violation {
  Promise promise = Promise::kNothingLost;
  // Request or instance that the violation concerns.
  std::string subject;
  std::string detail;

  friend bool operator==(const Violation&, const Violation&) = default;
};

struct CheckerOptions {
  // Time from SIGTERM to the forced end of a process.
  absl::Duration grace = absl::Seconds(8);
  // Time after its last byte within which a request that no target got may
  // cross the close of its connection.
  absl::Duration crossing_time = absl::Milliseconds(200);
  // Requests sent this long after a disturbance aren't judged for losses.
  absl::Duration settle_time = absl::Seconds(3);
  // Time after SIGHUP in which a cut counts as caused by it.
  absl::Duration reload_time = absl::Seconds(2);
  // Losses at other times that one run may have.
  int allowed_losses = 3;
};

// Decides from a complete history whether promises were kept. Does no I/O and
// reads no clock. Immutable, so thread-safe.
class SoakChecker {
 public:
  explicit SoakChecker(const CheckerOptions& options) : options_(options) {}

  // Returns all violations, in the order of the requests.
  std::vector<Violation> Check(const SoakHistory& history) const;

  // Returns whether a request without a complete response counts as lost.
  bool IsLost(const SoakHistory& history, const CallerRecord& request) const;

 private:
  bool IsDisturbed(const SoakHistory& history,
                   const CallerRecord& request) const;
  bool IsAroundPlannedWork(const SoakHistory& history,
                           const CallerRecord& request) const;
  bool IsExcusedByGrace(const SoakHistory& history, const CallerRecord& request,
                        const TargetRun& run) const;

  const CheckerOptions options_;
};

}  // namespace wisteriareel::soak

#endif  // WISTERIAREEL_TEST_SOAK_SOAK_CHECKER_H_
