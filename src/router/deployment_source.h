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
#include "wisteriareel/async_table.h"
#include "wisteriareel/reason.h"

namespace wisteriareel {

// A configuration and the text it was parsed from. Other instances can parse
// the same text.
struct ParsedConfig {
  std::shared_ptr<const RouteTable> table;
  std::shared_ptr<const std::string> text;
};

// The operators' configuration at a position in the platform's change history.
struct PositionedConfig {
  // Unset if there is none, if it can't be parsed, or if it didn't change.
  std::optional<ParsedConfig> config;
  TableVersion position;
};

// Result of a poll for configuration changes.
struct ConfigPollResult {
  enum class Outcome : std::uint8_t { kRead, kHistoryLost, kFailed };
  Outcome outcome = Outcome::kFailed;
  PositionedConfig snapshot;
};

// Source of the operators' configuration and of the list of targets. Each
// callback runs once, never from within the call.
class DeploymentSource {
 public:
  using ConfigDone = std::function<void(std::optional<PositionedConfig>)>;
  using ConfigPollDone = std::function<void(ConfigPollResult)>;
  using TargetsDone =
      std::function<void(std::optional<std::vector<TargetEntry>>)>;

  virtual ~DeploymentSource() = default;

  // Reads the complete configuration.
  virtual void ReadConfig(ConfigDone done) = 0;

  // Waits up to `wait` for a change after `position`.
  virtual void PollConfig(const TableVersion& position, absl::Duration wait,
                          ConfigPollDone done) = 0;

  virtual void ListTargets(TargetsDone done) = 0;

  // Parses a configuration. Returns nullopt with a reason if `text` is
  // malformed.
  virtual std::optional<ParsedConfig> ParseConfig(const std::string& text,
                                                  LastReason* reason) const = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_DEPLOYMENT_SOURCE_H_
