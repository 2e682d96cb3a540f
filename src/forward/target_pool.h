#ifndef WISTERIAREEL_SRC_FORWARD_TARGET_POOL_H_
#define WISTERIAREEL_SRC_FORWARD_TARGET_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/forward/target_entry.h"
#include "src/forward/target_load.h"
#include "src/forward/target_rate_limits.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// The requirements of a request for its placement at a target.
struct PlacementRequirements {
  ServiceId service;
  // Identifies the shared prompt prefix; empty if there is none.
  std::string prefix_key;
  // Prompt tokens that need prefill only where the shared prefix isn't cached.
  Tokens prefix_tokens;
  // Prompt tokens that need prefill at every target.
  Tokens own_tokens;
  // The service's targets are model engines.
  bool engine = false;
  // Targets that must not be chosen again.
  std::vector<TargetId> tried;
};

// The assignment of a request to a target, until TargetPool::Finish.
struct Placement {
  TargetEntry target;
  // Expected prefill time of the prompt.
  double prefill_ms = 0;
  bool engine = false;
  bool started = false;
  // Another target was left out because its rate limit allows no request now.
  bool avoided_limit = false;

  friend bool operator==(const Placement&, const Placement&) = default;
};

// The outcome of an attempt, as far as it shows the state of the target.
enum class AttemptOutcome : std::uint8_t {
  kSucceeded,
  // The target refused to run the request.
  kRefused,
  // The target responded with a server error.
  kFailed,
  // The response was incomplete, invalid or missing.
  kIncomplete,
  // The connection failed, or the address belongs to another target.
  kUnreachable,
  // The caller disconnected, or the request's deadline passed.
  kCancelled,
};

// A change of a target's state as this instance sees it.
struct TargetChange {
  enum class Kind : std::uint8_t {
    kAdded,
    kDraining,
    kRestarted,
    kRemoved,
    kEjected,
    kReinstated
  };
  Kind kind = Kind::kAdded;
  TargetId id;
  ServiceId service;

  friend bool operator==(const TargetChange&, const TargetChange&) = default;
};

// What a target says in a response about further requests of this instance.
struct TargetNotice {
  // The target leaves and accepts no new requests.
  bool leaving = false;
  // The target accepts no requests before this time.
  absl::Time no_requests_until = absl::InfinitePast();

  friend bool operator==(const TargetNotice&, const TargetNotice&) = default;
};

struct TargetPoolOptions {
  // Availability zone of this instance.
  ZoneId zone;
  // A longer time between two listings means that the list was unavailable.
  // Twice the polling interval, plus a margin for one slow response.
  absl::Duration listing_gap = absl::Milliseconds(2000);
  // Targets that are missing right after the list was unavailable may be listed
  // again and stay in use for this time. It covers one heartbeat, and ends well
  // before the time limit within which an instance must stop using targets that
  // left while it was disconnected.
  absl::Duration return_grace = absl::Milliseconds(1500);
};

// The targets of all services, as listed by the platform and as observed by
// this instance, and the choice of a target for each request.
//
// The choice accounts for these conditions: shared prompt prefixes that would
// need prefill at every target; an affinity target that gets more requests than
// it can prefill, from many instances that each see only few of them; a target
// that fails fast and so looks idle; targets that don't respond; and targets in
// a distant availability zone. Not thread-safe.
class TargetPool {
 public:
  // `rate_limits` must outlive the pool. Null if no target limits its requests.
  explicit TargetPool(TargetPoolOptions options,
                      TargetRateLimits* rate_limits = nullptr);

  // Applies a complete listing, read from the platform at `now`. Returns the
  // resulting changes.
  std::vector<TargetChange> ApplyListing(
      const std::vector<TargetEntry>& listing, absl::Time now);

  // Returns the targets whose load should be queried before Choose: the first
  // ones in rendezvous order for the request, unless they were queried
  // recently.
  std::vector<TargetEntry> TargetsToQuery(
      const PlacementRequirements& requirements, absl::Time now);

  // Records the response to a load query; nullopt if the target didn't respond.
  void RecordLoad(const TargetId& id, const std::optional<TargetLoad>& load,
                  absl::Time now);

  // Chooses a target and adds the request to its load. Uses a share of the
  // target's rate limit, if it has one. Returns nullopt if no target is
  // available.
  std::optional<Placement> Choose(const PlacementRequirements& requirements,
                                  absl::Time now);

  // Records that the target sent the first event or body bytes of its response,
  // `elapsed` after the request was sent. Only the first call has an effect.
  void RecordResponseStart(Placement* placement, absl::Duration elapsed,
                           absl::Time now);

  // Ends the placement and removes the request from the target's load. Returns
  // the ejection or reinstatement that the outcome caused, if any.
  std::optional<TargetChange> Finish(const Placement& placement,
                                     AttemptOutcome outcome, absl::Time now);

  // Records a notice in a response of `target`. It holds until the target
  // restarts, also while the target isn't listed. Returns true if it is new.
  bool RecordNotice(const TargetEntry& target, const TargetNotice& notice,
                    absl::Time now);

