#ifndef WISTERIAREEL_COUNTERS_H_
#define WISTERIAREEL_COUNTERS_H_

#include <cstdint>
#include <string_view>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"

namespace wisteriareel {

// Durations that are recorded as histograms.
enum class Timing : std::uint8_t {
  kRequest,
  kFirstToken,
  kInterToken,
  kAddedPerRequest,
  kClaimCommit,
  kTableCommit,
  kConfigLag,
};

// Quantities that never decrease.
enum class Counter : std::uint8_t {
  kRequests,
  kAnswersWhole,
  kTokensBilled,
  kTokensWrittenOff,
  kPeerMessagesSent,
  kPeerBytesSent,
  kPeerFramesRefused,
  kTableReads,
  kTableWrites,
  kCallersRefused,
  kConfigChangesApplied,
  kPeerMessagesDropped,
  kPlacementsAvoidingLimits,
};

// Receives the metrics of all components. Thread-safe, and cheap enough for the
// request path.
class Counters {
 public:
  virtual ~Counters() = default;

  // Counts a request that was refused for `reason`.
  virtual void Refused(Reason reason) = 0;
  // Counts an attempt that was retried because of `reason`.
  virtual void Retried(Reason reason) = 0;
  virtual void Add(Counter counter, std::uint64_t amount) = 0;
  virtual void Record(Timing timing, absl::Duration duration) = 0;
};

// Returns an implementation that discards everything. Never null; not owned by
// the caller.
Counters* DiscardCounters();

}  // namespace wisteriareel

#endif  // WISTERIAREEL_COUNTERS_H_
