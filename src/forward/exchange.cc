#include "src/forward/exchange.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

// Minimum wait for tokens from the platform, enough for a few calls with one
// retry. Applies if the route's objective is shorter.
constexpr absl::Duration kMinBudgetWait = absl::Milliseconds(400);
// Number of failed connections after which a request is refused.
constexpr int kMaxUnreachable = 4;
// A request that did not run is retried once even on routes that allow a single
// attempt, because that limit is meant for attempts that may have run.
constexpr int kMinSendsIfNotRun = 2;
// With less time left, another attempt isn't worth its cost.
constexpr absl::Duration kMinAttemptTime = absl::Milliseconds(60);
// Values of Retry-After for callers.
constexpr absl::Duration kBusyRetryAfter = absl::Milliseconds(500);
constexpr absl::Duration kBudgetRetryAfter = absl::Milliseconds(800);
// Callers that are told to return when tokens become usable are spread over
// this multiple of their time.
constexpr double kRetrySpread = 1.3;
constexpr absl::Duration kMinBudgetRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration kMaxBudgetRetryAfter = absl::Seconds(3);
// Idle timeouts of a target as multiples of the route's objectives. A retryable
// request is then sent to another target.
constexpr double kHeadTimeoutFactor = 2.5;
constexpr double kPauseTimeoutFactor = 4;
constexpr absl::Duration kMinIdleTimeout = absl::Milliseconds(300);
// Age below which a quarantine is new.
constexpr absl::Duration kNewQuarantine = absl::Seconds(1);
constexpr int kUnavailable = 503;
constexpr int kUrgencyPerCustomerPriority = 3;
constexpr int kLeastUrgent = 9;

std::string Ms(absl::Duration duration) {
  return absl::StrCat(absl::ToInt64Milliseconds(duration));
}

}  // namespace

absl::Time ExchangeRequest::Deadline() const {
  absl::Duration limit = route->timeout;
  if (info.caller_timeout.has_value()) {
    limit = std::min(limit, *info.caller_timeout);
  }
  return arrived + limit;
}

Exchange::Exchange(ExchangeRequest request, const ExchangeServices& services,
                   ExchangeDelegate* delegate)
    : request_(std::move(request)),
      services_(services),
      delegate_(delegate),
      response_(delegate) {}

Exchange::~Exchange() = default;

void Exchange::Start(absl::Time now) {
  services_.counters->Add(Counter::kRequests, 1);
  services_.retry_limiter->RecordRequest(request_.service, now);
  if (RefuseIfQuarantined(now)) return;
  phase_ = Phase::kReservingTokens;
  TryReserve(now);
}

void Exchange::OnLedgerChanged(absl::Time now) {
  if (phase_ == Phase::kReservingTokens) TryReserve(now);
}

void Exchange::TryReserve(absl::Time now) {
  const Tokens max_tokens = request_.info.MaxTokens();
  if (!request_.engine.has_value() || request_.customer.empty()) {
    Dispatch(now);
    return;
  }
  switch (services_.ledger->Reserve(request_.customer, max_tokens, now)) {
    case ReserveResult::kReserved:
      reserved_ = true;
      Dispatch(now);
      return;
    case ReserveResult::kWait:
      SetTimer(now);
      return;
    case ReserveResult::kExhausted:
      FailRequest(402, Reason::kBudgetExhausted, std::nullopt, now);
      return;
    case ReserveResult::kHeldElsewhere:
      FailRequest(503, Reason::kGrantTooSmall, kBudgetRetryAfter, now);
      return;
    case ReserveResult::kPlatformUnavailable:
      FailRequest(503, Reason::kBudgetPlatformAway, TokenRetryAfter(now), now);
      return;
  }
}

absl::Duration Exchange::TokenRetryAfter(absl::Time now) const {
  const absl::Duration wait = services_.ledger->TimeUntilCovered(
      request_.customer, request_.info.MaxTokens(), now);
  if (wait > kMaxBudgetRetryAfter) return kBudgetRetryAfter;
  const double spread =
      1 + (kRetrySpread - 1) *
              (static_cast<double>(StableHash(request_.info.id.value()) >> 11) *
               0x1.0p-53);
  return std::max(wait, kMinBudgetRetryAfter) * spread;
}

PlacementRequirements Exchange::GetRequirements() const {
  PlacementRequirements requirements{.service = request_.service,
                                     .engine = request_.engine.has_value(),
                                     .tried = tried_};
  const std::vector<PromptSegment>& segments = request_.info.prompt_segments;
  if (!requirements.engine || segments.empty()) {
    requirements.own_tokens = request_.info.prompt_tokens;
    return requirements;
  }
  // All segments except the last one can be shared. The last shared segment
  // selects the affinity target, because the segments before it are shared by
  // more requests than one target can prefill.
  for (std::size_t n = 0; n + 1 < segments.size(); ++n) {
    requirements.prefix_tokens += segments[n].tokens;
    requirements.prefix_key = segments[n].id;
  }
  requirements.own_tokens =
      request_.info.prompt_tokens - requirements.prefix_tokens;
  return requirements;
}

