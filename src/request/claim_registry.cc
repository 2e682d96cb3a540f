#include "src/request/claim_registry.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kIdleInterval = absl::Seconds(1);
constexpr absl::Duration kRetryInterval = absl::Milliseconds(200);

bool IsSameCall(const ClaimRow& row, const ClaimRequest& request) {
  return row.content_hash == request.content_hash;
}

}  // namespace

ClaimRegistry::ClaimRegistry(const ClaimRegistryOptions& options)
    : options_(options),
      batcher_({.table = options.table,
                .clock = options.clock,
                .max_batch = options.max_batch,
                .call_timeout = options.call_timeout}),
      next_cleanup_(options.clock->Now() + options.cleanup_interval) {}

ClaimReply ClaimRegistry::Acquire(const ClaimRequest& request,
                                  absl::Duration timeout) {
  const absl::Time now = options_.clock->Now();
  Claim claim{.request = request,
              .claimed = absl::FromUnixMicros(absl::ToUnixMicros(now)),
              .dispatch_deadline = now + options_.dispatch_window};
  {
    std::lock_guard<std::mutex> lock(mutex_);
    held_requests_.insert(request.request);
  }
  const RowChange change{.key = ClaimRowKey(request.customer, request.key),
                         .value = EncodeClaimRow(HeldRow(claim))};
  const RowChangeResult result = batcher_.Apply(change, timeout);
  claim.uncertain_until = result.uncertain_until;
  switch (result.outcome) {
    case RowChangeOutcome::kApplied:
      return {.claim = claim, .earlier_request = request.request};
    case RowChangeOutcome::kConflict:
      ForgetHeld(request.request);
      if (result.current) return ReplyFromRow(request, *result.current);
      return ReplyAfterFailure(request);
    case RowChangeOutcome::kUnknown:
      EndClaim(claim, std::nullopt, absl::ZeroDuration());
      return ReplyAfterFailure(request);
    case RowChangeOutcome::kRejected:
      break;
  }
  ForgetHeld(request.request);
  return ReplyAfterFailure(request);
}

ClaimReply ClaimRegistry::LookUp(const ClaimRequest& request,
                                 absl::Duration /*timeout*/) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (lookups_ >= options_.max_concurrent_lookups) {
      return {.reason = Reason::kClaimUnconfirmed};
    }
    ++lookups_;
  }
  ClaimReply reply = ReplyAfterFailure(request);
  std::lock_guard<std::mutex> lock(mutex_);
  --lookups_;
  return reply;
}

// Called for a request that was not dispatched. Only the row shows whether an
// earlier one was dispatched under the same key.
ClaimReply ClaimRegistry::ReplyAfterFailure(const ClaimRequest& request) {
  ClaimReply reply{.reason = Reason::kClaimUnconfirmed};
  LastReason reason;
  const std::optional<Row> row =
      ReadRow(ClaimRowKey(request.customer, request.key), &reason);
  const bool absent = !row && reason.reason() == Reason::kNotFound;
  if (absent) reply.verdict = Verdict::kNotRun;
  if (!row) return reply;
  LastReason ignored;
  const std::optional<ClaimRow> claim = DecodeClaimRow(row->value, &ignored);
  const bool own_claim = claim && claim->request == request.request &&
                         claim->holder == options_.instance;
  if (own_claim) {
    reply.verdict = Verdict::kNotRun;
    return reply;
  }
  return ReplyFromRow(request, *row);
}

ClaimReply ClaimRegistry::ReplyFromRow(const ClaimRequest& request,
                                       const Row& row) {
  LastReason reason;
  const std::optional<ClaimRow> claim = DecodeClaimRow(row.value, &reason);
  if (!claim) return {.reason = Reason::kClaimInDoubt};
  if (!IsSameCall(*claim, request)) {
    return {.earlier_request = claim->request,
            .verdict = Verdict::kNotRun,
            .reason = Reason::kIdempotencyKeyReused};
  }
  switch (EffectiveState(*claim)) {
    case ClaimState::kDone:
      return ReplyWithOutcome(*claim);
    case ClaimState::kHeld:
      return {.earlier_request = claim->request,
              .reason = Reason::kClaimHeldElsewhere};
    case ClaimState::kInDoubt:
      break;
  }
  return {.earlier_request = claim->request, .reason = Reason::kClaimInDoubt};
}

