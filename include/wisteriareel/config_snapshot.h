#ifndef WISTERIAREEL_CONFIG_SNAPSHOT_H_
#define WISTERIAREEL_CONFIG_SNAPSHOT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// The configuration at one revision. Immutable and thread-safe. Pointers that
// it returns live as long as the snapshot.
class ConfigSnapshot {
 public:
  virtual ~ConfigSnapshot() = default;

  virtual Revision revision() const = 0;
  virtual const Customer* FindCustomer(const CustomerId& id) const = 0;
  // Finds a key by the lower-case hexadecimal SHA-256 of its secret.
  virtual const ApiKey* FindKeyByHash(const std::string& hash) const = 0;
  virtual const Budget* FindBudget(const BudgetId& id) const = 0;
  virtual const Pool* FindPool(const PoolId& id) const = 0;
  virtual const Pool* FindPoolForModel(const ModelName& model) const = 0;
  // Finds the service pool with the longest prefix of `path`.
  virtual const Pool* FindPoolForPath(std::string_view path) const = 0;
  virtual const Target* FindTarget(const TargetId& id) const = 0;
  virtual const PoolPlan* FindPlan(const PoolId& pool) const = 0;
  // Returns the targets of `pool` in order of id.
  virtual const std::vector<const Target*>& TargetsOf(
      const PoolId& pool) const = 0;
  // Returns whether the operators' rules call the request idempotent. False
  // without a matching rule.
  virtual bool IsIdempotent(const PoolId& pool, std::string_view method,
                            std::string_view path) const = 0;
  // Calls `visit` for each entry of `kind` with id > `after`, in order of id,
  // until it returns false.
  virtual void Visit(
      ConfigKind kind, const std::string& after,
      const std::function<bool(const ConfigValue&)>& visit) const = 0;
};

// Gives the request path the newest configuration. Thread-safe; wait-free for
// readers but for the load of one shared pointer.
class ConfigView {
 public:
  virtual ~ConfigView() = default;

  // Returns the newest snapshot applied here. Never null; its revision is
  // zero until something was read.
  virtual std::shared_ptr<const ConfigSnapshot> Current() const = 0;

  // Returns when this instance last knew that it was up to date, by its own
  // clock. InfinitePast if never.
  virtual absl::Time ConfirmedAt() const = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_SNAPSHOT_H_
