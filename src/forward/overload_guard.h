#ifndef WISTERIAREEL_SRC_FORWARD_OVERLOAD_GUARD_H_
#define WISTERIAREEL_SRC_FORWARD_OVERLOAD_GUARD_H_

#include "absl/time/time.h"

namespace wisteriareel {

// Tells by the time that new connections to targets take whether this
// instance's own link or processor is overloaded. Answers one load pattern:
// the balancer spreads callers by a hash, so that a few instances get many
// times the load of the others while these have room. An overloaded instance
// sends part of its callers elsewhere before it reads their next request.
// Not thread-safe.
class OverloadGuard {
 public:
  // A connection to a target was made within `taken`.
  void NoteConnect(absl::Duration taken, absl::Time now);

  // Returns the share of new requests to be refused, 0 to kMostShed.
  double ShedShare(absl::Time now) const;

  // Returns true while the instance should get no new connections.
  bool Overloaded(absl::Time now) const { return ShedShare(now) > kNotReady; }

 private:
  // A part of the requests is always taken: they tell when it is over.
  static constexpr double kMostShed = 0.7;
  // From this share on the instance says that it isn't ready.
  static constexpr double kNotReady = 0.35;

  double Lag(absl::Time now) const;

  // Smoothed time of a connection, in milliseconds, as of `at_`.
  double lag_ms_ = 0;
  absl::Time at_ = absl::InfinitePast();
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_OVERLOAD_GUARD_H_
