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

// Returns whether an order of this kind makes a target read from the weight
// store.
constexpr bool ReadsWeights(TargetOrderKind kind) {
  return kind == TargetOrderKind::kSetVersion ||
         kind == TargetOrderKind::kLoadModel ||
         kind == TargetOrderKind::kLoadAdapter;
}

// An idempotent order to one target.
struct TargetOrder {
  TargetOrderKind kind = TargetOrderKind::kLoadModel;
  // Name of the model, adapter, version or role.
  std::string name;
  FencingNumber fencing;

  friend bool operator==(const TargetOrder&, const TargetOrder&) = default;
};

// State that the engine of a target reports.
struct TargetEngineState {
  std::vector<ModelName> models;
  std::vector<std::string> adapters;
  std::string version;
  std::string role;

  friend bool operator==(const TargetEngineState&,
                         const TargetEngineState&) = default;
};

// Sends orders to targets. Thread-safe; calls block up to their timeout.
class TargetOrderClient {
 public:
  virtual ~TargetOrderClient() = default;

  // Returns the state of the target, or nullopt and sets `reason`.
  virtual std::optional<TargetEngineState> ReadState(const Target& target,
                                                     absl::Duration timeout,
                                                     LastReason* reason) = 0;

  // Sends the order. Returns true once the target has accepted it; its
  // execution may take much longer. Returns false with kFencingNumberOld or
  // kWeightStoreBusy if the target refused it. After any other reason the order
  // may still take effect, but no later than `timeout` after the call began.
  virtual bool Send(const Target& target, const TargetOrder& order,
                    absl::Duration timeout, LastReason* reason) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TARGET_ORDER_CLIENT_H_
