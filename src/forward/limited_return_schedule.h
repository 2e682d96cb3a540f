#ifndef WISTERIAREEL_SRC_FORWARD_LIMITED_RETURN_SCHEDULE_H_
#define WISTERIAREEL_SRC_FORWARD_LIMITED_RETURN_SCHEDULE_H_

#include <map>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/forward/route_config.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct LimitedReturnScheduleOptions {
  // Callers wait for at most this part of their remaining time.
  double max_wait_part = 1.0 / 3;
  // Time that a caller needs to return, in addition to its wait.
  absl::Duration return_lag = absl::Milliseconds(100);
  // A share is kept for a more urgent caller for at most this time, less than
  // the time for which shares are valid.
  absl::Duration max_hold = absl::Seconds(1);
};

// A request to a service whose targets all have rate limits.
struct LimitedRequest {
  ServiceId service;
  CustomerId customer;
  // A lower value is more urgent.
  int urgency = 0;
  // Requests per second that the targets accept from all instances together.
  double per_second = 0;
  // Time left until the deadline of the caller.
  absl::Duration time_left;

  friend bool operator==(const LimitedRequest&,
                         const LimitedRequest&) = default;
};

// Chooses when refused callers return, so that they don't return all at once.
//
// Each instance hands out its part of the rate. Callers of the same urgency
// return at different times, and customers take turns. A more urgent request
// doesn't wait for the times of less urgent ones, which leave it the next share
// instead. Not thread-safe; no I/O.
class LimitedReturnSchedule {
 public:
  explicit LimitedReturnSchedule(LimitedReturnScheduleOptions options);

  // Sets the number of instances that hand out times, at least 1.
  void SetInstances(int count);

  // Returns true if a more urgent caller is about to return, so that `request`
  // should be refused even if there is a share.
  bool IsMoreUrgentDue(const LimitedRequest& request, absl::Time now);

  // Returns the time until the caller of `request`, which is refused, should
  // return.
  absl::Duration Schedule(const LimitedRequest& request, absl::Time now);

 private:
  // Orders returns by urgency.
  using Turn = std::pair<int, CustomerId>;

  struct Returns {
    std::multimap<absl::Time, Turn> by_time;
    // Number of returns in `by_time`.
    std::map<Turn, int> counts;
    // Position of the last return that didn't fit, from 0 to 1.
    double spread = 0;
  };

  // Returns the mean time between two shares of this instance.
  absl::Duration ShareInterval(const LimitedRequest& request) const;
  void RemovePast(Returns* returns, absl::Time now) const;
  // Returns the number of returns before the next one of `turn`.
  static int CountAhead(const Returns& returns, const Turn& turn);

  const LimitedReturnScheduleOptions options_;
  int instances_ = 1;
  absl::flat_hash_map<ServiceId, Returns> services_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_LIMITED_RETURN_SCHEDULE_H_
