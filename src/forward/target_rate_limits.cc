#include "src/forward/target_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
// A slot with several requests bounds the number of slots per second.
constexpr std::int64_t kMinSlotUs = 5000;
constexpr int kMaxRequestsPerSlot = 500;
// Later estimates of the platform's epoch count with this divisor.
constexpr int kEpochSmoothing = 1024;
// Slots that TimeUntilShare examines.
constexpr int kMaxSlotsAhead = 1024;

// Returns a hash of `value` with all bits mixed.
constexpr std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

std::uint64_t HashTarget(const TargetId& id, std::int64_t started_ms) {
  return StableHash(id.value(), static_cast<std::uint64_t>(started_ms));
}

std::int64_t CeilDivide(std::int64_t value, std::int64_t divisor) {
  return value / divisor + (value % divisor > 0 ? 1 : 0);
}

// Returns true if `value` allows fewer requests than `limit`, where unset means
// no limit.
bool IsStricter(std::optional<double> value, std::optional<double> limit) {
  return value.has_value() && (!limit.has_value() || *value < *limit);
}

}  // namespace

TargetRateLimits::TargetRateLimits(TargetRateLimitsOptions options)
    : options_(std::move(options)),
      self_hash_(StableHash(options_.self.value())) {}

void TargetRateLimits::SetInstances(const std::vector<std::string>& instances,
                                    bool confirmed, absl::Time now) {
  // The slots until now belong to the owners by the previous list.
  for (auto& [id, state] : states_) UpdateShares(id, &state, now);
  other_hashes_.clear();
  for (const std::string& name : instances) {
    if (name == options_.self.value()) continue;
    other_hashes_.push_back(StableHash(name));
  }
  SetConfirmed(confirmed, now);
  RemoveOldStates(now);
}

void TargetRateLimits::SetConfirmed(bool confirmed, absl::Time now) {
  const bool was_confirmed = part_until_ != absl::InfiniteFuture();
  if (confirmed == was_confirmed) return;
  if (!confirmed) {
    if (now >= part_until_) part_from_ = now + options_.confirmation_grace;
    part_until_ = absl::InfiniteFuture();
    return;
  }
  part_until_ = now < part_from_ ? now : now + options_.listing_delay;
  used_from_ = std::min(used_from_, part_until_);
}

void TargetRateLimits::SetPlatformEpoch(absl::Time epoch) {
  if (!epoch_.has_value() || epoch < *epoch_ ||
      epoch - *epoch_ > options_.min_clock_step) {
    epoch_ = epoch;
    return;
  }
  // Follows the drift of the clocks.
  *epoch_ += (epoch - *epoch_) / kEpochSmoothing;
}

bool TargetRateLimits::RecordResponse(const TargetEntry& target,
                                      std::optional<double> per_second,
                                      absl::Time sent, absl::Time now) {
  if (per_second.has_value() &&
      (!std::isfinite(*per_second) || *per_second < 0))
    return false;
  State* const state = FindForUpdate(target.id, target.started_ms,
                                     target.address, per_second.has_value());
  if (state == nullptr) return false;
  const bool changed = per_second != state->limit;
  // A response that was on its way when the limit was last stated may be older
  // than that statement.
  if (changed && !IsStricter(per_second, state->limit) &&
      sent <= state->received) {
    return false;
  }
  if (changed) SetLimit(per_second, now, state);
  state->sent = changed ? sent : std::max(state->sent, sent);
  state->received = std::max(state->received, now);
  state->told_here = true;
  return changed;
}

void TargetRateLimits::Merge(const RateLimitNotice& notice, absl::Time now) {
  if (!epoch_.has_value()) return;
  if (notice.per_second.has_value() &&
      (!std::isfinite(*notice.per_second) || *notice.per_second < 0)) {
    return;
  }
  State* const state =
      FindForUpdate(notice.target, notice.started_ms, notice.address,
                    notice.per_second.has_value());
  if (state == nullptr) return;
  const absl::Time sent =
      std::min(now, *epoch_ + absl::Milliseconds(notice.observed_ms));
  if (notice.per_second == state->limit) {
    state->sent = std::max(state->sent, sent);
    state->received = std::max(state->received, sent);
    return;
  }
  const bool newer = IsStricter(notice.per_second, state->limit)
                         ? sent > state->sent
                         : sent > state->received + options_.max_clock_error;
  if (!newer) return;
  SetLimit(notice.per_second, now, state);
  state->sent = sent;
  state->received = std::max(state->received, sent);
  state->told_here = false;
}

