#ifndef WISTERIAREEL_SRC_ROUTING_TARGET_CHOICE_H_
#define WISTERIAREEL_SRC_ROUTING_TARGET_CHOICE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "src/routing/routing_table.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {

// A target that may get the request.
struct Candidate {
  const RoutedTarget* target = nullptr;
  // Requests there, raised while the target starts slowly.
  double load = 0;
};

struct TargetChoiceOptions {
  // Load, relative to the pool's mean, up to which a prefix's own target is
  // used.
  double load_bound = 1.25;
  // Mean load of the own zone, as a share of what its targets take, from
  // which work spills to others.
  double spill_threshold = 0.85;
  // How much less loaded, as that share, another zone must be.
  double spill_margin = 0.15;
};

// Sets the candidates' loads: this instance's own attempts as they are now,
// and those of others as last reported. What a report says of a target beyond
// the others fades with the report's age, as the requests that it saw end. In
// its place comes the assumption that others spread their work as this
// instance does: all follow the same ranks and hints.
void EstimateLoads(std::vector<Candidate>* candidates,
                   absl::Duration mean_duration, absl::Time now);

// Returns those of `candidates` in the nearest zones that aren't saturated.
// All of the nearest if every zone is.
std::vector<Candidate> NearestUnsaturated(
    const TargetChoiceOptions& options,
    const std::vector<Candidate>& candidates, int max_in_flight_per_target);

// Returns the less loaded of two random candidates. `candidates` must not be
// empty. Unlike the least loaded of all, it doesn't draw every instance to the
// same target while load reports lag.
const Candidate& LessLoadedOfTwo(const std::vector<Candidate>& candidates,
                                 RandomSource* random);

// Returns the candidate for a prompt's beginning: the one that is hinted at,
// or else the one that ranks highest for the prefix, among those whose load
// stays within the bound and that aren't full. `candidates` must not be empty.
const Candidate& ChooseByPrefix(const TargetChoiceOptions& options,
                                const std::vector<Candidate>& candidates,
                                int max_in_flight_per_target,
                                std::uint64_t prefix,
                                const std::optional<TargetId>& hinted);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_TARGET_CHOICE_H_
