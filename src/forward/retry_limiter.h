#ifndef WISTERIAREEL_SRC_FORWARD_RETRY_LIMITER_H_
#define WISTERIAREEL_SRC_FORWARD_RETRY_LIMITER_H_

#include <deque>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/forward/route_config.h"

namespace wisteriareel {

struct RetryLimiterOptions {
  // Retries allowed per window, as a share of the requests in it.
  double ratio = 0;
  // Additional retries per window that all instances together may send.
  double slack = 0;
  absl::Duration window = absl::Seconds(10);
};

// Limits retries, so that a failing service doesn't get a multiple of its load
// (a retry storm). The limit holds for all instances together; each one may
// retry a share of its own requests and has an equal part of the slack. Not
// thread-safe.
class RetryLimiter {
 public:
  explicit RetryLimiter(RetryLimiterOptions options);

  // Sets the number of instances that share the slack, at least 1.
  void SetInstances(int count);

  // Counts a request for `service`.
  void RecordRequest(const ServiceId& service, absl::Time now);

  // Acquires one retry. Returns false if the window allows no more.
  bool TryAcquire(const ServiceId& service, absl::Time now);

 private:
  struct Window {
    std::deque<absl::Time> requests;
    std::deque<absl::Time> retries;
  };

  void RemoveExpired(std::deque<absl::Time>* times, absl::Time now) const;

  const RetryLimiterOptions options_;
  int instances_ = 1;
  absl::flat_hash_map<ServiceId, Window> windows_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_RETRY_LIMITER_H_