bool TargetRateLimits::MaySend(const TargetEntry& target, absl::Time now) {
  State* const state = Find(target);
  if (state == nullptr || !state->limit.has_value()) return true;
  state->asked_at = now;
  UpdateShares(target.id, state, now);
  return !state->shares.empty();
}

void TargetRateLimits::RecordSend(const TargetEntry& target, absl::Time now) {
  State* const state = Find(target);
  if (state == nullptr || !state->limit.has_value()) return;
  UpdateShares(target.id, state, now);
  if (!state->shares.empty()) {
    state->shares.pop_front();
  } else if (epoch_.has_value()) {
    state->unpaid.push_back(ToPlatformUs(now));
  }
}

std::optional<double> TargetRateLimits::Limit(const TargetEntry& target) const {
  const auto it = states_.find(target.id);
  if (it == states_.end() || it->second.started_ms != target.started_ms ||
      it->second.address != target.address) {
    return std::nullopt;
  }
  return it->second.limit;
}

std::optional<absl::Duration> TargetRateLimits::TimeUntilShare(
    const TargetEntry& target, absl::Time now) {
  if (MaySend(target, now)) {
    if (!Limit(target).has_value()) return std::nullopt;
    return absl::ZeroDuration();
  }
  if (!epoch_.has_value() || used_from_ == absl::InfiniteFuture())
    return options_.listing_delay;
  const State& state = *Find(target);
  const Slots slots = SlotsOf(*state.limit);
  const std::uint64_t target_hash = HashTarget(target.id, state.started_ms);
  std::int64_t slot = FirstUsableSlot(state, slots);
  auto unpaid = static_cast<std::int64_t>(state.unpaid.size());
  absl::Duration wait;
  for (int n = 0; n < kMaxSlotsAhead; ++n, ++slot) {
    const absl::Time start =
        *epoch_ + absl::Microseconds(slot * slots.length_us);
    wait = std::max(absl::ZeroDuration(), start - now);
    if (!IsOwner(target_hash, slot, start)) continue;
    if (unpaid < slots.requests_per_slot) break;
    unpaid -= slots.requests_per_slot;
  }
  return wait;
}

std::vector<RateLimitNotice> TargetRateLimits::CollectNotices(
    absl::Time now) const {
  std::vector<RateLimitNotice> notices;
  if (!epoch_.has_value()) return notices;
  for (const auto& [id, state] : states_) {
    if (!state.told_here) continue;
    if (!state.limit.has_value() &&
        now - state.received > options_.end_notice_duration) {
      continue;
    }
    notices.push_back(
        {.target = id,
         .started_ms = state.started_ms,
         .address = state.address,
         .per_second = state.limit,
         .observed_ms = absl::ToInt64Milliseconds(state.sent - *epoch_)});
  }
  return notices;
}

bool TargetRateLimits::HasLimits() const {
  return std::any_of(states_.begin(), states_.end(), [](const auto& entry) {
    return entry.second.limit.has_value();
  });
}

TargetRateLimits::Slots TargetRateLimits::SlotsOf(double limit) const {
  const double max_slot_us =
      absl::ToDoubleMicroseconds(options_.max_share_interval);
  const double request_us = std::clamp(
      kMicrosecondsPerSecond / (limit * options_.divided_part),
      static_cast<double>(kMinSlotUs) / kMaxRequestsPerSlot, max_slot_us);
  Slots slots;
  slots.requests_per_slot =
      std::max(1, static_cast<int>(std::ceil(kMinSlotUs / request_us)));
  slots.length_us = std::llround(request_us * slots.requests_per_slot);
  const double validity_us =
      std::min(absl::ToDoubleMicroseconds(options_.max_validity),
               absl::ToDoubleMicroseconds(options_.base_validity) +
                   options_.validity_requests * kMicrosecondsPerSecond / limit);
  slots.validity_us = std::llround(validity_us);
  return slots;
}

std::int64_t TargetRateLimits::ToPlatformUs(absl::Time time) const {
  return absl::ToInt64Microseconds(time - *epoch_);
}

