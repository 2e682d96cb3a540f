#include "src/forward/connection_limiter.h"

#include <cmath>
#include <tuple>

namespace wisteriareel {
namespace {

// Part of the bytes that large connections may hold together.
constexpr double kLargeShare = 0.75;
constexpr double kNearlyFullShare = 0.5;
// Time in which recorded progress decays by a factor of e.
constexpr absl::Duration kProgressDecay = absl::Seconds(2);
// Counts as held by each connection, so that small ones are compared by their
// progress.
constexpr double kBaseBytes = 4096;

double Decayed(double progress, absl::Duration age) {
  return progress * std::exp(-absl::FDivDuration(age, kProgressDecay));
}

}  // namespace

void ConnectionLimiter::Add(LimitedConnection* connection, absl::Time now) {
  entries_[connection] = {.active = now, .number = ++added_};
}

void ConnectionLimiter::Remove(LimitedConnection* connection) {
  const auto it = entries_.find(connection);
  if (it == entries_.end()) return;
  Count(it->second.usage, -1);
  entries_.erase(it);
}

void ConnectionLimiter::Count(const ConnectionUsage& usage, int sign) {
  const std::size_t bytes = usage.bytes;
  const std::size_t large_bytes = IsLarge(usage) ? bytes : 0;
  const std::size_t closing = usage.phase == ConnectionPhase::kClosing ? 1 : 0;
  const std::size_t served = usage.is_served ? 1 : 0;
  if (sign > 0) {
    bytes_ += bytes;
    large_bytes_ += large_bytes;
    closing_ += closing;
    served_ += served;
  } else {
    bytes_ -= bytes;
    large_bytes_ -= large_bytes;
    closing_ -= closing;
    served_ -= served;
  }
}

void ConnectionLimiter::Update(LimitedConnection* connection,
                               const ConnectionUsage& usage,
                               std::size_t progress, absl::Time now) {
  const auto it = entries_.find(connection);
  if (it == entries_.end()) return;
  Entry& entry = it->second;
  Count(entry.usage, -1);
  entry.usage = usage;
  Count(entry.usage, 1);
  if (progress == 0) return;
  entry.progress = Decayed(entry.progress, now - entry.active) +
                   static_cast<double>(progress);
  entry.active = now;
}

double ConnectionLimiter::ProgressShare(const Entry& entry, absl::Time now) {
  return Decayed(entry.progress, now - entry.active) /
         (static_cast<double>(entry.usage.bytes) + kBaseBytes);
}

bool ConnectionLimiter::CanFreeBytes(const ConnectionUsage& usage) {
  switch (usage.phase) {
    case ConnectionPhase::kServing:
      return false;
    case ConnectionPhase::kClosing:
      // Its last response is worth more than the few bytes of a refusal.
      return IsLarge(usage);
    case ConnectionPhase::kIdle:
    case ConnectionPhase::kReading:
    case ConnectionPhase::kWriting:
      return usage.bytes > 0;
  }
  return false;
}

std::size_t ConnectionLimiter::MaxLargeBytes() const {
  return static_cast<std::size_t>(kLargeShare *
                                  static_cast<double>(options_.max_bytes));
}

void ConnectionLimiter::GiveUpExcess(absl::Time now) {
  while (LimitedConnection* connection = FindExcess(now)) {
    connection->GiveUp();
  }
}

LimitedConnection* ConnectionLimiter::FindExcess(absl::Time now) const {
  if (closing_ > options_.max_closing) {
    return FindLeastRecent(ConnectionPhase::kClosing);
  }
  if (large_bytes_ > MaxLargeBytes()) {
    LimitedConnection* found = FindLeastProgress(/*large_only=*/true, now);
    if (found != nullptr) return found;
  }
  if (bytes_ > options_.max_bytes) {
    LimitedConnection* found = FindLeastProgress(/*large_only=*/false, now);
    if (found != nullptr) return found;
  }
  if (entries_.size() - closing_ > options_.max_connections) {
    LimitedConnection* found = FindLeastRecent(ConnectionPhase::kIdle);
    if (found != nullptr) return found;
    return FindLeastProgress(/*large_only=*/false, now);
  }
  return nullptr;
}

LimitedConnection* ConnectionLimiter::FindLeastRecent(
    ConnectionPhase phase) const {
  LimitedConnection* found = nullptr;
  std::tuple<absl::Time, std::uint64_t> least;
  for (const auto& [connection, entry] : entries_) {
    if (entry.usage.phase != phase) continue;
    const std::tuple rank(entry.active, entry.number);
    if (found != nullptr && least <= rank) continue;
    found = connection;
    least = rank;
  }
  return found;
}

LimitedConnection* ConnectionLimiter::FindLeastProgress(bool large_only,
                                                        absl::Time now) const {
  LimitedConnection* found = nullptr;
  std::tuple<double, std::uint64_t> least;
  for (const auto& [connection, entry] : entries_) {
    if (!CanFreeBytes(entry.usage)) continue;
    if (large_only && !IsLarge(entry.usage)) continue;
    const std::tuple rank(ProgressShare(entry, now), entry.number);
    if (found != nullptr && least <= rank) continue;
    found = connection;
    least = rank;
  }
  return found;
}

bool ConnectionLimiter::ExceedsBytes(
    const LimitedConnection* connection) const {
  const auto it = entries_.find(connection);
  const bool is_large = it != entries_.end() && IsLarge(it->second.usage);
  return bytes_ > options_.max_bytes ||
         (is_large && large_bytes_ > MaxLargeBytes());
}

bool ConnectionLimiter::IsNearlyFull() const {
  return static_cast<double>(bytes_) >
         kNearlyFullShare * static_cast<double>(options_.max_bytes);
}

}  // namespace wisteriareel
