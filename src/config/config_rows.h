#ifndef WISTERIAREEL_SRC_CONFIG_CONFIG_ROWS_H_
#define WISTERIAREEL_SRC_CONFIG_CONFIG_ROWS_H_

#include <string>

#include "wisteriareel/config_types.h"
#include "wisteriareel/table_service.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Tables of the configuration. One transaction writes the head row, the log row
// of the revision, the row of the order and the entry rows.
inline constexpr char kConfigHeadTable[] = "config_head";
inline constexpr char kConfigLogTable[] = "config_log";
inline constexpr char kConfigOrderTable[] = "config_order";
inline constexpr char kConfigEntryTable[] = "config_entry";

RowKey ConfigHeadRow();
// Keys are zero-padded so that they sort by revision.
RowKey ConfigLogRow(Revision revision);
RowKey ConfigOrderRow(const OrderId& order);
RowKey ConfigEntryRow(const ConfigKey& key);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_CONFIG_ROWS_H_
