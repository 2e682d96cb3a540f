#include "src/config/config_rows.h"

#include "absl/strings/str_cat.h"

namespace wisteriareel {

RowKey ConfigHeadRow() { return {kConfigHeadTable, "head"}; }

RowKey ConfigLogRow(Revision revision) {
  return {kConfigLogTable,
          absl::StrCat(absl::Dec(revision.value(), absl::kZeroPad20))};
}

RowKey ConfigOrderRow(const OrderId& order) {
  return {kConfigOrderTable, order.value()};
}

RowKey ConfigEntryRow(const ConfigKey& key) {
  return {kConfigEntryTable,
          absl::StrCat(absl::Dec(static_cast<int>(key.kind), absl::kZeroPad2),
                       "/", key.id)};
}

}  // namespace wisteriareel
