#include "src/request/request_run.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "src/request/chat_codec.h"

namespace wisteriareel {
namespace {

constexpr int kFirstServerError = 500;
// Retry delay sent to the caller after a refusal for a temporary reason.
constexpr absl::Duration kShortRetryAfter = absl::Seconds(1);

}  // namespace

RequestRun::RequestRun(const RequestServiceOptions& options,
                       const RetryPolicy& policy, RetryBudget* retry_budget,
                       int instances, const CallerRequest& request,
                       ResponseWriter* writer)
    : options_(options),
      policy_(policy),
      retry_budget_(retry_budget),
      instances_(instances),
      request_(request),
      writer_(writer),
      started_(options.clock->Now()),
      config_(options.config->Current()) {
  result_.original_request = request.id;
}

CallResult RequestRun::Run() {
  if (LookUpConfig() && PrepareCall() && AdmitRequest() && AcquireClaim() &&
      ReserveTokens()) {
    RunAttempts();
  }
  CheckEarlierCalls();
  SettleReservation();
  SettleClaim();
  for (const TargetCall& call : abandoned_calls_) {
    options_.targets->Cancel(call);
  }
  if (admission_) {
    options_.admission->ReleaseSlot(*admission_,
                                    options_.clock->Now() - admitted_);
  }
  return result_;
}

CallResult RequestRun::Refuse(Reason reason, absl::Duration retry_after) {
  result_.retry_after = retry_after;
  Fail(reason);
  CheckEarlierCalls();
  SettleReservation();
  return result_;
}

bool RequestRun::LookUpConfig() {
  if (config_->revision() == Revision()) {
    result_.retry_after = kShortRetryAfter;
    return Fail(Reason::kConfigNotLoaded);
  }
  customer_ = config_->FindCustomer(request_.customer);
  if (customer_ == nullptr) return Fail(Reason::kForbidden);
  if (customer_->suspended) return Fail(Reason::kCustomerSuspended);
  return LookUpPool();
}

bool RequestRun::LookUpPool() {
  const bool chat = request_.kind == CallKind::kChat;
  pool_ = chat ? config_->FindPoolForModel(request_.model)
               : config_->FindPoolForPath(request_.path);
  if (pool_ == nullptr) return Fail(Reason::kNoSuchPool);
  const absl::Duration limit =
      chat ? options_.timeouts.chat : options_.timeouts.service;
  deadline_ = std::min(request_.deadline, started_ + limit);
  if (started_ >= deadline_) return Fail(Reason::kDeadlineExceeded);
  idempotent_ =
      config_->IsIdempotent(pool_->id, request_.method, request_.path);
  const bool key_needed = !chat && !idempotent_;
  if (key_needed && request_.idempotency_key.empty()) {
    return Fail(Reason::kIdempotencyKeyMissing);
  }
  return true;
}

// Prepares the body for the targets and computes the maximum cost of the call.
bool RequestRun::PrepareCall() {
  RelayOptions relay{.streamed = request_.streamed,
                     .store_stream = NeedsClaim(),
                     .max_response_bytes = options_.max_response_bytes,
                     .clock = options_.clock,
                     .counters = options_.counters};
  body_ = request_.body;
  worst_case_ = pool_->service_call_tokens;
  if (request_.kind == CallKind::kChat) {
    const std::uint32_t limit = std::max<std::uint32_t>(
        1, request_.output_limit.value_or(pool_->default_output_limit));
    LastReason reason;
    std::optional<ChatBody> chat =
        PrepareChatBody(body_, limit, request_.streamed, &reason);
    if (!chat) return Fail(reason.reason(), reason.detail());
    body_ = std::move(chat->bytes);
    worst_case_ = request_.max_prompt_tokens +
                  Tokens(std::int64_t{limit} * std::int64_t{chat->choices});
    deterministic_ = chat->deterministic;
    relay.chat = true;
    relay.wants_usage = chat->wants_usage;
    relay.compare_retries = idempotent_ && deterministic_;
  }
  relay_ = std::make_unique<ResponseRelay>(relay, writer_);
  return true;
}

bool RequestRun::AdmitRequest() {
  if (options_.admission == nullptr) return true;
  AdmissionRequest admission{.pool = pool_->id,
                             .customer = request_.customer,
                             .weight = customer_->weight,
                             .priority = request_.priority,
                             .capacity = PoolCapacity(),
                             .deadline = deadline_};
  const AdmissionReply reply = options_.admission->AcquireSlot(admission);
  if (!reply.admitted) {
    result_.retry_after = reply.retry_after;
    return Fail(reply.reason);
  }
  admission_ = std::move(admission);
  admitted_ = options_.clock->Now();
  return true;
}

bool RequestRun::ReserveTokens() {
  if (worst_case_ == Tokens()) return true;
  LastReason reason;
  const absl::Time deadline =
      std::min(deadline_, options_.clock->Now() + options_.timeouts.reserve);
  reservation_ = options_.budget->Reserve(request_.budget, request_.id,
                                          worst_case_, deadline, &reason);
  if (reservation_) return true;
  return Fail(reason.reason(), reason.detail());
}

void RequestRun::RunAttempts() {
  if (!ChooseTarget(NextStep::kRetry)) return;
  while (true) {
    const NextAction action = MakeAttempt();
    if (action.step == NextStep::kDeliver) return DeliverResponse();
    if (action.step == NextStep::kFail) return FailRequest(action.reason);
    if (MayRetry(action) && ChooseTarget(action.step)) continue;
    return complete_ ? DeliverResponse() : FailRequest(action.reason);
  }
}

bool RequestRun::ChooseTarget(NextStep step) {
  resuming_ = step == NextStep::kResume;
  if (resuming_) {
    target_ = options_.selector->PickById(pool_->id, target_->id);
    return target_.has_value();
  }
  resumes_without_progress_ = 0;
  // A holder that was paused must not dispatch under a claim that was resolved
  // in the meantime.
  if (claim_ && options_.clock->Now() >= claim_->dispatch_deadline) {
    return Fail(Reason::kClaimUnconfirmed,
                "the dispatch window of the claim has passed");
  }
  LastReason reason;
  const TargetQuery query{.pool = pool_->id,
                          .prefix_hash = request_.prefix_hash,
                          .avoided = avoided_targets_};
  std::optional<PickedTarget> picked =
      options_.selector->Pick(query, options_.clock->Now(), &reason);
  if (!picked) {
    if (attempts_ == 0) {
      result_.retry_after = kShortRetryAfter;
      Fail(reason.reason(), reason.detail());
    }
    return false;
  }
  target_ = std::move(picked);
  return true;
}

NextAction RequestRun::MakeAttempt() {
  ++attempts_;
  attempt_started_ = options_.clock->Now();
  const std::uint64_t previously_delivered = relay_->delivered();
  const TargetCall call = MakeCall();
  ResponseSink* sink = relay_->BeginAttempt();
  const std::atomic<bool> cancelled = false;
  TargetOutcome outcome = options_.targets->Send(call, sink, cancelled);
  complete_ = relay_->EndAttempt(outcome);
  if (outcome.status == 0) outcome.status = relay_->status();
  outcome.verdict =
      ProvenVerdict(outcome, relay_->response_started(), complete_);
  result_.verdict = Combine(result_.verdict, outcome.verdict);
  ReportAttempt(outcome, complete_);
  // A complete response that refuses the call is not a response to the request.
  complete_ = complete_ && outcome.verdict != Verdict::kNotRun;
  const bool progressed = relay_->delivered() > previously_delivered;
  resumes_without_progress_ = progressed ? 0 : resumes_without_progress_;
  const NextAction action = policy_.DecideNext(
      AttemptState{.idempotent = idempotent_,
                   .deterministic = deterministic_,
                   .streamed = request_.streamed,
                   .complete = complete_,
                   .fault = relay_->fault(),
                   .delivered = relay_->delivered(),
                   .attempts = attempts_,
                   .resumes_without_progress = resumes_without_progress_,
                   .outcome = outcome});
  if (action.step == NextStep::kResume) ++resumes_without_progress_;
  RecordAbandoned(call, outcome, action.step);
  return action;
}

// Records a run whose result is no longer needed, to cancel it after the
// request has ended: Cancel may block, and a resumption needs the run. Service
// calls that are not idempotent are left to finish, since they may have
// external side effects.
void RequestRun::RecordAbandoned(const TargetCall& call,
                                 const TargetOutcome& outcome, NextStep step) {
  if (request_.kind == CallKind::kService && !idempotent_) return;
  const bool ended = complete_ || outcome.verdict == Verdict::kNotRun;
  const bool cancelled = outcome.reason == Reason::kCancelled;
  if (ended || cancelled || step == NextStep::kResume) return;
  abandoned_calls_.push_back(call);
}

TargetCall RequestRun::MakeCall() const {
  TargetCall call{.request = request_.id,
                  .idempotency_key = request_.idempotency_key,
                  .attempt = attempts_,
                  .target = target_->id,
                  .endpoint = target_->endpoint,
                  .method = request_.method,
                  .path = request_.path,
                  .body = body_,
                  .priority = request_.priority,
                  .streamed = request_.streamed,
                  .fresh_connection = !idempotent_ || attempts_ > 1,
                  .connect_timeout = options_.timeouts.connect,
                  .deadline = deadline_};
  if (!request_.content_type.empty()) call.content_type = request_.content_type;
  if (resuming_) call.resume_offset = relay_->ResumeOffset();
  call.progress_timeout = deadline_ - options_.clock->Now();
  if (request_.streamed) {
    call.progress_timeout =
        std::min(call.progress_timeout, options_.timeouts.stream_progress);
    call.first_byte_timeout = options_.timeouts.stream_first_byte;
  }
  return call;
}

void RequestRun::ReportAttempt(const TargetOutcome& outcome, bool complete) {
  const bool not_target_fault =
      relay_->fault() == RelayFault::kCallerDisconnected ||
      relay_->fault() == RelayFault::kTooLarge;
  const bool failed =
      (!complete && !not_target_fault) || outcome.status >= kFirstServerError;
  options_.selector->FinishAttempt(pool_->id,
                                   {.target = target_->id, .failed = failed},
                                   options_.clock->Now());
  if (failed) avoided_targets_.push_back(target_->id);
}

bool RequestRun::MayRetry(const NextAction& action) {
  if (writer_->CallerDisconnected()) return false;
  const absl::Time now = options_.clock->Now();
  const absl::Duration pause =
      policy_.ComputeBackoff(attempts_, options_.random->Fraction());
  if (now + pause >= deadline_) return false;
  if (!retry_budget_->TryAcquire(pool_->id, now)) {
    options_.counters->Refused(Reason::kRetryBudgetSpent);
    result_.detail = "the retry budget of the pool is spent";
    return false;
  }
  options_.counters->Retried(action.reason);
  options_.clock->Sleep(pause);
  return true;
}

// Stores the outcome before the caller receives the response, so that a retry
// finds it even if this instance fails.
void RequestRun::DeliverResponse() {
  if (claim_) {
    const std::optional<StoredResponse> response = relay_->TakeStoredResponse();
    options_.claims->Complete(*claim_, response,
                              options_.timeouts.store_outcome);
    outcome_stored_ = true;
  }
  if (!relay_->Finish()) {
    Fail(Reason::kCallerGone);
    return;
  }
  result_.reason = Reason::kNone;
  result_.detail.clear();
  options_.counters->Add(Counter::kAnswersWhole, 1);
}

void RequestRun::FailRequest(Reason reason) {
  if (relay_->output_events() > 0) {
    options_.events->Write(EventId::kResponseBroken, Severity::kWarning,
                           "a stream to a caller could not be completed",
                           {{"request", request_.id.value()},
                            {"target", target_ ? target_->id.value() : ""},
                            {"reason", std::string(ReasonName(reason))},
                            {"events", absl::StrCat(relay_->delivered())}});
  }
  if (result_.verdict == Verdict::kNotRun) {
    result_.retry_after = kShortRetryAfter;
  }
  Fail(reason, result_.detail);
}

bool RequestRun::Fail(Reason reason, std::string detail) {
  result_.reason = reason;
  result_.detail = std::move(detail);
  if (attempts_ == 0) options_.counters->Refused(reason);
  return false;
}

int RequestRun::PoolCapacity() const {
  const int targets = options_.selector->CountAvailable(pool_->id);
  const auto limit = static_cast<int>(pool_->max_in_flight_per_target);
  return std::max(1, targets * limit / std::max(1, instances_));
}

}  // namespace wisteriareel
