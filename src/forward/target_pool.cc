#include "src/forward/target_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

// Prompt tokens that an engine reads in a millisecond, for comparing costs
// only; engines of today read around fifty.
constexpr double kPrefillTokensPerMs = 50;
// A request beyond its prompt slows the others at its engine by about this.
constexpr double kRunningMs = 4;
// Other instances send to the same targets: work seen here stands for more.
constexpr double kUnseenWork = 1.2;
// Targets that are asked for their load before a request is placed: the home
// of its shared part, and the one that reads it least often otherwise.
constexpr std::ptrdiff_t kAskedTargets = 2;
// A report is used again for this long, about its own lag.
constexpr absl::Duration kReportFresh = absl::Milliseconds(120);
// A report that is older says nothing any more.
constexpr absl::Duration kReportMemory = absl::Milliseconds(500);
// Assumed time of reading a prompt until one was placed.
constexpr double kUnknownPrefillMs = 50;
// Weight of a new value in the means over requests and reports.
constexpr double kMeanWeight = 0.05;
// A target that doesn't answer, or has no memory left for the request, is
// used only if all others are worse than this.
constexpr double kNoAnswerMs = 600;
constexpr double kNoMemoryMs = 400;
// Extra time of a target in another zone.
constexpr double kOtherZoneMs = 2.0;
// Observed waiting loses its meaning at this rate.
constexpr absl::Duration kDelayMemory = absl::Seconds(2);
constexpr double kDelayWeight = 0.3;
// Parts sent longer ago than this may have been evicted.
constexpr absl::Duration kPartMemory = absl::Seconds(30);
constexpr std::size_t kMaxRememberedParts = 512;
constexpr double kFailureWeight = 0.25;
// A target is ejected when it fails this much more often than its peers.
constexpr double kEjectionMargin = 0.4;
constexpr absl::Duration kFirstEjection = absl::Milliseconds(800);
constexpr absl::Duration kLongestEjection = absl::Seconds(6);

double Decayed(double value, absl::Duration age, absl::Duration memory) {
  if (value == 0) return 0;
  return value * std::exp(-absl::FDivDuration(age, memory));
}

// Takes `value` into a mean; the first value is all that is known.
void Average(double value, std::optional<double>* mean) {
  *mean = mean->has_value() ? **mean + kMeanWeight * (value - **mean) : value;
}

}  // namespace

TargetPool::TargetPool(TargetPoolOptions options)
    : options_(std::move(options)) {}

std::vector<TargetChange> TargetPool::ApplyListing(
    const std::vector<TargetEntry>& listing, absl::Time now) {
  using Kind = TargetChange::Kind;
  std::vector<TargetChange> changes;
  if (listed_ && now - last_listing_ > options_.listing_gap) {
    grace_until_ = now + options_.return_grace;
  }
  listed_ = true;
  last_listing_ = now;
  absl::flat_hash_map<TargetId, const TargetEntry*> by_id;
  for (const TargetEntry& entry : listing) by_id[entry.id] = &entry;
  for (auto it = targets_.begin(); it != targets_.end();) {
    it->second.missing = !by_id.contains(it->first);
    if (!it->second.missing || now < grace_until_) {
      ++it;
      continue;
    }
    changes.push_back({.kind = Kind::kRemoved,
                       .id = it->first,
                       .service = it->second.entry.service});
    it = targets_.erase(it);
  }
  for (const TargetEntry& entry : listing) {
    const auto [it, added] = targets_.try_emplace(entry.id);
    State& state = it->second;
    if (added) {
      changes.push_back(
          {.kind = Kind::kAdded, .id = entry.id, .service = entry.service});
    } else if (state.entry.started_ms != entry.started_ms ||
               state.entry.address != entry.address) {
      changes.push_back(
          {.kind = Kind::kRestarted, .id = entry.id, .service = entry.service});
      const int in_flight = state.in_flight;
      state = State{};
      state.in_flight = in_flight;
    }
    if (entry.draining && (added || !state.entry.draining)) {
      changes.push_back(
          {.kind = Kind::kDraining, .id = entry.id, .service = entry.service});
    }
    state.entry = entry;
  }
  return changes;
}

bool TargetPool::IsUsable(const State& state, const ServiceId& service,
                          absl::Time now) const {
  return state.entry.service == service && !state.entry.draining &&
         (!state.missing || now < grace_until_);
}

