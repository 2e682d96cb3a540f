#include <algorithm>

#include "src/base/content_hash.h"
#include "src/request/request_run.h"

namespace wisteriareel {
namespace {

// Retry delay sent to the caller while another call holds its key.
constexpr absl::Duration kClaimRetryAfter = absl::Seconds(1);

std::uint64_t HashContent(const CallerRequest& request) {
  return ContentHash()
      .Add(request.method)
      .Add(request.path)
      .Add(request.body)
      .value();
}

}  // namespace

bool RequestRun::NeedsClaim() const {
  return !idempotent_ && !request_.idempotency_key.empty();
}

bool RequestRun::AcquireClaim() {
  if (!NeedsClaim()) return true;
  if (options_.claims == nullptr) return Fail(Reason::kClaimUnconfirmed);
  const absl::Time started = options_.clock->Now();
  const absl::Duration timeout =
      std::min(options_.timeouts.claim, deadline_ - started);
  claim_attempted_ = true;
  const ClaimReply reply =
      options_.claims->Acquire(MakeClaimRequest(), timeout);
  options_.counters->Record(Timing::kClaimCommit,
                            options_.clock->Now() - started);
  claim_ = reply.claim;
  if (claim_) return true;
  if (reply.stored_response) return SendStoredResponse(reply);
  result_.verdict = reply.verdict;
  result_.retry_after = kClaimRetryAfter;
  return Fail(reply.reason);
}

ClaimRequest RequestRun::MakeClaimRequest() const {
  return {.customer = request_.customer,
          .key = request_.idempotency_key,
          .request = request_.id,
          .content_hash = HashContent(request_)};
}

// Sends the stored response of the first run to a retry. Returns false, since
// there is nothing to run.
bool RequestRun::SendStoredResponse(const ClaimReply& reply) {
  result_.verdict = Verdict::kRan;
  result_.reason = Reason::kNone;
  result_.retry_after = absl::ZeroDuration();
  result_.original_request = reply.earlier_request;
  const bool sent = writer_->WriteHead(reply.stored_response->status,
                                       reply.stored_response->content_type) &&
                    writer_->WriteData(reply.stored_response->body) &&
                    writer_->Finish();
  if (!sent) return Fail(Reason::kCallerGone);
  options_.counters->Add(Counter::kAnswersWhole, 1);
  return false;
}

// A call that was refused before it was claimed did not run, but an earlier one
// under the same key may have run. Only the claim's row proves that none did.
void RequestRun::CheckEarlierCalls() {
  const bool refused = result_.verdict == Verdict::kNotRun && !claim_attempted_;
  if (!refused || !NeedsClaim() || options_.claims == nullptr) return;
  const ClaimReply reply =
      options_.claims->LookUp(MakeClaimRequest(), options_.timeouts.claim);
  result_.verdict = reply.verdict;
  const bool entitled = result_.reason != Reason::kForbidden &&
                        result_.reason != Reason::kCustomerSuspended;
  if (reply.stored_response && entitled) SendStoredResponse(reply);
}

void RequestRun::SettleClaim() {
  if (!claim_ || outcome_stored_) return;
  if (result_.verdict == Verdict::kNotRun) {
    options_.claims->Release(*claim_);
    return;
  }
  options_.claims->MarkInDoubt(*claim_);
}

}  // namespace wisteriareel
