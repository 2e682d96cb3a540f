#ifndef WISTERIAREEL_SRC_ROUTER_DEPLOYMENT_SOURCE_H_
#define WISTERIAREEL_SRC_ROUTER_DEPLOYMENT_SOURCE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/route_config.h"
#include "src/forward/target_entry.h"
#include "wisteriareel/reason.h"

namespace wisteriareel {

// A configuration with the text it was read from, which other instances can
// read too.
struct ConfigCopy {
  std::shared_ptr<const RouteTable> table;
  std::shared_ptr<const std::string> text;
};

// The operators' configuration as of a position in the platform's history.
struct ConfigReading {
  // Unset if there is none, if it can't be read, or if it didn't change.
  std::optional<ConfigCopy> config;
  std::uint64_t position = 0;
};

// What came of waiting for a change.
struct ConfigChange {
  enum class Outcome : std::uint8_t { kRead, kHistoryLost, kFailed };
  Outcome outcome = Outcome::kFailed;
  ConfigReading reading;
};

// Where the operators' configuration and the list of targets come from.
// Callbacks run once each, never from within the call.
class DeploymentSource {
 public:
  using ConfigDone = std::function<void(std::optional<ConfigReading>)>;
  using ChangeDone = std::function<void(ConfigChange)>;
  using TargetsDone =
      std::function<void(std::optional<std::vector<TargetEntry>>)>;

  virtual ~DeploymentSource() = default;

  // Reads the configuration whole.
  virtual void ReadConfig(ConfigDone done) = 0;

  // Waits up to `wait` for a change after `position`.
  virtual void PollConfig(std::uint64_t position, absl::Duration wait,
                          ChangeDone done) = 0;

  // Lists all targets.
  virtual void ListTargets(TargetsDone done) = 0;

  // Reads a configuration from its text. Returns nullopt with a reason if
  // that can't be done.
  virtual std::optional<ConfigCopy> ParseConfig(const std::string& text,
                                                LastReason* reason) const = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_DEPLOYMENT_SOURCE_H_
