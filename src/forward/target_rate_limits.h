#ifndef WISTERIAREEL_SRC_FORWARD_TARGET_RATE_LIMITS_H_
#define WISTERIAREEL_SRC_FORWARD_TARGET_RATE_LIMITS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/target_entry.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct TargetRateLimitsOptions {
  InstanceId self;
  // Part of a limit that is divided into shares.
  double divided_part = 1;
  // A share is valid for this time plus the time in which the limit allows
  // `validity_requests`. All shares that are valid within 4 s may arrive in 4
  // s.
  absl::Duration base_validity = absl::Milliseconds(1400);
  double validity_requests = 4;
  // Bound of the time for which a share is valid.
  absl::Duration max_validity = absl::Seconds(10);
  // An instance uses all its shares while it is unconfirmed for less than this
  // time. Others still list it then.
  absl::Duration confirmation_grace = absl::Seconds(2);
  // An instance uses no shares for this time after its first confirmed list,
  // and only a part of them for this time after its list is confirmed again.
  // Longer than the others need to list it.
  absl::Duration listing_delay = absl::Seconds(7);
  // Part of its shares that an instance uses while others may not list it.
  double unconfirmed_part = 0.25;
  // There is a share at least this often, so that responses show when a limit
  // rises from zero or ends.
  absl::Duration max_share_interval = absl::Seconds(30);
  // Bound of the error between the platform's clock at two instances.
  absl::Duration max_clock_error = absl::Milliseconds(100);
  // An estimate that differs more shows that a clock was set.
  absl::Duration min_clock_step = absl::Seconds(10);
  // The end of a limit is reported to other instances for this time.
  absl::Duration end_notice_duration = absl::Minutes(1);
  // A limit is forgotten if the target was neither used nor reported for this
  // time.
  absl::Duration retention = absl::Hours(1);
};

// What a target stated about the requests per second that it accepts from all
// instances together.
struct RateLimitNotice {
  TargetId target;
  // The lifetime of the target, see TargetEntry.
  std::int64_t started_ms = 0;
  Endpoint address;
  // Requests per second; unset if the target names no limit any more.
  std::optional<double> per_second;
  // When the request was sent whose response stated it, on the platform's
  // clock.
  std::int64_t observed_ms = 0;

  friend bool operator==(const RateLimitNotice&,
                         const RateLimitNotice&) = default;
};

// Decides when this instance may send requests to targets that limit the
// requests per second from all instances together.
//
// The time on the platform's clock is divided into slots, with one share each.
// The share belongs to the instance with the highest rendezvous rank for the
// target and the slot, so instances that know the same instances agree without
// messages. The owner may send one request per share, from the start of the
// slot until the share expires. Not thread-safe; no I/O.
class TargetRateLimits {
 public:
  explicit TargetRateLimits(TargetRateLimitsOptions options);

  // Sets the names of the live instances, including this one, as listed now.
  // `confirmed` is false while the heartbeats of this instance aren't
  // acknowledged: its list may be old, and others may not list it.
  void SetInstances(const std::vector<std::string>& instances, bool confirmed,
                    absl::Time now);

  // Records an estimate of the local time at which the platform's clock shows
  // zero, late by the delay of the response that it was taken from. The
  // earliest ones count. No shares are used before the first call.
  void SetPlatformEpoch(absl::Time epoch);

  // Records the requests per second that the head of a response states, unset
  // if it states none. Values that are negative or not finite are ignored.
  // `sent` is the time when the request was sent. Returns true if the limit in
  // force here changed.
  bool RecordResponse(const TargetEntry& target,
                      std::optional<double> per_second, absl::Time sent,
                      absl::Time now);

  // Returns true if a request may be sent now: the target has no limit, or this
  // instance has an unused share.
  bool MaySend(const TargetEntry& target, absl::Time now);

  // Records a request to the target. It uses one share, the next one if there
  // is none now. Every arrival counts: first attempts, retries and resumed
  // streams.
  void RecordSend(const TargetEntry& target, absl::Time now);

  // Returns the limit in force here in requests per second, or nullopt if there
  // is none.
  std::optional<double> Limit(const TargetEntry& target) const;

  // Returns the time until this instance has a share, zero if it has one now,
  // or nullopt if the target has no limit. It is a lower bound if the next
  // share is far off.
  std::optional<absl::Duration> TimeUntilShare(const TargetEntry& target,
                                               absl::Time now);

  // Returns what responses to this instance stated last, for other instances.
  std::vector<RateLimitNotice> CollectNotices(absl::Time now) const;

  // Applies a notice of another instance.
  void Merge(const RateLimitNotice& notice, absl::Time now);

  // Returns true if some target has a limit.
  bool HasLimits() const;

 private:
  // What a target stated, and the shares of this instance.
  struct State {
    std::int64_t started_ms = 0;
    Endpoint address;
    // Requests per second; unset after the end of a limit.
    std::optional<double> limit;
    // When the request was sent whose response last stated `limit`, and when
    // the response was received.
    absl::Time sent = absl::InfinitePast();
    absl::Time received = absl::InfinitePast();
    // A response to this instance stated `limit`, not only a notice.
    bool told_here = false;
    absl::Time asked_at = absl::InfinitePast();
    // Time since which `limit` is known here. Earlier slots aren't used.
    absl::Time known_since = absl::InfinitePast();
    // The first slot that wasn't evaluated.
    std::int64_t next_slot = 0;
    // Starts of the unused shares, in microseconds of the platform's clock.
    std::deque<std::int64_t> shares;
    // Times of requests that were sent without a share.
    std::deque<std::int64_t> unpaid;
  };

  // The slots of a limit. All instances compute the same ones.
  struct Slots {
    std::int64_t length_us = 0;
    std::int64_t validity_us = 0;
    int requests_per_slot = 1;
  };

  void SetConfirmed(bool confirmed, absl::Time now);
  Slots SlotsOf(double limit) const;
  std::int64_t ToPlatformUs(absl::Time time) const;
  // Returns the first slot that this instance may use.
  std::int64_t FirstUsableSlot(const State& state, const Slots& slots) const;
  bool IsOwner(std::uint64_t target_hash, std::int64_t slot,
               absl::Time start) const;
  // Adds the shares of the slots that have started and removes expired ones.
  void UpdateShares(const TargetId& id, State* state, absl::Time now) const;
  // Returns the state of this lifetime of the target, or null.
  State* Find(const TargetEntry& target);
  // Returns the state to apply a statement of a lifetime of a target to, or
  // null if it has no effect. Removes the state of an earlier lifetime.
  State* FindForUpdate(const TargetId& id, std::int64_t started_ms,
                       const Endpoint& address, bool has_limit);
  static void SetLimit(std::optional<double> limit, absl::Time now,
                       State* state);
  void RemoveOldStates(absl::Time now);

  const TargetRateLimitsOptions options_;
  const std::uint64_t self_hash_;
  std::optional<absl::Time> epoch_;
  // Hashes of the names of the other live instances.
  std::vector<std::uint64_t> other_hashes_;
  // Time from which this instance uses shares.
  absl::Time used_from_ = absl::InfiniteFuture();
  // Time in which it uses a part of them.
  absl::Time part_from_ = absl::InfinitePast();
  absl::Time part_until_ = absl::InfiniteFuture();
  std::map<TargetId, State> states_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_TARGET_RATE_LIMITS_H_
