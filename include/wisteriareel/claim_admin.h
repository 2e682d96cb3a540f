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
  kHeld = 1,     // The holder may dispatch the request or has dispatched it.
  kDone = 2,     // The request ran; its outcome is stored for retries.
  kInDoubt = 3,  // The request may have run and must not be run again.
};

// A claim: the exclusive right to run one non-idempotent request.
struct ClaimInfo {
  CustomerId customer;
  IdempotencyKey key;
  RequestId request;
  InstanceId holder;
  ClaimState state = ClaimState::kHeld;
  absl::Time claimed;
  // Position in the order of ListOpenClaims; `after` of the next page.
  std::string position;

  friend bool operator==(const ClaimInfo&, const ClaimInfo&) = default;
};

// How an operator resolves a claim in doubt after consulting the owner of the
// target.
enum class ClaimResolution : std::uint8_t {
  kRan = 1,     // Retries are refused with the verdict that the request ran.
  kNotRun = 2,  // A retry may run the request.
};

// Administration of claims by operators. Thread-safe; calls block up to their
// timeout.
class ClaimAdmin {
 public:
  virtual ~ClaimAdmin() = default;

  // Returns up to `limit` claims that are held or in doubt, in key order,
  // starting after the position `after` (empty for the first page). Returns
  // nullopt and sets `reason` on failure.
  virtual std::optional<std::vector<ClaimInfo>> ListOpenClaims(
      const std::string& after, int limit, absl::Duration timeout,
      LastReason* reason) = 0;

  // Resolves a claim in doubt. Returns false and sets `reason` on failure.
  virtual bool Resolve(const CustomerId& customer, const IdempotencyKey& key,
                       ClaimResolution resolution,
                       const std::string& operator_name, absl::Duration timeout,
                       LastReason* reason) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CLAIM_ADMIN_H_