void Exchange::Dispatch(absl::Time now) {
  const bool link_is_busy =
      services_.overload != nullptr && services_.overload->IsLinkBusy(now);
  const std::vector<TargetEntry> targets_to_query =
      link_is_busy ? std::vector<TargetEntry>()
                   : services_.pool->TargetsToQuery(GetRequirements(), now);
  if (targets_to_query.empty()) {
    Send(now);
    return;
  }
  phase_ = Phase::kQueryingLoads;
  SetTimer(now);
  delegate_->QueryLoads(targets_to_query);
}

void Exchange::OnLoads(absl::Time now) {
  if (phase_ == Phase::kQueryingLoads) Send(now);
}

bool Exchange::RefuseIfQuarantined(absl::Time now) {
  const std::optional<QuarantinedSegment> quarantined =
      services_.quarantine->Find(request_.info.prompt_segments, now);
  if (!quarantined.has_value()) return false;
  quarantined_segment_ = quarantined->id;
  if (verdict_ != Verdict::kNotRun) {
    FailAttempt(Reason::kPromptQuarantined, now);
  } else {
    // Other instances may soon show that a new quarantine is wrong.
    const bool is_new = now - quarantined->since < kNewQuarantine;
    FailRequest(503, Reason::kPromptQuarantined,
                is_new ? kNewQuarantine : quarantined->until - now, now);
  }
  return true;
}

void Exchange::OnPromptQuarantined(absl::Time now) {
  if (phase_ == Phase::kDone || phase_ == Phase::kIdle) return;
  const bool sent =
      phase_ == Phase::kSent || phase_ == Phase::kReceivingResponse;
  if (sent && (events_.count() > 0 || !buffered_body_.empty())) return;
  const std::vector<PromptSegment>& segments = request_.info.prompt_segments;
  if (!services_.quarantine->Find(segments, now).has_value()) return;
  // The connection closes before the target begins the response and crashes.
  if (sent) Abort(now);
  RefuseIfQuarantined(now);
}

void Exchange::Send(absl::Time now) {
  if (RefuseIfQuarantined(now)) return;
  const std::optional<LimitedRequest> limited = GetLimitedRequest(now);
  if (!limited.has_value() || !LeavesShare(*limited, now)) {
    placement_ = services_.pool->Choose(GetRequirements(), now);
  }
  if (!placement_.has_value()) {
    if (limited.has_value()) {
      FailLimited(*limited, now);
      return;
    }
    if (verdict_ != Verdict::kNotRun) {
      FailAttempt(Reason::kNoTargetAvailable, now);
      return;
    }
    FailRequest(503, Reason::kNoTargetAvailable,
                services_.pool->TimeUntilAccepted(request_.service, now)
                    .value_or(kBusyRetryAfter),
                now);
    return;
  }
  if (placement_->avoided_limit) {
    services_.counters->Add(Counter::kPlacementsAvoidingLimits, 1);
  }
  tried_.push_back(placement_->target.id);
  phase_ = Phase::kSent;
  sent_at_ = now;
  last_received_at_ = now;
  events_ = EventSplitter();
  buffered_body_.clear();
  relays_events_ = false;
  ++send_count_;
  AttemptOptions options{.target = placement_->target,
                         .fresh_connection = !request_.route->IsRetryable(),
                         .resume_after = last_event_.has_value()
                                             ? last_event_
                                             : request_.info.resume_after,
                         .time_left = Deadline() - now,
                         .customer = request_.customer};
  if (request_.engine.has_value()) options.urgency = Urgency();
  SetTimer(now);
  delegate_->StartAttempt(options);
}

int Exchange::Urgency() const {
  return std::clamp(
      request_.customer_priority.value_or(0) * kUrgencyPerCustomerPriority +
          request_.route->priority,
      0, kLeastUrgent);
}

void Exchange::EndAttempt(AttemptOutcome outcome, absl::Time now) {
  if (!placement_.has_value()) return;
  const std::optional<TargetChange> change =
      services_.pool->Finish(*placement_, outcome, now);
  if (change.has_value()) {
    services_.log->Write(change->kind == TargetChange::Kind::kEjected
                             ? EventId::kTargetEjected
                             : EventId::kTargetReinstated,
                         Severity::kWarning,
                         "target ejected or reinstated after a request",
                         {{"target", change->id.value()},
                          {"request", request_.info.id.value()}});
  }
  placement_.reset();
}

