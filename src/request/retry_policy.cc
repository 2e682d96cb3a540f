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
    case RelayFault::kCallerDisconnected:
      return Reason::kCallerGone;
    case RelayFault::kTooLarge:
      return Reason::kTooLarge;
    case RelayFault::kGap:
    case RelayFault::kTextDiffers:
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
  return fault == RelayFault::kCallerDisconnected ||
         fault == RelayFault::kTooLarge || fault == RelayFault::kTextDiffers;
}

}  // namespace

NextAction RetryPolicy::DecideNext(const AttemptState& state) const {
  const Reason reason = ReasonOf(state);
  const bool refused = state.outcome.verdict == Verdict::kNotRun;
  const bool server_error = state.outcome.status >= kFirstServerError;
  const bool attempts_left = state.attempts < options_.max_attempts;
  if (state.complete && !refused) {
    const bool again = server_error && state.idempotent && attempts_left;
    return {again ? NextStep::kRetry : NextStep::kDeliver, reason};
  }
  if (IsFinal(state.fault) || !attempts_left) return {NextStep::kFail, reason};
  // With a single delivered event, none is left to compare a resumption with.
  const bool resumable = state.streamed && state.delivered > 1 &&
                         state.fault != RelayFault::kNotResumable;
  if (resumable &&
      state.resumes_without_progress < options_.max_resumes_without_progress) {
    return {NextStep::kResume, reason};
  }
  return {MayRunAgain(state) ? NextStep::kRetry : NextStep::kFail, reason};
}

absl::Duration RetryPolicy::ComputeBackoff(int attempts,
                                           double fraction) const {
  const int doublings = std::min(attempts - 1, kMaxDoublings);
  const absl::Duration range =
      std::min(options_.max_backoff, options_.base_backoff * (1 << doublings));
  return range * fraction;
}

Verdict ProvenVerdict(const TargetOutcome& outcome, bool response_started,
                      bool complete) {
  if (complete && outcome.verdict != Verdict::kNotRun) return Verdict::kRan;
  const bool refusal = outcome.status >= kFirstErrorStatus;
  if (outcome.verdict == Verdict::kNotRun && response_started && !refusal) {
    return Verdict::kMayHaveRun;
  }
  if (outcome.verdict == Verdict::kRan && !complete) {
    return Verdict::kMayHaveRun;
  }
  return outcome.verdict;
}

}  // namespace wisteriareel
