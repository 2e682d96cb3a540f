#ifndef WISTERIAREEL_SRC_FORWARD_OVERLOAD_GUARD_H_
#define WISTERIAREEL_SRC_FORWARD_OVERLOAD_GUARD_H_

#include <cstddef>

#include "absl/time/time.h"

namespace wisteriareel {

struct OverloadGuardOptions {
  // Capacity of the instance's link in each direction, in bytes per second; 0
  // if unknown.
  double link_bytes_per_s = 0;
};

// Detects overload of this instance's own link or processor from the traffic it
// carries and from the time that new connections to targets take.
//
// The load balancer distributes callers by a hash, so a few instances, weak
// ones included, can get many times the load of others that have capacity left.
// An overloaded instance reports itself as not ready before its link is full,
// so that the load balancer removes it, closes callers' connections after their
// responses, so that they reconnect, and refuses part of the requests before it
// reads them. Not thread-safe.
class OverloadGuard {
 public:
  explicit OverloadGuard(const OverloadGuardOptions& options = {});

  // Records that a connection to a target took `taken` to establish.
  void RecordConnect(absl::Duration taken, absl::Time now);

  // Records the bytes received and sent by this instance.
  void RecordTraffic(std::size_t received, std::size_t sent, absl::Time now);

  // Returns the share of new requests to refuse, from 0 to kMaxShedShare.
  double ShedShare(absl::Time now) const;

  // Returns true while the instance should get no new connections.
  bool IsOverloaded(absl::Time now) const;

  // Returns true while the link has little capacity left. Callers should then
  // reconnect to another instance, and traffic that only improves the choice of
  // a target, such as load queries, should be avoided.
  bool IsLinkBusy(absl::Time now) const;

 private:
  // The remaining requests are always admitted: their traffic shows when the
  // overload ends.
  static constexpr double kMaxShedShare = 0.7;
  // Shed share above which the instance reports that it isn't ready.
  static constexpr double kNotReadyShare = 0.35;

  // An exponentially decayed average of bytes per second.
  class Rate {
   public:
    void Add(std::size_t bytes, absl::Time now);
    double At(absl::Time now) const;

   private:
    double rate_ = 0;
    absl::Time at_ = absl::InfinitePast();
  };

  double ConnectDelay(absl::Time now) const;
  // Returns the utilization of the link in its busier direction; 1 is full.
  double LinkUtilization(absl::Time now) const;

  const OverloadGuardOptions options_;
  Rate received_;
  Rate sent_;
  absl::Time busy_until_ = absl::InfinitePast();
  // Moving average of the time to connect, in milliseconds, as of `at_`.
  double connect_delay_ms_ = 0;
  absl::Time at_ = absl::InfinitePast();
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_OVERLOAD_GUARD_H_
