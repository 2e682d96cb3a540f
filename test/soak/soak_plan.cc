#include "test/soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace wisteriareel::soak {
namespace {

constexpr std::array<std::pair<FaultKind, std::string_view>, 6> kNames = {{
    {FaultKind::kStop, "stop"},
    {FaultKind::kReload, "reload"},
    {FaultKind::kFreeze, "freeze"},
    {FaultKind::kKill, "kill"},
    {FaultKind::kPauseLog, "log"},
    {FaultKind::kStoreAway, "store"},
}};

// Time that a stop and the start after it take at most.
constexpr absl::Duration kStopTime = absl::Seconds(10);
constexpr std::int64_t kMaxGapMs = 3000;
constexpr std::int64_t kMinDurationMs = 300;
constexpr std::int64_t kMaxDurationMs = 9000;

}  // namespace

std::string_view FaultName(FaultKind kind) {
  for (const auto& [it, name] : kNames) {
    if (it == kind) return name;
  }
  return "unknown";
}

std::optional<FaultKind> ParseFaultName(std::string_view name) {
  for (const auto& [kind, it] : kNames) {
    if (it == name) return kind;
  }
  return std::nullopt;
}

std::vector<PlannedFault> MakePlan(const PlanOptions& options) {
  std::mt19937_64 random(options.seed);
  // Unlike std::uniform_int_distribution, the same with all libraries.
  const auto draw = [&random](std::int64_t low, std::int64_t high) {
    const auto span = static_cast<std::uint64_t>(high - low + 1);
    return low + static_cast<std::int64_t>(random() % span);
  };
  std::vector<PlannedFault> plan;
  std::vector<absl::Duration> stopped_until(
      static_cast<std::size_t>(options.instances));
  for (absl::Duration at = absl::Milliseconds(draw(200, kMaxGapMs));
       at < options.length; at += absl::Milliseconds(draw(0, kMaxGapMs))) {
    const auto count = static_cast<std::int64_t>(options.kinds.size());
    PlannedFault fault{
        .at = at,
        .kind = options.kinds[static_cast<std::size_t>(draw(0, count - 1))],
        .instance = static_cast<int>(draw(0, options.instances - 1)),
        .duration = absl::Milliseconds(draw(kMinDurationMs, kMaxDurationMs))};
    if (fault.kind == FaultKind::kStop) {
      absl::Duration& until =
          stopped_until[static_cast<std::size_t>(fault.instance)];
      if (at < until) continue;
      until = at + kStopTime;
    }
    plan.push_back(fault);
  }
  return plan;
}

}  // namespace wisteriareel::soak
