#ifndef WISTERIAREEL_SRC_ROUTER_COMMIT_TIMEOUT_H_
#define WISTERIAREEL_SRC_ROUTER_COMMIT_TIMEOUT_H_

#include <algorithm>

#include "absl/time/time.h"

namespace wisteriareel {

// The time to wait for the reply to a commit. A commit without a reply is sent
// again, so the timeout follows the observed response times: a store that
// slows down must not get every commit twice. Not thread-safe.
class CommitTimeout {
 public:
  absl::Duration Get() const { return timeout_; }

  // Records that a commit ended after `taken`, with or without a reply.
  void Record(absl::Duration taken, bool replied) {
    const absl::Duration timeout =
        replied ? std::max(taken * kFactor, timeout_ * kDecay) : timeout_ * 2;
    timeout_ = std::clamp(timeout, kMin, kMax);
  }

 private:
  static constexpr double kFactor = 6;
  static constexpr double kDecay = 0.8;
  static constexpr absl::Duration kMin = absl::Milliseconds(300);
  static constexpr absl::Duration kMax = absl::Seconds(2);

  absl::Duration timeout_ = kMin;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_COMMIT_TIMEOUT_H_
