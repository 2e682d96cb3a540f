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
  kDeliver,  // Send the complete response to the caller.
  kRetry,    // Run the request again, if possible at another target.
  kResume,   // Resume the same run at the same target.
  kFail,
};

// State of a request after an attempt.
struct AttemptState {
  bool idempotent = false;
  // Whether a second run of the same call gives the same response.
  bool deterministic = false;
  bool streamed = false;
  bool complete = false;
  RelayFault fault = RelayFault::kNone;
  // Events delivered to the caller.
  std::uint64_t delivered = 0;
  // Attempts made so far, including this one.
  int attempts = 1;
  // Resumptions of the current run since the last new event.
  int resumes_without_progress = 0;
  TargetOutcome outcome;
};

struct NextAction {
  NextStep step = NextStep::kFail;
  Reason reason = Reason::kNone;

  friend bool operator==(const NextAction&, const NextAction&) = default;
};

struct RetryPolicyOptions {
  int max_attempts = 6;
  int max_resumes_without_progress = 2;
  // Upper bound of the delay before the first retry; doubles with each retry.
  absl::Duration base_backoff = absl::Milliseconds(20);
  absl::Duration max_backoff = absl::Seconds(1);
};

// Decides what follows an attempt. Immutable; thread-safe.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetryPolicyOptions& options) : options_(options) {}

  NextAction DecideNext(const AttemptState& state) const;

  // Returns the delay before attempt number `attempts` + 1. `fraction` is a
  // random number, uniformly distributed in [0, 1).
  absl::Duration ComputeBackoff(int attempts, double fraction) const;

 private:
  const RetryPolicyOptions options_;
};

// Returns the verdict that an attempt proves. A target whose response has
// started has received the call, even if the client reports otherwise.
Verdict ProvenVerdict(const TargetOutcome& outcome, bool response_started,
                      bool complete);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_RETRY_POLICY_H_
