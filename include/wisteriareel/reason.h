#ifndef WISTERIAREEL_REASON_H_
#define WISTERIAREEL_REASON_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace wisteriareel {

// The reason why an operation was refused, failed or retried. Numbers are
// stable, since they appear in responses, records and counters. New ones are
// appended to the block of the folder that raises the reason.
enum class Reason : std::uint16_t {
  kNone = 0,

  // 100-199 base and platform.
  kPlatformUnavailable = 100,
  kPlatformRateLimited = 101,
  kPlatformReplyLost = 102,
  kConflict = 103,
  kNotFound = 104,
  kMalformed = 105,
  kDeadlineExceeded = 106,
  kCancelled = 107,
  kUnauthenticated = 108,
  kForbidden = 109,
  kTooLarge = 110,
  kUnavailable = 111,

  // 200-299 budget.
  kBudgetExhausted = 200,
  kGrantTooSmall = 201,
  kGrantLeaseLapsed = 202,
  kBudgetUnknown = 203,
  kBudgetPlatformAway = 204,
  kRecordJournalFull = 205,

  // 300-399 request.
  kClaimHeldElsewhere = 300,
  kClaimUnconfirmed = 301,
  kClaimInDoubt = 302,
  kIdempotencyKeyMissing = 303,
  kRetryBudgetSpent = 304,
  kAnswerIncomplete = 305,
  kStreamStalled = 306,
  kTargetUnreachable = 307,
  kTargetFailed = 308,
  kQueueFull = 309,
  kQueueTimeout = 310,
  kShedOverload = 311,
  kCustomerShareExceeded = 312,
  kCallerGone = 313,
  kDraining = 314,
  kIdempotencyKeyReused = 315,
  kAnswerNotKept = 316,
  kPromptQuarantined = 317,

  // 400-499 routing.
  kNoSuchPool = 400,
  kNoTargetAvailable = 401,
  kPoolSaturated = 402,
  kTargetLimited = 403,

  // 500-599 config.
  kCustomerSuspended = 500,
  kRevisionStale = 501,
  kOrderSuperseded = 502,
  kConfigNotLoaded = 503,

  // 600-699 membership.
  kLeaseHeldElsewhere = 600,
  kLeaseLapsed = 601,

  // 700-799 lifecycle.
  kFencingNumberOld = 700,
  kWeightStoreBusy = 701,

  // 800-899 http, rpc, peer, settings.
  kHeaderTooLarge = 800,
  kBodyTooLarge = 801,
  kConnectionLimit = 802,
  kPeerVersionUnsupported = 803,
  kPeerFrameMalformed = 804,
  kConnectionMemoryFull = 805,
  kPeerSecretWrong = 830,
  kPeerWrongInstance = 831,
  kPeerSilent = 832,
  kPeerQueueFull = 833,
};

// Returns the reason's stable name in lower snake case, or "unknown".
std::string_view ReasonName(Reason reason);

// The reason why an operation returned std::nullopt. Passed as an out-parameter
// and unchanged on success. Not thread-safe.
class LastReason {
 public:
  LastReason() = default;

  // Records why the operation failed. `detail` is human-readable and must not
  // contain secrets.
  void Set(Reason reason, std::string detail = {}) {
    reason_ = reason;
    detail_ = std::move(detail);
  }

  Reason reason() const { return reason_; }
  const std::string& detail() const { return detail_; }

 private:
  Reason reason_ = Reason::kNone;
  std::string detail_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_REASON_H_
