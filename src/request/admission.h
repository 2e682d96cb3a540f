#ifndef WISTERIAREEL_SRC_REQUEST_ADMISSION_H_
#define WISTERIAREEL_SRC_REQUEST_ADMISSION_H_

#include <cstdint>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A request for a slot in a pool.
struct AdmissionRequest {
  PoolId pool;
  CustomerId customer;
  // Share of a saturated pool, relative to other customers.
  std::uint32_t weight = 1;
  Priority priority = Priority::kNormal;
  // Requests that this instance may have in flight in the pool.
  int capacity = 1;
  absl::Time deadline = absl::InfiniteFuture();

  friend bool operator==(const AdmissionRequest&,
                         const AdmissionRequest&) = default;
};

struct AdmissionReply {
  bool admitted = false;
  Reason reason = Reason::kNone;
  absl::Duration retry_after;

  friend bool operator==(const AdmissionReply&,
                         const AdmissionReply&) = default;
};

// Limits the requests in flight per pool. Thread-safe.
class Admission {
 public:
  virtual ~Admission() = default;

  // Blocks while the request is queued, at most until its deadline.
  virtual AdmissionReply AcquireSlot(const AdmissionRequest& request) = 0;

  // Releases the slot of an admitted request that held it for `service_time`.
  // Called exactly once per admission.
  virtual void ReleaseSlot(const AdmissionRequest& request,
                           absl::Duration service_time) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_ADMISSION_H_
