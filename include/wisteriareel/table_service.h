#ifndef WISTERIAREEL_TABLE_SERVICE_H_
#define WISTERIAREEL_TABLE_SERVICE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"

namespace wisteriareel {

// Key of a row: a table and a key within it. Keys are ordered bytewise.
struct RowKey {
  std::string table;
  std::string key;

  friend bool operator==(const RowKey&, const RowKey&) = default;
  friend auto operator<=>(const RowKey&, const RowKey&) = default;
};

// A row as read. `version` increases with each write of the row and is never
// zero.
struct Row {
  RowKey key;
  std::string value;
  std::uint64_t version = 0;

  friend bool operator==(const Row&, const Row&) = default;
};

// Requires a row to be at `version`, or to be absent if `version` is zero.
struct RowCondition {
  RowKey key;
  std::uint64_t version = 0;

  friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

// Writes `value`, or deletes the row if `value` is unset.
struct RowWrite {
  RowKey key;
  std::optional<std::string> value;

  friend bool operator==(const RowWrite&, const RowWrite&) = default;
};

// Writes that are applied atomically if all conditions hold.
struct Transaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;

  friend bool operator==(const Transaction&, const Transaction&) = default;
};

// Outcome of a transaction.
enum class CommitOutcome : std::uint8_t {
  kCommitted,  // All writes took effect.
  kConflict,   // A condition failed; nothing took effect.
  kRejected,   // Refused before it was applied; nothing took effect.
  kUnknown,    // No reply; the writes may have taken effect, or may still do so
               // until the deadline.
};

// The platform's transactional table. Thread-safe. Calls block for at most
// their timeout. Calls may fail, stall, or lose the reply after the write took
// effect.
class TableService {
 public:
  virtual ~TableService() = default;

  // Commits the transaction, without a retry.
  virtual CommitOutcome Commit(const Transaction& transaction,
                               absl::Duration timeout) = 0;

  // Returns the rows among `keys` that exist, or nullopt with a reason if the
  // read failed. Reads are linearizable with commits.
  virtual std::optional<std::vector<Row>> Read(const std::vector<RowKey>& keys,
                                               absl::Duration timeout,
                                               LastReason* reason) = 0;

  // Returns up to `limit` rows of `table` with key > `after`, in key order.
  // The result may lag behind commits.
  virtual std::optional<std::vector<Row>> Scan(const std::string& table,
                                               const std::string& after,
                                               int limit,
                                               absl::Duration timeout,
                                               LastReason* reason) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TABLE_SERVICE_H_