  // Records the requests per second that a response of `target` states, unset
  // if it states none. `sent` is the time when its request was sent. Returns
  // true if the limit in force here changed.
  bool RecordRateLimit(const TargetEntry& target,
                       std::optional<double> per_second, absl::Time sent,
                       absl::Time now);

  // Returns the requests per second that the targets of `service` accept from
  // all instances together, or nullopt if one of them has no rate limit, or
  // none accepts requests. Ignores the targets in `tried`, and those that
  // accept no requests at any rate.
  std::optional<double> FindTotalRateLimit(const ServiceId& service,
                                           const std::vector<TargetId>& tried,
                                           absl::Time now) const;

  // Returns the time until the first target of `service` accepts requests again
  // by its notice, or nullopt if none will.
  std::optional<absl::Duration> TimeUntilAccepted(const ServiceId& service,
                                                  absl::Time now) const;

  // Returns true once a listing was applied.
  bool listed() const { return listed_; }

  // Returns the number of targets of `service` that accept requests. A target
  // whose rate limit allows no request now accepts none.
  int CountUsable(const ServiceId& service, absl::Time now) const;

  // Returns true if a target of `service` that isn't in `tried` accepts
  // requests and isn't ejected.
  bool HasUntriedTarget(const ServiceId& service,
                        const std::vector<TargetId>& tried,
                        absl::Time now) const;

  // Returns the target's entry, or null if the target is unknown.
  const TargetEntry* Find(const TargetId& id) const;

 private:
  struct State {
    TargetEntry entry;
    // Missing in the last listing; usable until the grace period ends.
    bool missing = false;
    int in_flight = 0;
    // Expected prefill time of this instance's requests that haven't started to
    // respond.
    double pending_prefill_ms = 0;
    // Last load report, unset if the target didn't respond, and its query time.
    std::optional<TargetLoad> load;
    absl::Time queried_at = absl::InfinitePast();
    // Moving average of the delay beyond the expected prefill time, as of
    // `delay_at`.
    double delay_ms = 0;
    absl::Time delay_at = absl::InfinitePast();
    // Moving average of the share of failed attempts, from 0 to 1.
    double failure_rate = 0;
    absl::Time ejected_until = absl::InfinitePast();
    absl::Duration next_ejection;
    // Set from an ejection until the next success. After the ejection time the
    // target then gets one request at a time.
    bool on_probation = false;
    // Times when this instance last sent each shared prefix to the target.
    absl::flat_hash_map<std::string, absl::Time> sent_prefixes;
  };

  // A notice and the target that sent it, until its restart.
  struct RecordedNotice {
    TargetNotice notice;
    std::int64_t started_ms = 0;
    Endpoint address;
    absl::Time at;
  };

  // A target that can accept a request, and its rendezvous rank for the
  // request's shared prefix. The target with the highest rank is the affinity
  // target.
  struct Candidate {
    State* state = nullptr;
    std::uint64_t rank = 0;
  };

  struct Candidates {
    std::vector<Candidate> targets;
    // A target was left out because its rate limit allows no request now.
    bool avoided_limit = false;
  };

  // Returns the expected cost in milliseconds of a placement at a target, where
  // `prefill_ms` is the expected prefill time of the prompt.
  double EstimateCost(const State& state,
                      const PlacementRequirements& requirements,
                      double prefill_ms, absl::Time now) const;
  // Returns the expected delay by the work that a target has, in milliseconds.
  double EstimateWorkMs(const State& state,
                        const PlacementRequirements& requirements,
                        absl::Time now) const;
  double EstimateReportedMs(const TargetLoad& load) const;
  double EstimatePrefillMs(const State& state,
                           const PlacementRequirements& requirements,
                           bool is_affinity_target, absl::Time now) const;
  bool IsUsable(const State& state, const ServiceId& service,
                absl::Time now) const;
  // Like IsUsable, whatever the target's rate limit.
  bool IsOpen(const State& state, const ServiceId& service,
              absl::Time now) const;
  bool HasRateShare(const State& state, absl::Time now) const;
  // Returns the notice of the target, or null if there is none.
  const TargetNotice* FindNotice(const TargetEntry& target) const;
  void RemoveOldNotices(absl::Time now);
  Candidates FindCandidates(const PlacementRequirements& requirements,
                            absl::Time now);
  void RecordSentPrefix(State* state, const PlacementRequirements& requirements,
                        absl::Time now);
  std::optional<TargetChange> Eject(State* state, absl::Time now);
  double MeanFailureRate(const ServiceId& service) const;

  const TargetPoolOptions options_;
  TargetRateLimits* const rate_limits_;
  bool listed_ = false;
  absl::Time last_listing_ = absl::InfinitePast();
  absl::Time grace_until_ = absl::InfinitePast();
  // Moving averages of the prefill time of placed requests and of the reported
  // delay of targets.
  std::optional<double> mean_prefill_ms_;
  std::optional<double> mean_reported_ms_;
  std::map<TargetId, State> targets_;
  std::map<TargetId, RecordedNotice> notices_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_TARGET_POOL_H_