ClaimReply ClaimRegistry::ReplyWithOutcome(const ClaimRow& row) {
  ClaimReply reply{.stored_response = row.response,
                   .earlier_request = row.request,
                   .verdict = Verdict::kRan,
                   .reason = Reason::kAnswerNotKept};
  if (row.response_object.empty() || !reply.stored_response) return reply;
  LastReason reason;
  std::optional<std::string> body = options_.objects->Get(
      row.response_object, options_.call_timeout, &reason);
  if (!body) {
    reply.stored_response = std::nullopt;
    reply.reason = reason.reason();
    return reply;
  }
  reply.stored_response->body = *std::move(body);
  return reply;
}

ClaimState ClaimRegistry::EffectiveState(const ClaimRow& row) const {
  if (row.state == ClaimState::kHeld && IsHolderLost(row)) {
    return ClaimState::kInDoubt;
  }
  return row.state;
}

bool ClaimRegistry::IsHolderLost(const ClaimRow& row) const {
  if (options_.clock->Now() - row.claimed > options_.max_hold_time) return true;
  if (row.holder == options_.instance) {
    std::lock_guard<std::mutex> lock(mutex_);
    return !held_requests_.contains(row.request);
  }
  if (options_.membership == nullptr) return false;
  for (const Member& member : options_.membership->AllMembers()) {
    if (member.id == row.holder) return member.state == MemberState::kDead;
  }
  return false;
}

bool ClaimRegistry::MayStillRun(const ClaimRow& row) const {
  if (row.state != ClaimState::kHeld) return false;
  const absl::Time end = row.claimed + options_.dispatch_window +
                         options_.max_call_time + options_.clock_margin;
  return options_.clock->Now() < end;
}

std::optional<Row> ClaimRegistry::ReadRow(const RowKey& key,
                                          LastReason* reason) {
  std::optional<std::vector<Row>> rows =
      options_.table->Read({key}, options_.call_timeout, reason);
  if (!rows) return std::nullopt;
  if (!rows->empty()) return std::move(rows->front());
  reason->Set(Reason::kNotFound);
  return std::nullopt;
}

void ClaimRegistry::Release(const Claim& claim) {
  EndClaim(claim, std::nullopt, options_.call_timeout);
}

void ClaimRegistry::Complete(const Claim& claim,
                             const std::optional<StoredResponse>& response,
                             absl::Duration timeout) {
  ClaimRow row = HeldRow(claim);
  row.state = ClaimState::kDone;
  row.ended = options_.clock->Now();
  if (response) StoreResponse(*response, &row);
  EndClaim(claim, row, timeout);
}

void ClaimRegistry::MarkInDoubt(const Claim& claim) {
  ClaimRow row = HeldRow(claim);
  row.state = ClaimState::kInDoubt;
  row.ended = options_.clock->Now();
  options_.events->Write(
      EventId::kClaimInDoubt, Severity::kWarning,
      "claim is in doubt: a non-idempotent request may have run",
      {{"customer", row.customer.value()},
       {"key", row.key.value()},
       {"request", row.request.value()}});
  EndClaim(claim, row, options_.call_timeout);
}

ClaimRow ClaimRegistry::HeldRow(const Claim& claim) const {
  return {.customer = claim.request.customer,
          .key = claim.request.key,
          .request = claim.request.request,
          .holder = options_.instance,
          .content_hash = claim.request.content_hash,
          .claimed = claim.claimed};
}

