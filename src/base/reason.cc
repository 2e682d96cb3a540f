#include "wisteriareel/reason.h"

namespace wisteriareel {

std::string_view ReasonName(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kPlatformUnavailable:
      return "platform_unavailable";
    case Reason::kPlatformRateLimited:
      return "platform_rate_limited";
    case Reason::kPlatformReplyLost:
      return "platform_reply_lost";
    case Reason::kConflict:
      return "conflict";
    case Reason::kNotFound:
      return "not_found";
    case Reason::kMalformed:
      return "malformed";
    case Reason::kDeadlineExceeded:
      return "deadline_exceeded";
    case Reason::kCancelled:
      return "cancelled";
    case Reason::kUnauthenticated:
      return "unauthenticated";
    case Reason::kForbidden:
      return "forbidden";
    case Reason::kTooLarge:
      return "too_large";
    case Reason::kUnavailable:
      return "unavailable";

    case Reason::kBudgetExhausted:
      return "budget_exhausted";
    case Reason::kGrantTooSmall:
      return "grant_too_small";
    case Reason::kGrantLeaseLapsed:
      return "grant_lease_lapsed";
    case Reason::kBudgetUnknown:
      return "budget_unknown";
    case Reason::kBudgetPlatformAway:
      return "budget_platform_away";
    case Reason::kRecordJournalFull:
      return "record_journal_full";

    case Reason::kClaimHeldElsewhere:
      return "claim_held_elsewhere";
    case Reason::kClaimUnconfirmed:
      return "claim_unconfirmed";
    case Reason::kClaimInDoubt:
      return "claim_in_doubt";
    case Reason::kIdempotencyKeyMissing:
      return "idempotency_key_missing";
    case Reason::kRetryBudgetSpent:
      return "retry_budget_spent";
    case Reason::kAnswerIncomplete:
      return "answer_incomplete";
    case Reason::kStreamStalled:
      return "stream_stalled";
    case Reason::kTargetUnreachable:
      return "target_unreachable";
    case Reason::kTargetFailed:
      return "target_failed";
    case Reason::kQueueFull:
      return "queue_full";
    case Reason::kQueueTimeout:
      return "queue_timeout";
    case Reason::kShedOverload:
      return "shed_overload";
    case Reason::kCustomerShareExceeded:
      return "customer_share_exceeded";
    case Reason::kCallerGone:
      return "caller_gone";
    case Reason::kDraining:
      return "draining";
    case Reason::kIdempotencyKeyReused:
      return "idempotency_key_reused";
    case Reason::kAnswerNotKept:
      return "answer_not_kept";
    case Reason::kPromptQuarantined:
      return "prompt_quarantined";

    case Reason::kNoSuchPool:
      return "no_such_pool";
    case Reason::kNoTargetAvailable:
      return "no_target_available";
    case Reason::kPoolSaturated:
      return "pool_saturated";
    case Reason::kTargetLimited:
      return "target_limited";

    case Reason::kCustomerSuspended:
      return "customer_suspended";
    case Reason::kRevisionStale:
      return "revision_stale";
    case Reason::kOrderSuperseded:
      return "order_superseded";
    case Reason::kConfigNotLoaded:
      return "config_not_loaded";

    case Reason::kLeaseHeldElsewhere:
      return "lease_held_elsewhere";
    case Reason::kLeaseLapsed:
      return "lease_lapsed";

    case Reason::kFencingNumberOld:
      return "fencing_number_old";
    case Reason::kWeightStoreBusy:
      return "weight_store_busy";

    case Reason::kHeaderTooLarge:
      return "header_too_large";
    case Reason::kBodyTooLarge:
      return "body_too_large";
    case Reason::kConnectionLimit:
      return "connection_limit";
    case Reason::kPeerVersionUnsupported:
      return "peer_version_unsupported";
    case Reason::kPeerFrameMalformed:
      return "peer_frame_malformed";
    case Reason::kConnectionMemoryFull:
      return "connection_memory_full";
    case Reason::kPeerSecretWrong:
      return "peer_secret_wrong";
    case Reason::kPeerWrongInstance:
      return "peer_wrong_instance";
    case Reason::kPeerSilent:
      return "peer_silent";
    case Reason::kPeerQueueFull:
      return "peer_queue_full";
  }
  return "unknown";
}

}  // namespace wisteriareel
