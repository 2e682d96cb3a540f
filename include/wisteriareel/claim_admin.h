#ifndef WISTERIAREEL_CLAIM_ADMIN_H_
#define WISTERIAREEL_CLAIM_ADMIN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

enum class ClaimState : std::uint8_t {
  kHeld = 1,     // A holder may dispatch or has dispatched.
  kDone = 2,     // Ran; the answer is kept for retries.
  kInDoubt = 3,  // May have run; nobody may run it again.
};

// One claim to run a non-idempotent request.
struct ClaimInfo {
  CustomerId customer;
  IdempotencyKey key;
  RequestId request;
  InstanceId holder;
  ClaimState state = ClaimState::kHeld;
  absl::Time claimed;
  // Where the claim stands in ListOpenClaims's order; `after` of the next page.
  std::string position;

  friend bool operator==(const ClaimInfo&, const ClaimInfo&) = default;
};

// How an operator settles a claim in doubt after asking the target's owner.
enum class ClaimResolution : std::uint8_t {
  kRan = 1,     // Retries are told that it ran.
  kNotRun = 2,  // A retry may run it.
};

// Operators' view of claims. Thread-safe; calls block up to their timeout.
class ClaimAdmin {
 public:
  virtual ~ClaimAdmin() = default;

  // Returns up to `limit` claims that are held or in doubt, after the
  // position `after` (empty for the first page), in key order.
  virtual std::optional<std::vector<ClaimInfo>> ListOpenClaims(
      const std::string& after, int limit, absl::Duration timeout,
      LastReason* reason) = 0;

  // Settles a claim in doubt. Returns false with a reason otherwise.
  virtual bool Resolve(const CustomerId& customer, const IdempotencyKey& key,
                       ClaimResolution resolution,
                       const std::string& operator_name, absl::Duration timeout,
                       LastReason* reason) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CLAIM_ADMIN_H_