void ClaimRegistry::StoreResponse(const StoredResponse& response,
                                  ClaimRow* row) {
  if (response.body.size() <= options_.max_inline_response_bytes) {
    row->response = response;
    return;
  }
  if (response.body.size() > options_.max_stored_response_bytes) return;
  const std::string name = ClaimResponseObject(row->request);
  // The put is idempotent, so it is tried once more if its reply was lost.
  for (int tries = 0; tries < 2; ++tries) {
    const CommitOutcome outcome =
        options_.objects->Put(name, response.body, options_.call_timeout);
    if (outcome == CommitOutcome::kUnknown) continue;
    if (outcome != CommitOutcome::kCommitted) return;
    row->response = StoredResponse{.status = response.status,
                                   .content_type = response.content_type};
    row->response_object = name;
    return;
  }
}

void ClaimRegistry::EndClaim(const Claim& claim,
                             const std::optional<ClaimRow>& next,
                             absl::Duration timeout) {
  PendingChange pending{.request = claim.request.request,
                        .uncertain_until = claim.uncertain_until};
  pending.change.key = ClaimRowKey(claim.request.customer, claim.request.key);
  pending.change.expected = EncodeClaimRow(HeldRow(claim));
  if (next) pending.change.value = EncodeClaimRow(*next);
  if (timeout > absl::ZeroDuration() && ApplyPending(&pending, timeout)) return;
  options_.events->Write(
      EventId::kClaimReleasePending, Severity::kWarning,
      "the end of a claim could not be confirmed; will retry",
      {{"customer", claim.request.customer.value()},
       {"key", claim.request.key.value()},
       {"request", claim.request.request.value()}});
  std::lock_guard<std::mutex> lock(mutex_);
  pending_changes_.push_back(std::move(pending));
}

// Returns true once the change is known to have taken effect permanently.
bool ClaimRegistry::ApplyPending(PendingChange* pending,
                                 absl::Duration timeout) {
  const absl::Time started = options_.clock->Now();
  const RowChangeResult result = batcher_.Apply(pending->change, timeout);
  pending->uncertain_until =
      std::max(pending->uncertain_until, result.uncertain_until);
  switch (result.outcome) {
    case RowChangeOutcome::kRejected:
    case RowChangeOutcome::kUnknown:
      pending->not_before = options_.clock->Now() + kRetryInterval;
      return false;
    case RowChangeOutcome::kConflict:
      options_.events->Write(EventId::kClaimLost, Severity::kError,
                             "the row of a claim was changed by another writer",
                             {{"row", pending->change.key.key},
                              {"request", pending->request.value()}});
      break;
    case RowChangeOutcome::kApplied:
      // A delayed write of the claim could recreate the deleted row.
      if (!pending->change.value && started < pending->uncertain_until) {
        pending->not_before = pending->uncertain_until;
        return false;
      }
      break;
  }
  ForgetHeld(pending->request);
  return true;
}

void ClaimRegistry::ForgetHeld(const RequestId& request) {
  std::lock_guard<std::mutex> lock(mutex_);
  held_requests_.erase(request);
}

absl::Duration ClaimRegistry::Step() {
  std::lock_guard<std::mutex> step_lock(step_mutex_);
  const absl::Time now = options_.clock->Now();
  std::vector<PendingChange> due;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto first_due = std::partition(
        pending_changes_.begin(), pending_changes_.end(),
        [&](const PendingChange& pending) { return pending.not_before > now; });
    due.assign(std::make_move_iterator(first_due),
               std::make_move_iterator(pending_changes_.end()));
    pending_changes_.erase(first_due, pending_changes_.end());
  }
  for (PendingChange& pending : due) {
    if (ApplyPending(&pending, options_.call_timeout)) continue;
    std::lock_guard<std::mutex> lock(mutex_);
    pending_changes_.push_back(std::move(pending));
  }
  if (now >= next_cleanup_) RemoveExpiredOutcomes();
  return CountUnconfirmed() > 0 ? kRetryInterval : kIdleInterval;
}

int ClaimRegistry::CountUnconfirmed() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int>(pending_changes_.size());
}

}  // namespace wisteriareel