std::int64_t TargetRateLimits::FirstUsableSlot(const State& state,
                                               const Slots& slots) const {
  const std::int64_t from_us =
      ToPlatformUs(std::max(state.known_since, used_from_));
  return std::max(state.next_slot, CeilDivide(from_us, slots.length_us));
}

bool TargetRateLimits::IsOwner(std::uint64_t target_hash, std::int64_t slot,
                               absl::Time start) const {
  const std::uint64_t slot_hash =
      Mix(target_hash + static_cast<std::uint64_t>(slot));
  if (start >= part_from_ && start < part_until_ &&
      static_cast<double>(Mix(slot_hash)) >=
          std::ldexp(options_.unconfirmed_part, 64)) {
    return false;
  }
  const std::uint64_t rank = Mix(slot_hash ^ self_hash_);
  return std::none_of(
      other_hashes_.begin(), other_hashes_.end(),
      [&](std::uint64_t other) { return Mix(slot_hash ^ other) > rank; });
}

void TargetRateLimits::UpdateShares(const TargetId& id, State* state,
                                    absl::Time now) const {
  if (!epoch_.has_value() || !state->limit.has_value()) return;
  const Slots slots = SlotsOf(*state->limit);
  const std::int64_t now_us = ToPlatformUs(now);
  const std::int64_t oldest_us = now_us - slots.validity_us;
  while (!state->shares.empty() && state->shares.front() <= oldest_us)
    state->shares.pop_front();
  while (!state->unpaid.empty() && state->unpaid.front() <= oldest_us)
    state->unpaid.pop_front();
  if (used_from_ == absl::InfiniteFuture()) return;
  const std::uint64_t target_hash = HashTarget(id, state->started_ms);
  const std::int64_t end = now_us / slots.length_us + 1;
  std::int64_t slot =
      std::max(FirstUsableSlot(*state, slots), oldest_us / slots.length_us + 1);
  for (; slot < end; ++slot) {
    const std::int64_t start_us = slot * slots.length_us;
    if (!IsOwner(target_hash, slot, *epoch_ + absl::Microseconds(start_us)))
      continue;
    for (int n = 0; n < slots.requests_per_slot; ++n) {
      if (state->unpaid.empty()) {
        state->shares.push_back(start_us);
      } else {
        state->unpaid.pop_front();
      }
    }
  }
  // A large step of the clock must not end the use of shares.
  const std::int64_t last =
      end + CeilDivide(slots.validity_us, slots.length_us);
  state->next_slot = std::min(std::max(state->next_slot, end), last);
}

TargetRateLimits::State* TargetRateLimits::Find(const TargetEntry& target) {
  const auto it = states_.find(target.id);
  if (it == states_.end() || it->second.started_ms != target.started_ms ||
      it->second.address != target.address) {
    return nullptr;
  }
  return &it->second;
}

TargetRateLimits::State* TargetRateLimits::FindForUpdate(
    const TargetId& id, std::int64_t started_ms, const Endpoint& address,
    bool has_limit) {
  const auto it = states_.find(id);
  if (it != states_.end()) {
    State& state = it->second;
    if (state.started_ms == started_ms && state.address == address)
      return &state;
    if (state.started_ms > started_ms) return nullptr;
    states_.erase(it);
  }
  if (!has_limit) return nullptr;
  State& state = states_[id];
  state.started_ms = started_ms;
  state.address = address;
  return &state;
}

void TargetRateLimits::SetLimit(std::optional<double> limit, absl::Time now,
                                State* state) {
  // Unused shares stay valid only if the limit rises.
  if (!IsStricter(state->limit, limit)) state->shares.clear();
  state->limit = limit;
  state->known_since = now;
  state->next_slot = 0;
  state->unpaid.clear();
}

void TargetRateLimits::RemoveOldStates(absl::Time now) {
  for (auto it = states_.begin(); it != states_.end();) {
    const State& state = it->second;
    const absl::Time used = std::max(state.asked_at, state.received);
    const absl::Duration retention = state.limit.has_value()
                                         ? options_.retention
                                         : options_.end_notice_duration;
    it = now - used > retention ? states_.erase(it) : std::next(it);
  }
}

}  // namespace wisteriareel
