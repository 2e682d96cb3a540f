#ifndef WISTERIAREEL_SRC_FORWARD_BODY_DEADLINE_H_
#define WISTERIAREEL_SRC_FORWARD_BODY_DEADLINE_H_

#include <cstddef>

#include "absl/time/time.h"

namespace wisteriareel {

// A body that is being received.
struct BodyProgress {
  absl::Time began;
  // Bytes received since then.
  std::size_t received = 0;

  friend bool operator==(const BodyProgress&, const BodyProgress&) = default;
};

// Returns when more of the body must have arrived, if the last bytes arrived at
// `now`. Progress restarts `timeout`, but the body as a whole has a least rate:
// a byte now and then doesn't keep it open for good.
absl::Time GetBodyDeadline(const BodyProgress& progress, absl::Duration timeout,
                           absl::Time now);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_BODY_DEADLINE_H_
