#ifndef WISTERIAREEL_SRC_FORWARD_OVERLOAD_GUARD_H_
#define WISTERIAREEL_SRC_FORWARD_OVERLOAD_GUARD_H_

#include <cstddef>

#include "absl/time/time.h"

namespace wisteriareel {

struct OverloadGuardOptions {
  // What the instance's link carries in each direction, in bytes a second; 0
  // if that isn't known.
  double link_bytes_per_s = 0;
};

// Tells whether this instance's own link or processor is overloaded, by the
// traffic it carries and by the time that new connections to targets take.
// Answers one load pattern: the balancer spreads callers by a hash, so that a
// few instances, weak ones too, get many times the load of the others while
// these have room. Such an instance is taken out of the balancer before its
// link is full, has its callers connect anew behind their answers, and sends
// part of them elsewhere before it reads their next request. Not thread-safe.
class OverloadGuard {
 public:
  explicit OverloadGuard(const OverloadGuardOptions& options = {});

  // A connection to a target was made within `taken`.
  void RecordConnect(absl::Duration taken, absl::Time now);

  // So many bytes came in or went out.
  void RecordTraffic(std::size_t received, std::size_t sent, absl::Time now);

  // Returns the share of new requests to be refused, 0 to kMaxShedShare.
  double ShedShare(absl::Time now) const;

  // Returns true while the instance should get no new connections.
  bool IsOverloaded(absl::Time now) const;

  // Returns true while the link has little room: callers should connect anew,
  // to another instance, and traffic that only improves a choice isn't worth
  // it.
  bool IsLinkBusy(absl::Time now) const;

 private:
  // A part of the requests is always taken: they tell when it is over.
  static constexpr double kMaxShedShare = 0.7;
  // From this share on the instance says that it isn't ready.
  static constexpr double kNotReadyShare = 0.35;

  // Smoothed bytes a second.
  class Rate {
   public:
    void Add(std::size_t bytes, absl::Time now);
    double At(absl::Time now) const;

   private:
    double rate_ = 0;
    absl::Time at_ = absl::InfinitePast();
  };

  double ConnectDelay(absl::Time now) const;
  // Returns the used share of the link in its busier direction.
  double LinkUtilization(absl::Time now) const;

  const OverloadGuardOptions options_;
  Rate received_;
  Rate sent_;
  absl::Time busy_until_ = absl::InfinitePast();
  // Smoothed time of a connection, in milliseconds, as of `at_`.
  double lag_ms_ = 0;
  absl::Time at_ = absl::InfinitePast();
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_OVERLOAD_GUARD_H_
