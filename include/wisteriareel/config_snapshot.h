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

// The configuration at one revision. Immutable and thread-safe. Returned
// pointers stay valid as long as the snapshot; Find functions return null if
// there is no such entry.
class ConfigSnapshot {
 public:
  virtual ~ConfigSnapshot() = default;

  virtual Revision revision() const = 0;
  virtual const Customer* FindCustomer(const CustomerId& id) const = 0;
  // Returns the key whose secret has the SHA-256 `hash`, in lower-case
  // hexadecimal digits.
  virtual const ApiKey* FindKeyByHash(const std::string& hash) const = 0;
  virtual const Budget* FindBudget(const BudgetId& id) const = 0;
  virtual const Pool* FindPool(const PoolId& id) const = 0;
  virtual const Pool* FindPoolForModel(const ModelName& model) const = 0;
  // Returns the service pool whose path prefix is the longest match for `path`.
  virtual const Pool* FindPoolForPath(std::string_view path) const = 0;
  virtual const Target* FindTarget(const TargetId& id) const = 0;
  virtual const PoolPlan* FindPlan(const PoolId& pool) const = 0;
  // Returns the targets of `pool` in order of id.
  virtual const std::vector<const Target*>& TargetsOf(
      const PoolId& pool) const = 0;
  // Returns whether the operators' rules declare the request idempotent;
  // false if no rule matches.
  virtual bool IsIdempotent(const PoolId& pool, std::string_view method,
                            std::string_view path) const = 0;
  // Calls `visit` for each entry of `kind` with id > `after`, in order of id,
  // until it returns false.
  virtual void Visit(
      ConfigKind kind, const std::string& after,
      const std::function<bool(const ConfigValue&)>& visit) const = 0;
};

// Provides the newest configuration to the request path. Thread-safe; a read
// costs the load of one shared pointer.
class ConfigView {
 public:
  virtual ~ConfigView() = default;

  // Returns the newest snapshot applied at this instance. Never null; its
  // revision is zero until a configuration has been loaded.
  virtual std::shared_ptr<const ConfigSnapshot> Current() const = 0;

  // Returns the last time, by this instance's clock, at which the snapshot was
  // known to be up to date. InfinitePast if never.
  virtual absl::Time ConfirmedAt() const = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_SNAPSHOT_H_