std::vector<TargetPool::Candidate> TargetPool::FindCandidates(
    const PlacementRequirements& requirements, absl::Time now) {
  const bool ranks = !requirements.prefix_key.empty();
  const std::uint64_t seed = ranks ? StableHash(requirements.prefix_key) : 0;
  std::vector<Candidate> usable;
  std::vector<Candidate> ejected;
  for (auto& [id, state] : targets_) {
    if (!IsUsable(state, requirements.service, now)) continue;
    if (std::find(requirements.tried.begin(), requirements.tried.end(), id) !=
        requirements.tried.end()) {
      continue;
    }
    // One request at a time tells whether an ejected target is back.
    const bool out = state.ejected_until > now ||
                     (state.on_probation && state.in_flight > 0);
    (out ? ejected : usable)
        .push_back({.state = &state,
                    .rank = ranks ? StableHash(id.value(), seed) : 0});
  }
  // Ejection never takes the last target.
  return usable.empty() ? ejected : usable;
}

double TargetPool::EstimatePrefillMs(const State& state,
                                     const PlacementRequirements& requirements,
                                     bool is_affinity_target,
                                     absl::Time now) const {
  // The home has the shared part, others only if they were sent it.
  double reread = is_affinity_target ? 0 : 1;
  const auto it = state.sent_prefixes.find(requirements.prefix_key);
  if (it != state.sent_prefixes.end() && now - it->second < kPartMemory) {
    reread = 0;
  }
  const double tokens =
      static_cast<double>(requirements.own_tokens.value()) +
      reread * static_cast<double>(requirements.prefix_tokens.value());
  return tokens / kPrefillTokensPerMs;
}

double TargetPool::EstimateCost(const State& state,
                                const PlacementRequirements& requirements,
                                double prefill_ms, absl::Time now) const {
  double cost = Decayed(state.delay_ms, now - state.delay_at, kDelayMemory);
  if (state.entry.zone != options_.zone) cost += kOtherZoneMs;
  cost += absl::ToDoubleMilliseconds(state.entry.warm_up) * 0.1;
  if (!requirements.engine) {
    const double slots = std::max(1, state.entry.slots);
    return cost + 100.0 * kUnseenWork * state.in_flight / slots;
  }
  return cost + prefill_ms + EstimateWorkMs(state, requirements, now);
}

double TargetPool::EstimateReportedMs(const TargetLoad& load) const {
  // Half of a prompt is left of those that are being read, on average.
  return mean_prefill_ms_.value_or(kUnknownPrefillMs) *
             (load.queued + 0.5 * load.prefilling) +
         kRunningMs * load.running;
}

double TargetPool::EstimateWorkMs(const State& state,
                                  const PlacementRequirements& requirements,
                                  absl::Time now) const {
  const double seen =
      kUnseenWork * (state.pending_prefill_ms + kRunningMs * state.in_flight);
  if (now - state.queried_at > kReportMemory) {
    return seen + mean_reported_ms_.value_or(0);
  }
  if (!state.load.has_value()) return seen + kNoAnswerMs;
  double work = std::max(seen, EstimateReportedMs(*state.load));
  const Tokens needed = requirements.own_tokens + requirements.prefix_tokens;
  if (state.load->cache_used + needed > state.load->cache_total) {
    work += kNoMemoryMs;
  }
  return work;
}

std::vector<TargetEntry> TargetPool::TargetsToQuery(
    const PlacementRequirements& requirements, absl::Time now) {
  std::vector<TargetEntry> asked;
  if (!requirements.engine) return asked;
  std::vector<Candidate> candidates = FindCandidates(requirements, now);
  if (candidates.size() < 2) return asked;
  const auto end =
      candidates.begin() +
      std::min<std::ptrdiff_t>(kAskedTargets, std::ssize(candidates));
  std::partial_sort(
      candidates.begin(), end, candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.rank > b.rank; });
  for (auto it = candidates.begin(); it != end; ++it) {
    if (now - it->state->queried_at < kReportFresh) continue;
    asked.push_back(it->state->entry);
  }
  return asked;
}

void TargetPool::RecordLoad(const TargetId& id,
                            const std::optional<TargetLoad>& load,
                            absl::Time now) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  it->second.load = load;
  it->second.queried_at = now;
  if (!load.has_value()) return;
  Average(EstimateReportedMs(*load), &mean_reported_ms_);
}

std::optional<Placement> TargetPool::Choose(
    const PlacementRequirements& requirements, absl::Time now) {
  const std::vector<Candidate> candidates = FindCandidates(requirements, now);
  std::uint64_t max_rank = 0;
  for (const Candidate& it : candidates) {
    max_rank = std::max(max_rank, it.rank);
  }
  State* best = nullptr;
  std::uint64_t best_rank = 0;
  double best_cost = 0;
  double best_prefill = 0;
  for (const Candidate& it : candidates) {
    const double prefill =
        EstimatePrefillMs(*it.state, requirements, it.rank == max_rank, now);
    const double cost = EstimateCost(*it.state, requirements, prefill, now);
    // Equal targets are taken by rank, so that not all parts go to the same.
    const bool better = best == nullptr || cost < best_cost ||
                        (cost == best_cost && it.rank > best_rank);
    if (!better) continue;
    best = it.state;
    best_rank = it.rank;
    best_cost = cost;
    best_prefill = prefill;
  }
  if (best == nullptr) return std::nullopt;
  ++best->in_flight;
  if (requirements.engine) {
    best->pending_prefill_ms += best_prefill;
    Average(best_prefill, &mean_prefill_ms_);
    RecordSentPrefix(best, requirements, now);
  }
  return Placement{.target = best->entry,
                   .prefill_ms = requirements.engine ? best_prefill : 0,
                   .engine = requirements.engine};
}

