#ifndef WISTERIAREEL_SRC_FORWARD_RETRY_LIMITER_H_
#define WISTERIAREEL_SRC_FORWARD_RETRY_LIMITER_H_

#include <deque>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/forward/route_config.h"

namespace wisteriareel {

struct RetryLimiterOptions {
  // Repeats allowed in a window, as a share of the requests in it.
  double ratio = 0;
  // Repeats that all instances together may send in a window beside that.
  double slack = 0;
  absl::Duration window = absl::Seconds(10);
};

// This instance's part of the fleet-wide limit on requests that reach a
// second target: a share of its own requests, and an equal part of the slack.
// Answers retry storms: a service that fails gets no multiple of its load.
// Not thread-safe.
class RetryLimiter {
 public:
  explicit RetryLimiter(RetryLimiterOptions options);

  // Sets the number of instances that share the slack, at least 1.
  void SetInstances(int count);

  // Counts a request for `service`.
  void RecordRequest(const ServiceId& service, absl::Time now);

  // Takes one repeat. Returns false if the window allows no more.
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
