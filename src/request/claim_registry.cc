#include "src/request/claim_registry.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kIdleStep = absl::Seconds(1);
constexpr absl::Duration kRepeatPause = absl::Milliseconds(200);

bool SameCall(const ClaimRow& row, const ClaimRequest& request) {
  return row.content_hash == request.content_hash;
}

}  // namespace

ClaimRegistry::ClaimRegistry(const ClaimRegistryOptions& options)
    : options_(options),
      batcher_({.table = options.table,
                .clock = options.clock,
                .max_batch = options.max_batch,
                .call_timeout = options.call_timeout}),
      next_sweep_(options.clock->Now() + options.sweep_interval) {}

ClaimReply ClaimRegistry::Acquire(const ClaimRequest& request,
                                  absl::Duration timeout) {
  const absl::Time now = options_.clock->Now();
  Claim claim{.request = request,
              .claimed = absl::FromUnixMicros(absl::ToUnixMicros(now)),
              .dispatch_until = now + options_.dispatch_window};
  {
    std::lock_guard<std::mutex> lock(mutex_);
    held_.insert(request.request);
  }
  const RowChange change{.key = ClaimRowKey(request.customer, request.key),
                         .value = EncodeClaimRow(HeldRow(claim))};
  const RowChangeResult result = batcher_.Apply(change, timeout);
  claim.uncertain_until = result.uncertain_until;
  switch (result.outcome) {
    case RowChangeOutcome::kApplied:
      return {.claim = claim, .earlier = request.request};
    case RowChangeOutcome::kConflict:
      Forget(request.request);
      if (result.current) return Judge(request, *result.current);
      return JudgeAfterFailure(request);
    case RowChangeOutcome::kUnknown:
      End(claim, std::nullopt, absl::ZeroDuration());
      return JudgeAfterFailure(request);
    case RowChangeOutcome::kRejected:
      break;
  }
  Forget(request.request);
  return JudgeAfterFailure(request);
}

ClaimReply ClaimRegistry::LookUp(const ClaimRequest& request,
                                 absl::Duration /*timeout*/) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (lookups_ >= options_.max_lookups) {
      return {.reason = Reason::kClaimUnconfirmed};
    }
    ++lookups_;
  }
  ClaimReply reply = JudgeAfterFailure(request);
  std::lock_guard<std::mutex> lock(mutex_);
  --lookups_;
  return reply;
}

// This call was not dispatched. Whether an earlier one under its key was, only
// the row can tell.
ClaimReply ClaimRegistry::JudgeAfterFailure(const ClaimRequest& request) {
  ClaimReply reply{.reason = Reason::kClaimUnconfirmed};
  LastReason reason;
  const std::optional<Row> row =
      ReadRow(ClaimRowKey(request.customer, request.key), &reason);
  const bool absent = !row && reason.reason() == Reason::kNotFound;
  if (absent) reply.verdict = Verdict::kNotRun;
  if (!row) return reply;
  LastReason ignored;
  const std::optional<ClaimRow> claim = DecodeClaimRow(row->value, &ignored);
  const bool own = claim && claim->request == request.request &&
                   claim->holder == options_.instance;
  if (own) {
    reply.verdict = Verdict::kNotRun;
    return reply;
  }
  return Judge(request, *row);
}

ClaimReply ClaimRegistry::Judge(const ClaimRequest& request, const Row& row) {
  LastReason reason;
  const std::optional<ClaimRow> claim = DecodeClaimRow(row.value, &reason);
  if (!claim) return {.reason = Reason::kClaimInDoubt};
  if (!SameCall(*claim, request)) {
    return {.earlier = claim->request,
            .verdict = Verdict::kNotRun,
            .reason = Reason::kIdempotencyKeyReused};
  }
  switch (EffectiveState(*claim)) {
    case ClaimState::kDone:
      return GiveOutcome(*claim);
    case ClaimState::kHeld:
      return {.earlier = claim->request, .reason = Reason::kClaimHeldElsewhere};
    case ClaimState::kInDoubt:
      break;
  }
  return {.earlier = claim->request, .reason = Reason::kClaimInDoubt};
}

ClaimReply ClaimRegistry::GiveOutcome(const ClaimRow& row) {
  ClaimReply reply{.kept = row.answer,
                   .earlier = row.request,
                   .verdict = Verdict::kRan,
                   .reason = Reason::kAnswerNotKept};
  if (row.answer_object.empty() || !reply.kept) return reply;
  LastReason reason;
  std::optional<std::string> body =
      options_.objects->Get(row.answer_object, options_.call_timeout, &reason);
  if (!body) {
    reply.kept = std::nullopt;
    reply.reason = reason.reason();
    return reply;
  }
  reply.kept->body = *std::move(body);
  return reply;
}

ClaimState ClaimRegistry::EffectiveState(const ClaimRow& row) const {
  if (row.state == ClaimState::kHeld && HolderGone(row)) {
    return ClaimState::kInDoubt;
  }
  return row.state;
}

