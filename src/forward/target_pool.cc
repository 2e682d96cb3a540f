#include "src/forward/target_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

// Prefill speed of an engine, used only to compare costs. Present engines
// process around fifty prompt tokens per millisecond.
constexpr double kPrefillTokensPerMs = 50;
// Approximate delay that a request causes the others at its engine, in addition
// to its prefill.
constexpr double kRunningDelayMs = 4;
// Factor for the work of other instances, which send to the same targets.
constexpr double kOtherInstancesFactor = 1.2;
// Number of targets whose load is queried before a request is placed: the
// affinity target of its shared prefix, and the second one in rendezvous order,
// which is most likely to have the prefix cached too.
constexpr std::ptrdiff_t kQueriedTargets = 2;
// Time for which a load report is reused; about the lag of a report itself.
constexpr absl::Duration kLoadReuseTime = absl::Milliseconds(120);
// Time after which a load report is ignored.
constexpr absl::Duration kLoadExpiry = absl::Milliseconds(500);
// Assumed prefill time until the first request was placed.
constexpr double kDefaultPrefillMs = 50;
// Weight of a new value in the moving averages over requests and reports.
constexpr double kAverageWeight = 0.05;
// Costs of a target that doesn't respond, or has no memory left for the
// request. Such a target is used only if all others cost more.
constexpr double kNoResponseCostMs = 600;
constexpr double kNoMemoryCostMs = 400;
// Additional delay of a target in another availability zone.
constexpr double kOtherZoneCostMs = 2.0;
// Time constant of the decay of observed delays.
constexpr absl::Duration kDelayMemory = absl::Seconds(2);
constexpr double kDelayWeight = 0.3;
// A prefix that was sent longer ago may have been evicted from the cache.
constexpr absl::Duration kPrefixExpiry = absl::Seconds(30);
constexpr std::size_t kMaxSentPrefixes = 512;
constexpr double kFailureWeight = 0.25;
// Difference to the mean failure rate of the service at which a target is
// ejected.
constexpr double kEjectionMargin = 0.4;
constexpr absl::Duration kFirstEjection = absl::Milliseconds(800);
constexpr absl::Duration kMaxEjection = absl::Seconds(6);
// A target can't ask for no requests for longer than this.
constexpr absl::Duration kMaxNoRequests = absl::Hours(1);
// Time for which the notice of a target is kept that isn't listed. It may be
// listed again after an outage of the list.
constexpr absl::Duration kNoticeMemory = absl::Hours(1);

double Decayed(double value, absl::Duration age, absl::Duration memory) {
  if (value == 0) return 0;
  return value * std::exp(-absl::FDivDuration(age, memory));
}

// Adds `value` to a moving average, which starts with the first value.
void UpdateAverage(double value, std::optional<double>* average) {
  *average = average->has_value()
                 ? **average + kAverageWeight * (value - **average)
                 : value;
}

}  // namespace

TargetPool::TargetPool(TargetPoolOptions options, TargetRateLimits* rate_limits)
    : options_(std::move(options)), rate_limits_(rate_limits) {}

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
  RemoveOldNotices(now);
  return changes;
}

bool TargetPool::IsUsable(const State& state, const ServiceId& service,
                          absl::Time now) const {
  return IsOpen(state, service, now) && HasRateShare(state, now);
}

bool TargetPool::HasRateShare(const State& state, absl::Time now) const {
  return rate_limits_ == nullptr || rate_limits_->MaySend(state.entry, now);
}

bool TargetPool::IsOpen(const State& state, const ServiceId& service,
                        absl::Time now) const {
  if (state.entry.service != service || state.entry.draining ||
      (state.missing && now >= grace_until_)) {
    return false;
  }
  const TargetNotice* notice = FindNotice(state.entry);
  return notice == nullptr ||
         (!notice->leaving && notice->no_requests_until <= now);
}

const TargetNotice* TargetPool::FindNotice(const TargetEntry& target) const {
  const auto it = notices_.find(target.id);
  if (it == notices_.end() || it->second.started_ms != target.started_ms ||
      it->second.address != target.address) {
    return nullptr;
  }
  return &it->second.notice;
}

bool TargetPool::RecordNotice(const TargetEntry& target,
                              const TargetNotice& notice, absl::Time now) {
  TargetNotice merged = notice;
  merged.no_requests_until =
      std::min(merged.no_requests_until, now + kMaxNoRequests);
  const TargetNotice* known = FindNotice(target);
  if (known != nullptr) {
    merged.leaving = merged.leaving || known->leaving;
    merged.no_requests_until =
        std::max(merged.no_requests_until, known->no_requests_until);
  }
  const bool changed = known == nullptr || merged != *known;
  notices_[target.id] = {.notice = merged,
                         .started_ms = target.started_ms,
                         .address = target.address,
                         .at = now};
  return changed;
}

