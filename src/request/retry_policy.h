#ifndef WISTERIAREEL_SRC_REQUEST_RETRY_POLICY_H_
#define WISTERIAREEL_SRC_REQUEST_RETRY_POLICY_H_

#include <cstdint>

#include "absl/time/time.h"
#include "src/request/response_relay.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/target_client.h"
#include "wisteriareel/verdict.h"

namespace wisteriareel {

enum class NextStep : std::uint8_t {
  kDeliver,  // The answer is whole; hand it to the caller.
  kRetry,    // Run the request at another target.
  kResume,   // Go on with the same run, at the same target.
  kFail,
};

// What is known of a request after an attempt.
struct AttemptState {
  bool idempotent = false;
  // A repeated run of the same call gives the same text.
  bool deterministic = false;
  bool streamed = false;
  bool whole = false;
  RelayFault fault = RelayFault::kNone;
  // Events that the caller has.
  std::uint64_t delivered = 0;
  // Attempts made so far, this one included.
  int attempts = 1;
  // Resumptions of the current run since an event last arrived.
  int fruitless_resumes = 0;
  TargetOutcome outcome;
};

struct NextAction {
  NextStep step = NextStep::kFail;
  Reason reason = Reason::kNone;

  friend bool operator==(const NextAction&, const NextAction&) = default;
};

struct RetryPolicyOptions {
  int max_attempts = 6;
  int max_fruitless_resumes = 2;
  // Range of the pause before the first repeat; doubles with each one.
  absl::Duration base_pause = absl::Milliseconds(20);
  absl::Duration max_pause = absl::Seconds(1);
};

// Decides what follows an attempt. Immutable and thread-safe; has no state.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetryPolicyOptions& options) : options_(options) {}

  NextAction Decide(const AttemptState& state) const;

  // Returns the pause before attempt number `attempts` + 1, for a uniformly
  // distributed `fraction` in [0, 1).
  absl::Duration Pause(int attempts, double fraction) const;

 private:
  const RetryPolicyOptions options_;
};

// Returns what an attempt proves. A target that began to answer has received
// the call, whatever the client made of it.
Verdict ProvenVerdict(const TargetOutcome& outcome, bool answered, bool whole);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_RETRY_POLICY_H_