void Exchange::OnUnreachable(absl::Time now) {
  if (phase_ != Phase::kSent) return;
  EndAttempt(AttemptOutcome::kUnreachable, now);
  --send_count_;
  ++unreachable_count_;
  services_.counters->Retried(Reason::kTargetUnreachable);
  if (unreachable_count_ < kMaxUnreachable &&
      Deadline() - now > kMinAttemptTime) {
    Dispatch(now);
    return;
  }
  FailAttempt(Reason::kTargetUnreachable, now);
}

bool Exchange::TryRetry(bool not_run, Reason reason, absl::Time now) {
  if (!AcquireRetry(not_run, reason, now)) return false;
  Dispatch(now);
  return true;
}

bool Exchange::CanContinueResponse() const {
  return !response_.has_begun() ||
         (request_.route->resumable && last_event_.has_value());
}

bool Exchange::AcquireRetry(bool not_run, Reason reason, absl::Time now) {
  if (!CanContinueResponse()) return false;
  const bool allowed = not_run || request_.route->IsRetryable();
  const int limit = not_run && verdict_ == Verdict::kNotRun
                        ? std::max(request_.route->attempts, kMinSendsIfNotRun)
                        : request_.route->attempts;
  if (!allowed || send_count_ >= limit) return false;
  if (Deadline() - now < kMinAttemptTime) return false;
  if (!services_.retry_limiter->TryAcquire(request_.service, now)) {
    services_.counters->Refused(Reason::kRetryBudgetSpent);
    return false;
  }
  services_.counters->Retried(reason);
  services_.log->Write(EventId::kRequestRetried, Severity::kInfo,
                       "retrying the request at another target",
                       {{"request", request_.info.id.value()},
                        {"reason", std::string(ReasonName(reason))},
                        {"after_target", tried_.back().value()},
                        {"sends", absl::StrCat(send_count_)}});
  return true;
}

void Exchange::RecordNotice(const ResponseInfo& info, absl::Time now) {
  TargetNotice notice{.leaving = info.leaving};
  if (info.status == kUnavailable && info.retry_after.has_value()) {
    notice.no_requests_until = now + *info.retry_after;
  }
  // Another target's response says nothing about the expected one.
  if (notice == TargetNotice() || info.wrong_target) return;
  if (!services_.pool->RecordNotice(placement_->target, notice, now)) return;
  services_.log->Write(
      EventId::kTargetNotice, Severity::kInfo,
      "the target asks for no more requests",
      {{"target", placement_->target.id.value()},
       {"request", request_.info.id.value()},
       {"leaving", info.leaving ? "yes" : "no"},
       {"retry_after_ms",
        info.retry_after.has_value() ? Ms(*info.retry_after) : "none"}});
}

void Exchange::LogBrokenAttempt(absl::Time now) const {
  std::vector<std::string> shared;
  const std::vector<PromptSegment>& segments = request_.info.prompt_segments;
  for (std::size_t n = 0; n + 1 < segments.size(); ++n) {
    shared.push_back(segments[n].id);
  }
  services_.log->Write(
      EventId::kAttemptBroken, Severity::kInfo,
      "the connection to the target failed during the request",
      {{"request", request_.info.id.value()},
       {"target", tried_.back().value()},
       {"head", phase_ == Phase::kReceivingResponse ? "yes" : "no"},
       {"events", absl::StrCat(events_.count())},
       {"partial", events_.HasPartial() ? "yes" : "no"},
       {"sent_ms", Ms(now - sent_at_)},
       {"idle_ms", Ms(now - last_received_at_)},
       {"segments", absl::StrJoin(shared, ",")},
       {"prompt",
        absl::StrCat(absl::Hex(PromptQuarantine::KeyOfPrompt(segments)))}});
}

void Exchange::FailAttempt(Reason reason, absl::Time now) {
  if (verdict_ == Verdict::kNotRun) {
    FailRequest(503, reason, kBusyRetryAfter, now);
    return;
  }
  FailRequest(502, reason, std::nullopt, now);
}

void Exchange::FailRequest(int status, Reason reason,
                           std::optional<absl::Duration> after,
                           absl::Time now) {
  const CallerResponse::State state = response_.Fail({.status = status,
                                                      .reason = reason,
                                                      .verdict = verdict_,
                                                      .retry_after = after});
  if (state == CallerResponse::State::kBrokenOff) {
    Finish("broken_off", reason, now);
    return;
  }
  services_.counters->Refused(reason);
  status_ = status;
  Finish("refused", reason, now);
}

void Exchange::Abort(absl::Time now) {
  if (phase_ != Phase::kSent && phase_ != Phase::kReceivingResponse) return;
  verdict_ = Combine(verdict_, Verdict::kMayHaveRun);
  delegate_->CancelAttempt();
  EndAttempt(AttemptOutcome::kCancelled, now);
}

