#ifndef WISTERIAREEL_SRC_CONFIG_ORDER_DECISION_H_
#define WISTERIAREEL_SRC_CONFIG_ORDER_DECISION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "src/config/config_codec.h"
#include "wisteriareel/config_delta.h"
#include "wisteriareel/config_store.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// The rows that decide about one order, read together.
struct OrderRows {
  ConfigHead head;
  std::uint64_t head_version = 0;
  std::optional<OrderRecord> record;
  // One per change, in the order's sequence; version zero if absent.
  std::vector<std::optional<VersionedEntry>> entries;
  std::vector<std::uint64_t> entry_versions;

  friend bool operator==(const OrderRows&, const OrderRows&) = default;
};

// Returns the keys whose rows decide about `order`.
std::vector<RowKey> KeysOf(const ChangeOrder& order);

// Sorts rows as read by what they mean. Returns nullopt if one is malformed.
std::optional<OrderRows> ParseOrderRows(const ChangeOrder& order,
                                        const std::vector<Row>& rows);

// Returns false with a reason if the order breaks a rule that needs no other
// entry: missing identifiers, values that contradict their key or their kind.
bool IsWellFormed(const ChangeOrder& order, LastReason* reason);

// Returns false with kConflict, naming the current version, if an entry is
// not at the version that the order expects.
bool VersionsMatch(const ChangeOrder& order, const OrderRows& rows,
                   LastReason* reason);

// Returns the delta that `order` makes on top of `rows`.
ConfigDelta DeltaOf(const ChangeOrder& order, const OrderRows& rows);

// Returns the transaction that commits `delta`. It can take effect only while
// the head row is as it was read, hence at most once per revision.
Transaction TransactionOf(const ChangeOrder& order, const OrderRows& rows,
                          const ConfigDelta& delta);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_ORDER_DECISION_H_
