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

// A response that is stored to be sent again to a retry of its request.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const StoredResponse&,
                         const StoredResponse&) = default;
};

// A request for a claim, the exclusive right to run a non-idempotent request.
struct ClaimRequest {
  CustomerId customer;
  IdempotencyKey key;
  RequestId request;
  // Stable hash of the call. A key that was used for one call may not be used
  // for a different one.
  std::uint64_t content_hash = 0;

  friend bool operator==(const ClaimRequest&, const ClaimRequest&) = default;
};

// A confirmed claim, held by this instance alone.
struct Claim {
  ClaimRequest request;
  // By the clock of the holder.
  absl::Time claimed;
  // No attempt is dispatched under the claim after this time.
  absl::Time dispatch_deadline;
  // A write of the claim's row whose reply was lost may take effect until then.
  absl::Time uncertain_until = absl::InfinitePast();

  friend bool operator==(const Claim&, const Claim&) = default;
};

// Reply to a ClaimRequest: a claim, or the reason why there is none. Without a
// claim, `verdict` says whether the request ran under its key, in this call or
// an earlier one; it is kNotRun only if this was read from the platform.
struct ClaimReply {
  std::optional<Claim> claim;
  // Set if the request ran and its response was stored.
  std::optional<StoredResponse> stored_response;
  // The request that holds or held the claim.
  RequestId earlier_request;
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kNone;
};

// Ensures that at most one request per (customer, key) is dispatched.
// Thread-safe; calls block on the platform, up to their timeout.
class ClaimManager {
 public:
  virtual ~ClaimManager() = default;

  virtual ClaimReply Acquire(const ClaimRequest& request,
                             absl::Duration timeout) = 0;

  // Returns what is recorded about the request without claiming it, for calls
  // that are refused before they are claimed.
  virtual ClaimReply LookUp(const ClaimRequest& request,
                            absl::Duration timeout) = 0;

  // Releases the claim of a request that provably did not run. Retried in the
  // background until it is confirmed.
  virtual void Release(const Claim& claim) = 0;

  // Records for retries that the request ran, with its response unless it is
  // nullopt. If this takes longer than `timeout`, it is retried in the
  // background until it is confirmed.
  virtual void Complete(const Claim& claim,
                        const std::optional<StoredResponse>& response,
                        absl::Duration timeout) = 0;

  // Records that the request may have run and that its outcome is unknown.
  virtual void MarkInDoubt(const Claim& claim) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_CLAIM_MANAGER_H_
