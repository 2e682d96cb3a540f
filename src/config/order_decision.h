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

// The rows that determine the outcome of a change order, from one read.
struct OrderRows {
  ConfigHead head;
  std::uint64_t head_version = 0;
  std::optional<OrderRecord> record;
  // One element per change, in the sequence of the order; version zero for an
  // absent row.
  std::vector<std::optional<VersionedEntry>> entries;
  std::vector<std::uint64_t> entry_versions;

  friend bool operator==(const OrderRows&, const OrderRows&) = default;
};

// Returns the keys of the rows that determine the outcome of `order`.
std::vector<RowKey> OrderRowKeys(const ChangeOrder& order);

// Decodes the rows that were read for `order`. Returns nullopt if one is
// malformed.
std::optional<OrderRows> ParseOrderRows(const ChangeOrder& order,
                                        const std::vector<Row>& rows);

// Validates the order on its own, without reference to stored entries. Returns
// false with a reason if an identifier is missing, a key is changed twice, or a
// value is invalid or does not match its key.
bool IsWellFormed(const ChangeOrder& order, LastReason* reason);

// Returns false with kConflict, and a detail with the current version, if an
// entry is not at the version that the order expects.
bool VersionsMatch(const ChangeOrder& order, const OrderRows& rows,
                   LastReason* reason);

// Returns the delta that `order` produces on top of `rows`.
ConfigDelta MakeDelta(const ChangeOrder& order, const OrderRows& rows);

// Returns the transaction that commits `delta`. It is conditional on the
// version of the head row, so at most one transaction per revision takes
// effect.
Transaction MakeTransaction(const ChangeOrder& order, const OrderRows& rows,
                            const ConfigDelta& delta);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_ORDER_DECISION_H_
