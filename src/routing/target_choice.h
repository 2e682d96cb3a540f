#ifndef WISTERIAREEL_SRC_ROUTING_TARGET_CHOICE_H_
#define WISTERIAREEL_SRC_ROUTING_TARGET_CHOICE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "src/routing/routing_table.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {

// A target that is eligible for a request.
struct Candidate {
  const RoutedTarget* target = nullptr;
  // Estimated requests at the target, scaled up during its slow start.
  double load = 0;
};

// Options of the choice among candidates.
struct TargetChoiceOptions {
  // Max load, relative to the mean of the pool, of a target that is chosen by
  // prefix.
  double load_bound = 1.25;
  // Mean load of the nearest zones, as a share of the targets' capacity, at
  // which requests spill over to other zones.
  double spill_threshold = 0.85;
  // Min difference in load, as a share of the capacity, for a spillover to
  // other zones.
  double spill_margin = 0.15;
};

// Sets the loads of the candidates to the current attempts of this instance
// plus an estimate of the requests of other instances. The difference between
// a target's last report and the mean of all reports decays with the age of the
// report, because the reported requests end. It is replaced by the assumption
// that the other instances distribute their requests like this instance, since
// all use the same ranks and hints.
void EstimateLoads(std::vector<Candidate>* candidates,
                   absl::Duration mean_duration, absl::Time now);

// Returns the candidates at the nearest distance that is not saturated. If all
// distances are saturated, prefers a nearer one unless a farther one is less
// loaded by at least `spill_margin`.
std::vector<Candidate> NearestUnsaturated(
    const TargetChoiceOptions& options,
    const std::vector<Candidate>& candidates, int max_in_flight_per_target);

// Returns the less loaded of two random candidates. `candidates` must not be
// empty. Choosing the least loaded of all would send the requests of every
// instance to the same target while load reports are delayed.
const Candidate& LessLoadedOfTwo(const std::vector<Candidate>& candidates,
                                 RandomSource* random);

// Returns the candidate for a prompt prefix: the hinted target, or otherwise
// the target with the highest rank for the prefix, among the candidates that
// are below the load bound and not full. Returns the least loaded candidate if
// there is none. `candidates` must not be empty.
const Candidate& ChooseByPrefix(const TargetChoiceOptions& options,
                                const std::vector<Candidate>& candidates,
                                int max_in_flight_per_target,
                                std::uint64_t prefix,
                                const std::optional<TargetId>& hinted);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_TARGET_CHOICE_H_
