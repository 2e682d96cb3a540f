#ifndef WISTERIAREEL_CONFIG_STORE_H_
#define WISTERIAREEL_CONFIG_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/table_service.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Writes or removes one entry. The change is refused as a conflict unless the
// entry is at `expected_version`; zero requires that the entry does not exist,
// nullopt accepts any version.
struct ConfigChange {
  ConfigKey key;
  std::optional<ConfigValue> value;
  std::optional<std::uint64_t> expected_version;

  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

// An operator's change order. Applied atomically, and once per order id.
struct ChangeOrder {
  OrderId order;
  std::string operator_name;
  std::vector<ConfigChange> changes;
  // Conditions and writes on rows outside the configuration that are committed
  // in the same transaction.
  Transaction companion;
};

// An accepted change order and the revision that brought it into force.
struct AcceptedOrder {
  Revision revision;
  // True if an earlier attempt with the same order id had been accepted.
  bool repeated = false;

  friend bool operator==(const AcceptedOrder&, const AcceptedOrder&) = default;
};

// An entry's value and version, which is the revision at which it was last
// written. Version zero and no value if the entry does not exist.
struct EntryVersion {
  std::uint64_t version = 0;
  std::optional<ConfigValue> value;
};

// The revision that an instance has in force.
struct RolloutLine {
  InstanceId instance;
  ZoneId zone;
  Revision revision;
  // Age of the report.
  absl::Duration age;

  friend bool operator==(const RolloutLine&, const RolloutLine&) = default;
};

// Accepts operators' change orders. Thread-safe; calls block up to their
// timeout.
class ConfigStore {
 public:
  virtual ~ConfigStore() = default;

  // Commits `order`. Returns nullopt with kConflict (a concurrent order was
  // committed first; the detail names the current version), kRevisionStale, or
  // a platform reason. After kPlatformReplyLost the order may have been
  // accepted; a retry with the same order id returns the outcome.
  virtual std::optional<AcceptedOrder> Apply(const ChangeOrder& order,
                                             absl::Duration timeout,
                                             LastReason* reason) = 0;

  // Reads an entry's current version from the table.
  virtual std::optional<EntryVersion> ReadEntry(const ConfigKey& key,
                                                absl::Duration timeout,
                                                LastReason* reason) = 0;

  // Returns the last known revision of each live instance.
  virtual std::vector<RolloutLine> Rollout() const = 0;

  // Waits until all live instances have `revision` in force or `timeout` has
  // passed. Returns the entries of the instances that lag.
  virtual std::vector<RolloutLine> AwaitRollout(Revision revision,
                                                absl::Duration timeout) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_STORE_H_
