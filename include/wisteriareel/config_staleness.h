#ifndef WISTERIAREEL_CONFIG_STALENESS_H_
#define WISTERIAREEL_CONFIG_STALENESS_H_

#include <string_view>

#include "absl/time/time.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// How long after it was last known to be up to date a configuration's word
// that a call is idempotent is enough to repeat the call. Several times the
// pause between two reads of the table by any instance.
inline constexpr absl::Duration kIdempotencyRuleMaxAge = absl::Seconds(90);

// Returns whether a call that may have run may be run again by this instance
// on its own account. An instance that is cut off goes on serving idempotent
// calls, but makes one attempt: the rule may have been withdrawn meanwhile.
inline bool MayRetry(const ConfigView& config, const PoolId& pool,
                     std::string_view method, std::string_view path,
                     absl::Time now) {
  if (now - config.ConfirmedAt() > kIdempotencyRuleMaxAge) return false;
  return config.Current()->IsIdempotent(pool, method, path);
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_STALENESS_H_