bool TargetPool::RecordRateLimit(const TargetEntry& target,
                                 std::optional<double> per_second,
                                 absl::Time sent, absl::Time now) {
  return rate_limits_ != nullptr &&
         rate_limits_->RecordResponse(target, per_second, sent, now);
}

std::optional<double> TargetPool::FindTotalRateLimit(
    const ServiceId& service, const std::vector<TargetId>& tried,
    absl::Time now) const {
  std::optional<double> total;
  if (rate_limits_ == nullptr || !rate_limits_->HasLimits()) return total;
  for (const auto& [id, state] : targets_) {
    if (!IsOpen(state, service, now)) continue;
    if (std::find(tried.begin(), tried.end(), id) != tried.end()) continue;
    const std::optional<double> limit = rate_limits_->Limit(state.entry);
    if (!limit.has_value()) return std::nullopt;
    total = total.value_or(0) + *limit;
  }
  return total;
}

void TargetPool::RemoveOldNotices(absl::Time now) {
  std::erase_if(notices_, [this, now](const auto& entry) {
    return !targets_.contains(entry.first) &&
           now - entry.second.at > kNoticeMemory;
  });
}

std::optional<absl::Duration> TargetPool::TimeUntilAccepted(
    const ServiceId& service, absl::Time now) const {
  std::optional<absl::Duration> first;
  for (const auto& [id, state] : targets_) {
    if (state.entry.service != service || state.entry.draining) continue;
    const TargetNotice* notice = FindNotice(state.entry);
    if (notice == nullptr || notice->leaving) continue;
    const absl::Duration wait = notice->no_requests_until - now;
    if (wait <= absl::ZeroDuration()) continue;
    first = std::min(first.value_or(absl::InfiniteDuration()), wait);
  }
  return first;
}

TargetPool::Candidates TargetPool::FindCandidates(
    const PlacementRequirements& requirements, absl::Time now) {
  const bool has_prefix = !requirements.prefix_key.empty();
  const std::uint64_t seed =
      has_prefix ? StableHash(requirements.prefix_key) : 0;
  Candidates usable;
  std::vector<Candidate> ejected;
  for (auto& [id, state] : targets_) {
    if (!IsOpen(state, requirements.service, now)) continue;
    if (std::find(requirements.tried.begin(), requirements.tried.end(), id) !=
        requirements.tried.end()) {
      continue;
    }
    if (!HasRateShare(state, now)) {
      usable.avoided_limit = true;
      continue;
    }
    // After an ejection one request at a time probes the target.
    const bool is_ejected = state.ejected_until > now ||
                            (state.on_probation && state.in_flight > 0);
    (is_ejected ? ejected : usable.targets)
        .push_back({.state = &state,
                    .rank = has_prefix ? StableHash(id.value(), seed) : 0});
  }
  // Ejection never removes the last target.
  if (usable.targets.empty()) usable.targets = std::move(ejected);
  return usable;
}

double TargetPool::EstimatePrefillMs(const State& state,
                                     const PlacementRequirements& requirements,
                                     bool is_affinity_target,
                                     absl::Time now) const {
  // The affinity target is assumed to have the shared prefix cached, other
  // targets only if this instance sent it to them.
  double uncached_share = is_affinity_target ? 0 : 1;
  const auto it = state.sent_prefixes.find(requirements.prefix_key);
  if (it != state.sent_prefixes.end() && now - it->second < kPrefixExpiry) {
    uncached_share = 0;
  }
  const double tokens =
      static_cast<double>(requirements.own_tokens.value()) +
      uncached_share * static_cast<double>(requirements.prefix_tokens.value());
  return tokens / kPrefillTokensPerMs;
}

double TargetPool::EstimateCost(const State& state,
                                const PlacementRequirements& requirements,
                                double prefill_ms, absl::Time now) const {
  double cost = Decayed(state.delay_ms, now - state.delay_at, kDelayMemory);
  if (state.entry.zone != options_.zone) cost += kOtherZoneCostMs;
  cost += absl::ToDoubleMilliseconds(state.entry.warm_up) * 0.1;
  if (!requirements.engine) {
    const double slots = std::max(1, state.entry.slots);
    return cost + 100.0 * kOtherInstancesFactor * state.in_flight / slots;
  }
  return cost + prefill_ms + EstimateWorkMs(state, requirements, now);
}

double TargetPool::EstimateReportedMs(const TargetLoad& load) const {
  // On average half of a prompt is left during its prefill.
  return mean_prefill_ms_.value_or(kDefaultPrefillMs) *
             (load.queued + 0.5 * load.prefilling) +
         kRunningDelayMs * load.running;
}

double TargetPool::EstimateWorkMs(const State& state,
                                  const PlacementRequirements& requirements,
                                  absl::Time now) const {
  const double seen_ms =
      kOtherInstancesFactor *
      (state.pending_prefill_ms + kRunningDelayMs * state.in_flight);
  if (now - state.queried_at > kLoadExpiry) {
    return seen_ms + mean_reported_ms_.value_or(0);
  }
  if (!state.load.has_value()) return seen_ms + kNoResponseCostMs;
  double work_ms = std::max(seen_ms, EstimateReportedMs(*state.load));
  const Tokens needed = requirements.own_tokens + requirements.prefix_tokens;
  if (state.load->cache_used + needed > state.load->cache_total) {
    work_ms += kNoMemoryCostMs;
  }
  return work_ms;
}