void Exchange::OnCallerDisconnected(absl::Time now) {
  if (phase_ == Phase::kDone) return;
  Abort(now);
  Finish("caller_gone", Reason::kCallerGone, now);
}

void Exchange::OnShutdown(absl::Time now) {
  if (phase_ == Phase::kDone) return;
  Abort(now);
  FailAttempt(Reason::kDraining, now);
}

absl::Duration Exchange::IdleTimeout() const {
  const Route& route = *request_.route;
  const absl::Duration limit =
      first_event_at_ == absl::InfiniteFuture()
          ? route.objective * kHeadTimeoutFactor
          : route.pause_objective * kPauseTimeoutFactor;
  return std::max(limit, kMinIdleTimeout);
}

void Exchange::SetTimer(absl::Time now) {
  absl::Time when = Deadline();
  if (phase_ == Phase::kReservingTokens) {
    when =
        std::min(when, request_.arrived +
                           std::max(kMinBudgetWait, request_.route->objective));
  }
  if (phase_ == Phase::kSent || phase_ == Phase::kReceivingResponse) {
    if (request_.route->IsRetryable() &&
        send_count_ < request_.route->attempts) {
      when = std::min(when, last_received_at_ + IdleTimeout());
    }
  }
  delegate_->SetTimer(std::max(when, now));
}

void Exchange::OnTimer(absl::Time now) {
  if (phase_ == Phase::kDone) return;
  if (phase_ == Phase::kReservingTokens) {
    FailRequest(503, Reason::kBudgetPlatformAway, TokenRetryAfter(now), now);
    return;
  }
  if (now < Deadline()) {
    if (last_received_at_ + IdleTimeout() > now) {
      SetTimer(now);
      return;
    }
    // The target timed out; another one may still respond in time.
    const bool can_retry =
        send_count_ < request_.route->attempts &&
        request_.route->IsRetryable() && CanContinueResponse() &&
        services_.pool->HasUntriedTarget(request_.service, tried_, now);
    if (!can_retry ||
        !services_.retry_limiter->TryAcquire(request_.service, now)) {
      last_received_at_ = now;
      SetTimer(now);
      return;
    }
    delegate_->CancelAttempt();
    EndAttempt(AttemptOutcome::kIncomplete, now);
    verdict_ = Combine(verdict_, Verdict::kMayHaveRun);
    services_.counters->Retried(Reason::kStreamStalled);
    Dispatch(now);
    return;
  }
  Abort(now);
  FailRequest(504, Reason::kDeadlineExceeded, std::nullopt, now);
}

Tokens Exchange::UsedTokens() const {
  if (verdict_ == Verdict::kNotRun) return Tokens(0);
  const std::int64_t per_event =
      request_.engine.has_value() ? request_.engine->tokens_per_event : 1;
  return request_.info.prompt_tokens +
         std::min(request_.info.max_output_tokens,
                  Tokens(events_sent_ * per_event));
}

bool Exchange::IsDelivered(std::string_view outcome) const {
  const bool is_success = status_ >= 200 && status_ < 300;
  return events_sent_ > 0 || (outcome == kAnswered && is_success);
}

void Exchange::Finish(std::string_view outcome, Reason reason, absl::Time now) {
  phase_ = Phase::kDone;
  if (reserved_) {
    services_.ledger->Settle(request_.customer, request_.info.MaxTokens(),
                             UsedTokens(), IsDelivered(outcome));
    services_.counters->Add(Counter::kTokensBilled,
                            static_cast<std::uint64_t>(UsedTokens().value()));
  }
  services_.counters->Record(Timing::kRequest, now - request_.arrived);
  std::vector<EventField> fields = {
      {"request", request_.info.id.value()},
      {"outcome", std::string(outcome)},
      {"status", absl::StrCat(status_)},
      {"reason", std::string(ReasonName(reason))},
      {"verdict", std::string(VerdictName(verdict_))},
      {"route", request_.route->name},
      {"customer", request_.customer.value()},
      {"targets", absl::StrCat(tried_.size())},
      {"last_target", tried_.empty() ? "none" : tried_.back().value()},
      {"events", absl::StrCat(events_sent_)},
      {"tokens", absl::StrCat(reserved_ ? UsedTokens().value() : 0)},
      {"ms", Ms(now - request_.arrived)},
      {"config", absl::StrCat(request_.table->config().revision.value())}};
  if (!quarantined_segment_.empty()) {
    fields.push_back({"quarantined_segment", quarantined_segment_});
  }
  if (first_event_at_ != absl::InfiniteFuture()) {
    services_.counters->Record(Timing::kFirstToken,
                               first_event_at_ - request_.arrived);
    fields.push_back({"first_ms", Ms(first_event_at_ - request_.arrived)});
  }
  services_.log->Write(EventId::kRequestEnded, Severity::kInfo, "request ended",
                       fields);
}

}  // namespace wisteriareel
