#ifndef WISTERIAREEL_SRC_RUNTIME_TARGET_LOAD_SOURCE_H_
#define WISTERIAREEL_SRC_RUNTIME_TARGET_LOAD_SOURCE_H_

#include <functional>
#include <optional>

#include "absl/time/time.h"
#include "src/forward/target_entry.h"
#include "src/forward/target_load.h"

namespace wisteriareel {

// Reads the load of model engines.
class TargetLoadSource {
 public:
  using Done = std::function<void(const std::optional<TargetLoad>&)>;

  virtual ~TargetLoadSource() = default;

  // `done` runs once, never from within the call, with nullopt if the target
  // doesn't respond within `timeout` or its response is malformed.
  virtual void ReadLoad(const TargetEntry& target, absl::Duration timeout,
                        Done done) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_TARGET_LOAD_SOURCE_H_
