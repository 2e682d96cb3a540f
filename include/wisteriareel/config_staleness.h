#ifndef WISTERIAREEL_CONFIG_STALENESS_H_
#define WISTERIAREEL_CONFIG_STALENESS_H_

#include <string_view>

#include "absl/time/time.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Maximum age of a configuration, since it was last confirmed up to date, at
// which its idempotency rules still permit a retry. Several times the interval
// between two table reads of any instance.
inline constexpr absl::Duration kIdempotencyRuleMaxAge = absl::Seconds(90);

// Returns whether this instance may retry a call that may have run. A
// partitioned instance continues to serve idempotent calls but makes a single
// attempt, because the rule may have been withdrawn in the meantime.
inline bool MayRetry(const ConfigView& config, const PoolId& pool,
                     std::string_view method, std::string_view path,
                     absl::Time now) {
  if (now - config.ConfirmedAt() > kIdempotencyRuleMaxAge) return false;
  return config.Current()->IsIdempotent(pool, method, path);
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_STALENESS_H_
