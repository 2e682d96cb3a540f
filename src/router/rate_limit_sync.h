#ifndef WISTERIAREEL_SRC_ROUTER_RATE_LIMIT_SYNC_H_
#define WISTERIAREEL_SRC_ROUTER_RATE_LIMIT_SYNC_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/target_rate_limits.h"
#include "src/router/scheduler.h"
#include "wisteriareel/async_table.h"
#include "wisteriareel/event_log.h"

namespace wisteriareel {

struct RateLimitSyncOptions {
  // Minimum time between two reports that differ only in their times.
  absl::Duration refresh_interval = absl::Seconds(3);
};

// The pointers must outlive the RateLimitSync.
struct RateLimitSyncDependencies {
  TargetRateLimits* limits = nullptr;
  AsyncTable* table = nullptr;
  Scheduler* scheduler = nullptr;
  EventLog* log = nullptr;
};

// Serializes notices in a bounded number of bytes, without blanks. Skips a
// notice whose names hold separators.
std::string EncodeRateLimitNotices(const std::vector<RateLimitNotice>& notices);

// Parses the result of EncodeRateLimitNotices. Skips what is malformed.
std::vector<RateLimitNotice> DecodeRateLimitNotices(const std::string& text);

// Converts between the TargetRateLimits of this instance and the reports that
// instances write beside their heartbeats. Opens no connections. Not
// thread-safe.
class RateLimitSync {
 public:
  RateLimitSync(RateLimitSyncOptions options,
                const RateLimitSyncDependencies& dependencies);

  // Returns the report that this instance's row should hold; empty if there is
  // nothing to report.
  const std::string& GetReport();

  // Applies the report of another instance.
  void ApplyReport(const std::string& instance, const std::string& report);

  // Applies the names of the live instances, including this one. `confirmed` is
  // false while the heartbeats of this instance aren't acknowledged.
  void ApplyInstances(const std::vector<std::string>& names, bool confirmed);

 private:
  void UpdateEpoch();

  const RateLimitSyncOptions options_;
  const RateLimitSyncDependencies dependencies_;
  std::vector<RateLimitNotice> reported_;
  std::string report_;
  absl::Time reported_at_ = absl::InfinitePast();
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_RATE_LIMIT_SYNC_H_
