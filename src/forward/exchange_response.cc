#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/forward/exchange.h"

namespace wisteriareel {
namespace {

// A body up to this size is buffered until it is complete, so that a broken
// response can still be replaced by that of another target.
constexpr std::size_t kMaxBufferedBodyBytes = 256 << 10;
// Time from the start of a response after which the prompt is proven not to
// crash targets.
constexpr absl::Duration kPromptProofTime = absl::Seconds(1);
constexpr int kOk = 200;

}  // namespace

bool Exchange::RecordPromptCrash(absl::Time now) {
  const bool has_head = phase_ == Phase::kReceivingResponse;
  // Only streams show whether the target had begun the response.
  const bool response_begun =
      has_head || request_.route->kind != RouteKind::kStreaming;
  const bool failed = has_head && (status_ < 200 || status_ >= 300);
  if (failed || events_.count() > 0 || !buffered_body_.empty()) return true;
  services_.quarantine->RecordCrash(request_.info, placement_->target,
                                    response_begun, now);
  return services_.quarantine->MayRetryAfterCrash(
      request_.info.prompt_segments);
}

void Exchange::RecordPromptProof() {
  if (prompt_proven_) return;
  prompt_proven_ = true;
  services_.quarantine->RecordProof(request_.info.prompt_segments,
                                    attempt_began_at_);
}

void Exchange::OnHead(const ResponseInfo& info, absl::Time now) {
  if (phase_ != Phase::kSent) return;
  last_received_at_ = now;
  RecordNotice(info, now);
  RecordRateLimit(info, now);
  if (info.wrong_target || info.not_run) {
    EndAttempt(info.wrong_target ? AttemptOutcome::kUnreachable
                                 : AttemptOutcome::kRefused,
               now);
    delegate_->CancelAttempt();
    const Reason reason =
        info.wrong_target ? Reason::kTargetUnreachable : Reason::kPoolSaturated;
    if (TryRetry(/*not_run=*/true, reason, now)) return;
    FailAttempt(reason, now);
    return;
  }
  verdict_ = Verdict::kRan;
  const bool success = info.status >= 200 && info.status < 300;
  if (info.status >= 500 && request_.route->kind == RouteKind::kIdempotent &&
      AcquireRetry(/*not_run=*/false, Reason::kTargetFailed, now)) {
    EndAttempt(AttemptOutcome::kFailed, now);
    delegate_->CancelAttempt();
    Dispatch(now);
    return;
  }
  const bool resumed = info.status == kOk && !info.is_other_content;
  if (response_.has_begun() && !resumed) {
    // The target did not resume the stream.
    EndAttempt(AttemptOutcome::kFailed, now);
    delegate_->CancelAttempt();
    if (TryRetry(/*not_run=*/false, Reason::kTargetFailed, now)) return;
    FailAttempt(Reason::kTargetFailed, now);
    return;
  }
  phase_ = Phase::kReceivingResponse;
  attempt_began_at_ = now;
  status_ = info.status;
  ends_with_connection_ = info.ends_with_connection;
  relays_events_ = success && request_.route->kind == RouteKind::kStreaming;
  SetTimer(now);
}

void Exchange::OnBody(std::string_view bytes, absl::Time now) {
  if (phase_ != Phase::kReceivingResponse) return;
  last_received_at_ = now;
  if (relays_events_) {
    RelayEvents(bytes, now);
    return;
  }
  if (placement_.has_value()) {
    services_.pool->RecordResponseStart(&*placement_, now - sent_at_, now);
  }
  if (response_.has_begun()) {
    response_.SendBody(std::string(bytes));
    return;
  }
  buffered_body_.append(bytes);
  const bool has_memory =
      services_.limiter == nullptr || !services_.limiter->IsNearlyFull();
  if (has_memory && buffered_body_.size() <= kMaxBufferedBodyBytes) return;
  response_.SendBody(std::exchange(buffered_body_, {}));
}

void Exchange::RelayEvents(std::string_view bytes, absl::Time now) {
  const std::vector<StreamEvent> events = events_.Add(bytes);
  std::string new_bytes;
  bool is_malformed = false;
  for (const StreamEvent& event : events) {
    // An error response within the stream isn't relayed.
    is_malformed = !IsWellFormed(event);
    if (is_malformed) break;
    const std::optional<std::int64_t> last_delivered =
        last_event_.has_value() ? last_event_ : request_.info.resume_after;
    // A resumed stream may repeat events that were already delivered.
    if (event.id.has_value() && last_delivered.has_value() &&
        *event.id <= *last_delivered) {
      continue;
    }
    new_bytes += event.bytes;
    ++events_sent_;
    if (event.id.has_value()) last_event_ = event.id;
  }
  if (placement_.has_value() && !events.empty()) {
    services_.pool->RecordResponseStart(&*placement_, now - sent_at_, now);
  }
  if (!events.empty() && now - attempt_began_at_ >= kPromptProofTime) {
    RecordPromptProof();
  }
  if (!new_bytes.empty()) {
    if (!response_.has_begun()) first_event_at_ = now;
    response_.SendBody(std::move(new_bytes));
    SetTimer(now);
  }
  if (is_malformed) {
    OnBroken(BrokenCause::kOther, now);
    return;
  }
  if (events_.HasOversizedEvent()) {
    delegate_->CancelAttempt();
    EndAttempt(AttemptOutcome::kIncomplete, now);
    FailAttempt(Reason::kTooLarge, now);
  }
}

void Exchange::OnEnd(absl::Time now) {
  if (phase_ != Phase::kReceivingResponse) return;
  // A connection that ends before the first event doesn't show that the stream
  // has no more of them.
  const bool is_broken = events_.HasPartial() || !response_.has_begun() ||
                         (ends_with_connection_ && events_.count() == 0);
  if (relays_events_ && is_broken) {
    OnBroken(ends_with_connection_ ? BrokenCause::kClosed : BrokenCause::kOther,
             now);
    return;
  }
  EndAttempt(
      status_ >= 500 ? AttemptOutcome::kFailed : AttemptOutcome::kSucceeded,
      now);
  if (status_ >= 200 && status_ < 300) RecordPromptProof();
  response_.Finish(std::exchange(buffered_body_, {}));
  services_.counters->Add(Counter::kAnswersWhole, 1);
  Finish(kAnswered, Reason::kNone, now);
}

void Exchange::OnBroken(BrokenCause cause, absl::Time now) {
  if (phase_ != Phase::kSent && phase_ != Phase::kReceivingResponse) return;
  LogBrokenAttempt(now);
  delegate_->CancelAttempt();
  const bool may_retry = cause == BrokenCause::kOther || RecordPromptCrash(now);
  EndAttempt(AttemptOutcome::kIncomplete, now);
  verdict_ = Combine(verdict_, Verdict::kMayHaveRun);
  if (may_retry && TryRetry(/*not_run=*/false, Reason::kAnswerIncomplete, now))
    return;
  FailAttempt(Reason::kAnswerIncomplete, now);
}

}  // namespace wisteriareel
