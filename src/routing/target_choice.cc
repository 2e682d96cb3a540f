#include "src/routing/target_choice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

#include "src/routing/pair_rank.h"

namespace wisteriareel {
namespace {

constexpr std::size_t kDistances = 3;

double MeanLoad(const std::vector<Candidate>& candidates) {
  double total = 0;
  for (const Candidate& candidate : candidates) total += candidate.load;
  return total / static_cast<double>(candidates.size());
}

double MeanOfOthers(const std::vector<Candidate>& candidates, absl::Time now) {
  double total = 0;
  int reported = 0;
  for (const Candidate& candidate : candidates) {
    const OtherInstancesLoad others =
        candidate.target->state->LoadOfOthers(now);
    if (others.age == absl::InfiniteDuration()) continue;
    total += others.requests;
    ++reported;
  }
  return reported == 0 ? 0 : total / reported;
}

double MeanOfOwn(const std::vector<Candidate>& candidates) {
  double total = 0;
  for (const Candidate& candidate : candidates) {
    total += candidate.target->state->in_flight();
  }
  return total / static_cast<double>(candidates.size());
}

// Returns the expected share of the requests reported `age` ago that have not
// ended yet.
double RemainingShare(absl::Duration age, absl::Duration mean_duration) {
  if (age == absl::InfiniteDuration()) return 0;
  if (mean_duration <= absl::ZeroDuration()) return 1;
  return std::exp(-absl::FDivDuration(age, mean_duration));
}

}  // namespace

void EstimateLoads(std::vector<Candidate>* candidates,
                   absl::Duration mean_duration, absl::Time now) {
  const double mean = MeanOfOthers(*candidates, now);
  const double own_mean = MeanOfOwn(*candidates);
  const double others_per_own = own_mean > 0 ? mean / own_mean : 0;
  for (Candidate& candidate : *candidates) {
    const TargetState& state = *candidate.target->state;
    const OtherInstancesLoad others = state.LoadOfOthers(now);
    const double own = state.in_flight();
    const double reported = others.requests - mean;
    const double expected = (own - own_mean) * others_per_own;
    const double trust = RemainingShare(others.age, mean_duration);
    const double load = own + mean + reported * trust + expected * (1 - trust);
    const double share = state.SlowStartShare(now);
    candidate.load = share < 1.0 ? (load + 1) / share - 1 : load;
  }
}

std::vector<Candidate> NearestUnsaturated(
    const TargetChoiceOptions& options,
    const std::vector<Candidate>& candidates, int max_in_flight_per_target) {
  std::array<std::vector<Candidate>, kDistances> tiers;
  for (const Candidate& candidate : candidates) {
    tiers[static_cast<std::size_t>(candidate.target->distance)].push_back(
        candidate);
  }
  const std::vector<Candidate>* chosen = nullptr;
  double chosen_share = 0;
  for (const std::vector<Candidate>& tier : tiers) {
    if (tier.empty()) continue;
    const double share = MeanLoad(tier) / max_in_flight_per_target;
    if (chosen == nullptr) {
      chosen = &tier;
      chosen_share = share;
    }
    if (chosen_share < options.spill_threshold) break;
    if (share + options.spill_margin > chosen_share) continue;
    chosen = &tier;
    chosen_share = share;
  }
  return chosen == nullptr ? std::vector<Candidate>() : *chosen;
}

const Candidate& LessLoadedOfTwo(const std::vector<Candidate>& candidates,
                                 RandomSource* random) {
  const std::size_t n = candidates.size();
  const std::size_t first = random->Below(n);
  if (n == 1) return candidates[first];
  const std::size_t second = (first + 1 + random->Below(n - 1)) % n;
  const Candidate& a = candidates[first];
  const Candidate& b = candidates[second];
  return b.load < a.load ? b : a;
}

const Candidate& ChooseByPrefix(const TargetChoiceOptions& options,
                                const std::vector<Candidate>& candidates,
                                int max_in_flight_per_target,
                                std::uint64_t prefix,
                                const std::optional<TargetId>& hinted) {
  // Adds one to the mean, so that prefixes keep their target in an idle pool.
  const double bound =
      std::min<double>(max_in_flight_per_target,
                       options.load_bound * (MeanLoad(candidates) + 1));
  const Candidate* best = nullptr;
  std::uint64_t best_rank = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.load + 1 > bound) continue;
    if (hinted && candidate.target->id == *hinted) return candidate;
    const std::uint64_t rank = PairRank(prefix, candidate.target->hash);
    if (best != nullptr && rank <= best_rank) continue;
    best = &candidate;
    best_rank = rank;
  }
  if (best != nullptr) return *best;
  return *std::min_element(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.load < b.load; });
}

}  // namespace wisteriareel
