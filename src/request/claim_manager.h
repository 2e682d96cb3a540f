#ifndef WISTERIAREEL_SRC_REQUEST_CLAIM_MANAGER_H_
#define WISTERIAREEL_SRC_REQUEST_CLAIM_MANAGER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"
#include "wisteriareel/verdict.h"

namespace wisteriareel {

// An answer that is kept so that a retry of its request can be given it.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const StoredResponse&,
                         const StoredResponse&) = default;
};

// What asks for the right to run a non-idempotent request.
struct ClaimRequest {
  CustomerId customer;
  IdempotencyKey key;
  RequestId request;
  // Stable hash of what the caller sent; a key may not be used for another
  // call.
  std::uint64_t content_hash = 0;

  friend bool operator==(const ClaimRequest&, const ClaimRequest&) = default;
};

// The confirmed right to run one request, held by this instance alone.
struct Claim {
  ClaimRequest request;
  // By the holder's clock.
  absl::Time claimed;
  // Nothing is dispatched under the claim afterwards.
  absl::Time dispatch_until;
  // A write of the claim's row whose reply was lost may take effect until
  // then.
  absl::Time uncertain_until = absl::InfinitePast();

  friend bool operator==(const Claim&, const Claim&) = default;
};

// The answer to a ClaimRequest: a claim, or what stands in its way. Without
// either, `verdict` says whether the request was run under its key, by this
// call or an earlier one; kNotRun only if the platform was read.
struct ClaimReply {
  std::optional<Claim> claim;
  // Set if the request has run and its answer was kept.
  std::optional<StoredResponse> kept;
  // The request that holds or held the claim.
  RequestId earlier;
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kNone;
};

// Lets at most one request per (customer, key) be dispatched. Thread-safe;
// calls block on the platform, up to their timeout.
class ClaimManager {
 public:
  virtual ~ClaimManager() = default;

  virtual ClaimReply Acquire(const ClaimRequest& request,
                             absl::Duration timeout) = 0;

  // Looks up what is known of the request, without claiming it, for calls
  // that are refused before they are claimed.
  virtual ClaimReply LookUp(const ClaimRequest& request,
                            absl::Duration timeout) = 0;

  // Gives the claim back: the caller knows that it did not run. Repeated in
  // the background until it is confirmed.
  virtual void Release(const Claim& claim) = 0;

  // Keeps for retries that the request ran, and its answer unless it is
  // nullopt. Repeated in the background until it is confirmed, if that takes
  // longer than `timeout`.
  virtual void Complete(const Claim& claim,
                        const std::optional<StoredResponse>& answer,
                        absl::Duration timeout) = 0;

  // Marks that the request may have run and that its outcome is unknown.
  virtual void MarkInDoubt(const Claim& claim) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_CLAIM_MANAGER_H_
