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
#include "wisteriareel/types.h"

namespace wisteriareel {

// What a request needs of a target.
struct PlacementRequirements {
  ServiceId service;
  // Identifies the shared start of the prompt; empty if there is none.
  std::string prefix_key;
  // Tokens that are read only where the shared start isn't cached.
  Tokens prefix_tokens;
  // Tokens that are read at any target.
  Tokens own_tokens;
  // The service's targets are model engines.
  bool engine = false;
  // Targets not to be used again.
  std::vector<TargetId> tried;
};

// A request's place at a target, until Finish.
struct Placement {
  TargetEntry target;
  // Expected time of reading the prompt.
  double prefill_ms = 0;
  bool engine = false;
  bool started = false;

  friend bool operator==(const Placement&, const Placement&) = default;
};

// How a try at a target ended, as far as it tells about the target.
enum class AttemptOutcome : std::uint8_t {
  kSucceeded,
  // It refused to run the request.
  kRefused,
  // It answered with a failure of its own.
  kFailed,
  // It broke off, or sent what is no answer.
  kIncomplete,
  // No connection could be made, or another target has its address.
  kUnreachable,
  // The caller left, or time ran out.
  kCancelled,
};

// A change of what this instance believes of a target.
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

struct TargetPoolOptions {
  // Zone of this instance.
  ZoneId zone;
  // Listings further apart than this mean that the list was away; twice the
  // polling interval with room for one slow answer.
  absl::Duration listing_gap = absl::Milliseconds(2000);
  // Targets that are missing right after the list was away may still come
  // back and are used for this long: one heartbeat, and well within the time
  // after which an instance that was cut off is bound to know who has left.
  absl::Duration return_grace = absl::Milliseconds(1500);
};

// The targets of all services: what the platform lists, what this instance
// saw of each, and the choice among them. Answers these load patterns: shared
// prompt parts that are read again at every target, a home that more requests
// meet than it can read, sent by many instances that each see few of them, a
// target that fails fast and so looks idle, dark targets, and targets whose
// zone is far. Not thread-safe.
class TargetPool {
 public:
  explicit TargetPool(TargetPoolOptions options);

  // Takes a whole listing, read from the platform at `now`. Returns what it
  // changed.
  std::vector<TargetChange> ApplyListing(
      const std::vector<TargetEntry>& listing, absl::Time now);

  // Returns the targets whose load should be known before Choose: the first
  // ones of the request's rank, if they weren't asked a moment ago.
  std::vector<TargetEntry> TargetsToQuery(
      const PlacementRequirements& requirements, absl::Time now);

  // The target was asked for its load. Nullopt means that it didn't answer.
  void RecordLoad(const TargetId& id, const std::optional<TargetLoad>& load,
                  absl::Time now);

  // Chooses a target and counts the request there. Returns nullopt if no
  // target can take it.
  std::optional<Placement> Choose(const PlacementRequirements& requirements,
                                  absl::Time now);

  // The target sent the first event or the head of its answer, `waited` after
  // the request was sent.
  void RecordResponseStart(Placement* placement, absl::Duration elapsed,
                           absl::Time now);

  // The request has left the target. Returns the ejection it caused, if any.
  std::optional<TargetChange> Finish(const Placement& placement,
                                     AttemptOutcome outcome, absl::Time now);

  // Returns true if a listing was applied.
  bool listed() const { return listed_; }

  // Returns the number of targets of `service` that take requests.
  int CountUsable(const ServiceId& service, absl::Time now) const;

  // Returns the target's entry while it is known, or null.
  const TargetEntry* Find(const TargetId& id) const;

 private:
  struct State {
    TargetEntry entry;
    // Missing in the last listing; used until the grace is over.
    bool missing = false;
    int in_flight = 0;
    // Prompt reading that this instance still waits for.
    double pending_prefill_ms = 0;
    // Its last report, and when it was asked for. Unset if it didn't answer.
    std::optional<TargetLoad> load;
    absl::Time queried_at = absl::InfinitePast();
    // Smoothed waiting beyond the expected, as of `delay_at`.
    double delay_ms = 0;
    absl::Time delay_at = absl::InfinitePast();
    // Smoothed share of failures, 0 to 1.
    double failure_rate = 0;
    absl::Time ejected_until = absl::InfinitePast();
    absl::Duration next_ejection;
    // Requests that go to a target just back from ejection.
    bool on_probation = false;
    // When this instance last sent a shared part there.
    absl::flat_hash_map<std::string, absl::Time> sent_prefixes;
  };

  // A target that can take a request, and its rendezvous rank among those of
  // the request's shared part. The highest one is the part's home.
  struct Candidate {
    State* state = nullptr;
    std::uint64_t rank = 0;
  };

  // `prefill_ms` is the expected time of reading the prompt there.
  double EstimateCost(const State& state,
                      const PlacementRequirements& requirements,
                      double prefill_ms, absl::Time now) const;
  // Expected waiting for the work that a target has, in milliseconds.
  double EstimateWorkMs(const State& state,
                        const PlacementRequirements& requirements,
                        absl::Time now) const;
  double EstimateReportedMs(const TargetLoad& load) const;
  double EstimatePrefillMs(const State& state,
                           const PlacementRequirements& requirements,
                           bool is_affinity_target, absl::Time now) const;
  bool IsUsable(const State& state, const ServiceId& service,
                absl::Time now) const;
  std::vector<Candidate> FindCandidates(
      const PlacementRequirements& requirements, absl::Time now);
  void RecordSentPrefix(State* state, const PlacementRequirements& requirements,
                        absl::Time now);
  std::optional<TargetChange> Eject(State* state, absl::Time now);
  double MeanFailureRate(const ServiceId& service) const;

  const TargetPoolOptions options_;
  bool listed_ = false;
  absl::Time last_listing_ = absl::InfinitePast();
  absl::Time grace_until_ = absl::InfinitePast();
  // Smoothed time of reading a prompt, and waiting at targets that reported.
  std::optional<double> mean_prefill_ms_;
  std::optional<double> mean_reported_ms_;
  std::map<TargetId, State> targets_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_TARGET_POOL_H_