void TargetPool::RecordSentPrefix(State* state,
                                  const PlacementRequirements& requirements,
                                  absl::Time now) {
  if (requirements.prefix_key.empty()) return;
  if (state->sent_prefixes.size() >= kMaxRememberedParts) {
    absl::erase_if(state->sent_prefixes, [now](const auto& part) {
      return now - part.second > kPartMemory;
    });
  }
  if (state->sent_prefixes.size() >= kMaxRememberedParts) {
    state->sent_prefixes.clear();
  }
  state->sent_prefixes[requirements.prefix_key] = now;
}

void TargetPool::RecordResponseStart(Placement* placement,
                                     absl::Duration elapsed, absl::Time now) {
  if (placement->started) return;
  placement->started = true;
  const auto it = targets_.find(placement->target.id);
  if (it == targets_.end()) return;
  State& state = it->second;
  state.pending_prefill_ms =
      std::max(0.0, state.pending_prefill_ms - placement->prefill_ms);
  const double extra = std::max(
      0.0, absl::ToDoubleMilliseconds(elapsed) - placement->prefill_ms);
  const double old =
      Decayed(state.delay_ms, now - state.delay_at, kDelayMemory);
  state.delay_ms = old + kDelayWeight * (extra - old);
  state.delay_at = now;
}

std::optional<TargetChange> TargetPool::Finish(const Placement& placement,
                                               AttemptOutcome outcome,
                                               absl::Time now) {
  const auto it = targets_.find(placement.target.id);
  if (it == targets_.end()) return std::nullopt;
  State& state = it->second;
  if (state.in_flight > 0) --state.in_flight;
  if (!placement.started) {
    state.pending_prefill_ms =
        std::max(0.0, state.pending_prefill_ms - placement.prefill_ms);
  }
  // Sums of fractions leave a remainder that would look like work.
  if (state.in_flight == 0) state.pending_prefill_ms = 0;
  if (outcome == AttemptOutcome::kCancelled) return std::nullopt;
  if (outcome == AttemptOutcome::kSucceeded) {
    state.failure_rate *= 1 - kFailureWeight;
    if (!state.on_probation) return std::nullopt;
    state.on_probation = false;
    state.failure_rate = 0;
    state.next_ejection = kFirstEjection;
    return TargetChange{.kind = TargetChange::Kind::kReinstated,
                        .id = placement.target.id,
                        .service = placement.target.service};
  }
  state.failure_rate += kFailureWeight * (1 - state.failure_rate);
  const bool unreachable = outcome == AttemptOutcome::kUnreachable;
  if (!unreachable && !state.on_probation &&
      state.failure_rate <
          MeanFailureRate(state.entry.service) + kEjectionMargin) {
    return std::nullopt;
  }
  return Eject(&state, now);
}

double TargetPool::MeanFailureRate(const ServiceId& service) const {
  double sum = 0;
  int n = 0;
  for (const auto& [id, state] : targets_) {
    if (state.entry.service != service) continue;
    sum += state.failure_rate;
    ++n;
  }
  return n == 0 ? 0 : sum / n;
}

std::optional<TargetChange> TargetPool::Eject(State* state, absl::Time now) {
  const bool again = state->on_probation;
  if (state->next_ejection == absl::ZeroDuration()) {
    state->next_ejection = kFirstEjection;
  }
  // Several requests in flight fail together and count as one.
  if (state->ejected_until > now) return std::nullopt;
  state->ejected_until = now + state->next_ejection;
  state->next_ejection = std::min(kLongestEjection, state->next_ejection * 2);
  state->on_probation = true;
  if (again) return std::nullopt;
  return TargetChange{.kind = TargetChange::Kind::kEjected,
                      .id = state->entry.id,
                      .service = state->entry.service};
}

int TargetPool::CountUsable(const ServiceId& service, absl::Time now) const {
  int n = 0;
  for (const auto& [id, state] : targets_) {
    if (IsUsable(state, service, now) && state.ejected_until <= now) ++n;
  }
  return n;
}

const TargetEntry* TargetPool::Find(const TargetId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : &it->second.entry;
}

}  // namespace wisteriareel
