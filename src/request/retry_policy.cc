#include "src/request/retry_policy.h"

#include <algorithm>

namespace wisteriareel {
namespace {

constexpr int kFirstErrorStatus = 400;
constexpr int kMaxDoublings = 16;
constexpr int kFirstServerError = 500;

Reason FaultReason(RelayFault fault) {
  switch (fault) {
    case RelayFault::kNone:
      return Reason::kNone;
    case RelayFault::kCallerGone:
      return Reason::kCallerGone;
    case RelayFault::kTooLarge:
      return Reason::kTooLarge;
    case RelayFault::kGap:
    case RelayFault::kDiffers:
    case RelayFault::kNotResumable:
      return Reason::kAnswerIncomplete;
  }
  return Reason::kAnswerIncomplete;
}

Reason ReasonOf(const AttemptState& state) {
  if (state.fault != RelayFault::kNone) return FaultReason(state.fault);
  if (state.outcome.reason != Reason::kNone) return state.outcome.reason;
  if (state.outcome.status >= kFirstServerError) return Reason::kTargetFailed;
  return Reason::kAnswerIncomplete;
}

bool MayRunAgain(const AttemptState& state) {
  if (state.delivered > 0) return state.idempotent && state.deterministic;
  return state.idempotent || state.outcome.verdict == Verdict::kNotRun;
}

bool IsFinal(RelayFault fault) {
  return fault == RelayFault::kCallerGone || fault == RelayFault::kTooLarge ||
         fault == RelayFault::kDiffers;
}

}  // namespace

NextAction RetryPolicy::Decide(const AttemptState& state) const {
  const Reason reason = ReasonOf(state);
  const bool refused = state.outcome.verdict == Verdict::kNotRun;
  const bool server_error = state.outcome.status >= kFirstServerError;
  const bool attempts_left = state.attempts < options_.max_attempts;
  if (state.whole && !refused) {
    const bool again = server_error && state.idempotent && attempts_left;
    return {again ? NextStep::kRetry : NextStep::kDeliver, reason};
  }
  if (IsFinal(state.fault) || !attempts_left) return {NextStep::kFail, reason};
  // A single event leaves none to compare a resumption with.
  const bool resumable = state.streamed && state.delivered > 1 &&
                         state.fault != RelayFault::kNotResumable;
  if (resumable && state.fruitless_resumes < options_.max_fruitless_resumes) {
    return {NextStep::kResume, reason};
  }
  return {MayRunAgain(state) ? NextStep::kRetry : NextStep::kFail, reason};
}

absl::Duration RetryPolicy::Pause(int attempts, double fraction) const {
  const int doublings = std::min(attempts - 1, kMaxDoublings);
  const absl::Duration range =
      std::min(options_.max_pause, options_.base_pause * (1 << doublings));
  return range * fraction;
}

Verdict ProvenVerdict(const TargetOutcome& outcome, bool answered, bool whole) {
  if (whole && outcome.verdict != Verdict::kNotRun) return Verdict::kRan;
  const bool refusal = outcome.status >= kFirstErrorStatus;
  if (outcome.verdict == Verdict::kNotRun && answered && !refusal) {
    return Verdict::kMayHaveRun;
  }
  if (outcome.verdict == Verdict::kRan && !whole) return Verdict::kMayHaveRun;
  return outcome.verdict;
}

}  // namespace wisteriareel