std::vector<TargetEntry> TargetPool::TargetsToQuery(
    const PlacementRequirements& requirements, absl::Time now) {
  std::vector<TargetEntry> to_query;
  if (!requirements.engine) return to_query;
  std::vector<Candidate> candidates = FindCandidates(requirements, now).targets;
  if (candidates.size() < 2) return to_query;
  const auto end =
      candidates.begin() +
      std::min<std::ptrdiff_t>(kQueriedTargets, std::ssize(candidates));
  std::partial_sort(
      candidates.begin(), end, candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.rank > b.rank; });
  for (auto it = candidates.begin(); it != end; ++it) {
    if (now - it->state->queried_at < kLoadReuseTime) continue;
    to_query.push_back(it->state->entry);
  }
  return to_query;
}

void TargetPool::RecordLoad(const TargetId& id,
                            const std::optional<TargetLoad>& load,
                            absl::Time now) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  it->second.load = load;
  it->second.queried_at = now;
  if (!load.has_value()) return;
  UpdateAverage(EstimateReportedMs(*load), &mean_reported_ms_);
}

std::optional<Placement> TargetPool::Choose(
    const PlacementRequirements& requirements, absl::Time now) {
  const Candidates candidates = FindCandidates(requirements, now);
  std::uint64_t max_rank = 0;
  for (const Candidate& it : candidates.targets) {
    max_rank = std::max(max_rank, it.rank);
  }
  State* best = nullptr;
  std::uint64_t best_rank = 0;
  double best_cost = 0;
  double best_prefill_ms = 0;
  for (const Candidate& it : candidates.targets) {
    const double prefill_ms =
        EstimatePrefillMs(*it.state, requirements, it.rank == max_rank, now);
    const double cost = EstimateCost(*it.state, requirements, prefill_ms, now);
    // The rank breaks ties, so that not all prefixes go to the same target.
    const bool better = best == nullptr || cost < best_cost ||
                        (cost == best_cost && it.rank > best_rank);
    if (!better) continue;
    best = it.state;
    best_rank = it.rank;
    best_cost = cost;
    best_prefill_ms = prefill_ms;
  }
  if (best == nullptr) return std::nullopt;
  ++best->in_flight;
  if (rate_limits_ != nullptr) rate_limits_->RecordSend(best->entry, now);
  if (requirements.engine) {
    best->pending_prefill_ms += best_prefill_ms;
    UpdateAverage(best_prefill_ms, &mean_prefill_ms_);
    RecordSentPrefix(best, requirements, now);
  }
  return Placement{.target = best->entry,
                   .prefill_ms = requirements.engine ? best_prefill_ms : 0,
                   .engine = requirements.engine,
                   .avoided_limit = candidates.avoided_limit};
}

void TargetPool::RecordSentPrefix(State* state,
                                  const PlacementRequirements& requirements,
                                  absl::Time now) {
  if (requirements.prefix_key.empty()) return;
  if (state->sent_prefixes.size() >= kMaxSentPrefixes) {
    absl::erase_if(state->sent_prefixes, [now](const auto& prefix) {
      return now - prefix.second > kPrefixExpiry;
    });
  }
  if (state->sent_prefixes.size() >= kMaxSentPrefixes) {
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
  const double excess_ms = std::max(
      0.0, absl::ToDoubleMilliseconds(elapsed) - placement->prefill_ms);
  const double old_ms =
      Decayed(state.delay_ms, now - state.delay_at, kDelayMemory);
  state.delay_ms = old_ms + kDelayWeight * (excess_ms - old_ms);
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
  // Removes the rounding error, which would count as work.
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
  const bool was_on_probation = state->on_probation;
  if (state->next_ejection == absl::ZeroDuration()) {
    state->next_ejection = kFirstEjection;
  }
  // Concurrent requests that fail together cause only one ejection.
  if (state->ejected_until > now) return std::nullopt;
  state->ejected_until = now + state->next_ejection;
  state->next_ejection = std::min(kMaxEjection, state->next_ejection * 2);
  state->on_probation = true;
  if (was_on_probation) return std::nullopt;
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

bool TargetPool::HasUntriedTarget(const ServiceId& service,
                                  const std::vector<TargetId>& tried,
                                  absl::Time now) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
    const State& state = entry.second;
    return IsUsable(state, service, now) && state.ejected_until <= now &&
           std::find(tried.begin(), tried.end(), entry.first) == tried.end();
  });
}

const TargetEntry* TargetPool::Find(const TargetId& id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : &it->second.entry;
}

}  // namespace wisteriareel
