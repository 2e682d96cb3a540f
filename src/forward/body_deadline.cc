#include "src/forward/body_deadline.h"

#include <algorithm>

namespace wisteriareel {
namespace {

constexpr double kMinBytesPerSecond = 1024;

}  // namespace

absl::Time GetBodyDeadline(const BodyProgress& progress, absl::Duration timeout,
                           absl::Time now) {
  const absl::Duration allowed = absl::Seconds(
      static_cast<double>(progress.received) / kMinBytesPerSecond);
  return std::min(now + timeout, progress.began + timeout + allowed);
}

}  // namespace wisteriareel