bool ClaimRegistry::HolderGone(const ClaimRow& row) const {
  if (options_.clock->Now() - row.claimed > options_.hold_limit) return true;
  if (row.holder == options_.instance) {
    std::lock_guard<std::mutex> lock(mutex_);
    return !held_.contains(row.request);
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
                         options_.call_limit + options_.clock_margin;
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
  End(claim, std::nullopt, options_.call_timeout);
}

void ClaimRegistry::Complete(const Claim& claim,
                             const std::optional<StoredResponse>& answer,
                             absl::Duration timeout) {
  ClaimRow row = HeldRow(claim);
  row.state = ClaimState::kDone;
  row.ended = options_.clock->Now();
  if (answer) StoreAnswer(*answer, &row);
  End(claim, row, timeout);
}

void ClaimRegistry::MarkInDoubt(const Claim& claim) {
  ClaimRow row = HeldRow(claim);
  row.state = ClaimState::kInDoubt;
  row.ended = options_.clock->Now();
  options_.events->Write(EventId::kClaimInDoubt, Severity::kWarning,
                         "a non-idempotent request may have run",
                         {{"customer", row.customer.value()},
                          {"key", row.key.value()},
                          {"request", row.request.value()}});
  End(claim, row, options_.call_timeout);
}

ClaimRow ClaimRegistry::HeldRow(const Claim& claim) const {
  return {.customer = claim.request.customer,
          .key = claim.request.key,
          .request = claim.request.request,
          .holder = options_.instance,
          .content_hash = claim.request.content_hash,
          .claimed = claim.claimed};
}

void ClaimRegistry::StoreAnswer(const StoredResponse& answer, ClaimRow* row) {
  if (answer.body.size() <= options_.inline_answer_bytes) {
    row->answer = answer;
    return;
  }
  if (answer.body.size() > options_.max_kept_bytes) return;
  const std::string name = ClaimAnswerObject(row->request);
  // An object may be put again with the same bytes, so a lost reply is
  // settled by one more try.
  for (int tries = 0; tries < 2; ++tries) {
    const CommitOutcome outcome =
        options_.objects->Put(name, answer.body, options_.call_timeout);
    if (outcome == CommitOutcome::kUnknown) continue;
    if (outcome != CommitOutcome::kCommitted) return;
    row->answer = StoredResponse{.status = answer.status,
                                 .content_type = answer.content_type};
    row->answer_object = name;
    return;
  }
}

void ClaimRegistry::End(const Claim& claim, const std::optional<ClaimRow>& next,
                        absl::Duration timeout) {
  Repeat repeat{.request = claim.request.request,
                .uncertain_until = claim.uncertain_until};
  repeat.change.key = ClaimRowKey(claim.request.customer, claim.request.key);
  repeat.change.expected = EncodeClaimRow(HeldRow(claim));
  if (next) repeat.change.value = EncodeClaimRow(*next);
  if (timeout > absl::ZeroDuration() && TryRetry(&repeat, timeout)) return;
  options_.events->Write(EventId::kClaimReleasePending, Severity::kWarning,
                         "the end of a claim is not confirmed yet",
                         {{"customer", claim.request.customer.value()},
                          {"key", claim.request.key.value()},
                          {"request", claim.request.request.value()}});
  std::lock_guard<std::mutex> lock(mutex_);
  repeats_.push_back(std::move(repeat));
}

// Returns true once the change is known to have taken effect for good.
bool ClaimRegistry::TryRetry(Repeat* repeat, absl::Duration timeout) {
  const absl::Time begun = options_.clock->Now();
  const RowChangeResult result = batcher_.Apply(repeat->change, timeout);
  repeat->uncertain_until =
      std::max(repeat->uncertain_until, result.uncertain_until);
  switch (result.outcome) {
    case RowChangeOutcome::kRejected:
    case RowChangeOutcome::kUnknown:
      repeat->not_before = options_.clock->Now() + kRepeatPause;
      return false;
    case RowChangeOutcome::kConflict:
      options_.events->Write(EventId::kClaimLost, Severity::kError,
                             "a claim's row is no longer ours",
                             {{"row", repeat->change.key.key},
                              {"request", repeat->request.value()}});
      break;
    case RowChangeOutcome::kApplied:
      // A lost write of the claim itself could bring the deleted row back.
      if (!repeat->change.value && begun < repeat->uncertain_until) {
        repeat->not_before = repeat->uncertain_until;
        return false;
      }
      break;
  }
  Forget(repeat->request);
  return true;
}

void ClaimRegistry::Forget(const RequestId& request) {
  std::lock_guard<std::mutex> lock(mutex_);
  held_.erase(request);
}

absl::Duration ClaimRegistry::Step() {
  std::lock_guard<std::mutex> step_lock(step_mutex_);
  const absl::Time now = options_.clock->Now();
  std::vector<Repeat> due;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto first_due = std::partition(
        repeats_.begin(), repeats_.end(),
        [&](const Repeat& repeat) { return repeat.not_before > now; });
    due.assign(std::make_move_iterator(first_due),
               std::make_move_iterator(repeats_.end()));
    repeats_.erase(first_due, repeats_.end());
  }
  for (Repeat& repeat : due) {
    if (TryRetry(&repeat, options_.call_timeout)) continue;
    std::lock_guard<std::mutex> lock(mutex_);
    repeats_.push_back(std::move(repeat));
  }
  if (now >= next_sweep_) Sweep();
  return CountUnconfirmed() > 0 ? kRepeatPause : kIdleStep;
}

int ClaimRegistry::CountUnconfirmed() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int>(repeats_.size());
}

}  // namespace wisteriareel
