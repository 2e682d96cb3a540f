#ifndef WISTERIAREEL_TARGET_ORDER_CLIENT_H_
#define WISTERIAREEL_TARGET_ORDER_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

enum class TargetOrderKind : std::uint8_t {
  kUnloadModel,
  kUnloadAdapter,
  kSetVersion,
  kLoadModel,
  kLoadAdapter,
  kSetRole,
};

// Returns whether the order makes a target read from the weight store.
constexpr bool ReadsWeights(TargetOrderKind kind) {
  return kind == TargetOrderKind::kSetVersion ||
         kind == TargetOrderKind::kLoadModel ||
         kind == TargetOrderKind::kLoadAdapter;
}

// An order to one target. Carrying it out twice has the effect of once.
struct TargetOrder {
  TargetOrderKind kind = TargetOrderKind::kLoadModel;
  // The model, adapter, version or role.
  std::string name;
  FencingNumber fencing;

  friend bool operator==(const TargetOrder&, const TargetOrder&) = default;
};

// What a target's engine reports of itself.
struct TargetEngineState {
  std::vector<ModelName> models;
  std::vector<std::string> adapters;
  std::string version;
  std::string role;

  friend bool operator==(const TargetEngineState&,
                         const TargetEngineState&) = default;
};

// Gives orders to targets. Thread-safe; calls block up to their timeout.
class TargetOrderClient {
 public:
  virtual ~TargetOrderClient() = default;

  // Returns the target's state, or nullopt with a reason.
  virtual std::optional<TargetEngineState> ReadState(const Target& target,
                                                     absl::Duration timeout,
                                                     LastReason* reason) = 0;

  // Gives the order. Returns true once the target has accepted it; it may
  // then work on it for long. Returns false with kFencingNumberOld or
  // kWeightStoreBusy if the target refused it. After any other reason it may
  // still take effect, but not later than `timeout` after the call began.
  virtual bool Send(const Target& target, const TargetOrder& order,
                    absl::Duration timeout, LastReason* reason) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TARGET_ORDER_CLIENT_H_
