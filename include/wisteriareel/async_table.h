#ifndef WISTERIAREEL_ASYNC_TABLE_H_
#define WISTERIAREEL_ASYNC_TABLE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Key of a row in a partitioned table. Writes within a partition are
// serialized; partitions are independent of each other.
struct PartitionRowKey {
  std::string table;
  std::string partition;
  std::string key;

  friend bool operator==(const PartitionRowKey&,
                         const PartitionRowKey&) = default;
  friend auto operator<=>(const PartitionRowKey&,
                          const PartitionRowKey&) = default;
};

// The version of a row, or of the whole table service. Numbers are given out
// again after the table service was restored from an older copy, which begins a
// new era, so they are comparable only within an era.
struct TableVersion {
  // Zero if the table service states no era.
  std::uint64_t era = 0;
  // Zero if the row is absent.
  std::uint64_t number = 0;

  friend bool operator==(const TableVersion&, const TableVersion&) = default;
  friend auto operator<=>(const TableVersion&, const TableVersion&) = default;
};

// A row as read. The number of `version` is zero only if the row is absent.
struct PartitionRow {
  PartitionRowKey key;
  std::string value;
  TableVersion version;
  // The row was deleted. Set only in replies to PollChanges.
  bool deleted = false;

  friend bool operator==(const PartitionRow&, const PartitionRow&) = default;
};

// Writes `value`, or deletes the row if `value` is unset.
struct PartitionRowWrite {
  PartitionRowKey key;
  std::optional<std::string> value;

  friend bool operator==(const PartitionRowWrite&,
                         const PartitionRowWrite&) = default;
};

// Requires a row to be at `version`; the number zero requires it to be absent.
// A condition on a version of an earlier era than AsyncTable::Era never holds.
struct PartitionRowCondition {
  PartitionRowKey key;
  TableVersion version;

  friend bool operator==(const PartitionRowCondition&,
                         const PartitionRowCondition&) = default;
};

// Writes to one partition that are applied atomically if all conditions hold.
struct PartitionTransaction {
  std::vector<PartitionRowCondition> conditions;
  std::vector<PartitionRowWrite> writes;

  friend bool operator==(const PartitionTransaction&,
                         const PartitionTransaction&) = default;
};

// A reading of the platform's clock, which is steady and common to all
// instances, with the local time of the call that returned it.
struct TableContact {
  std::int64_t platform_ms = 0;
  // Local time at which the call was sent. The platform read its clock after
  // this time.
  absl::Time sent;
  // Local time at which the reply arrived. The platform read its clock before
  // this time.
  absl::Time received;

  friend bool operator==(const TableContact&, const TableContact&) = default;
};

struct CommitReply {
  CommitOutcome outcome = CommitOutcome::kUnknown;
  // Version of the written rows, if committed. Stated in the era in which the
  // transaction was sent: a commit by a table service that was restored
  // meanwhile is kUnknown.
  TableVersion version;
  // The era of `current`, if the outcome is a conflict.
  std::uint64_t era = 0;
  // The current rows of the conditions, if the outcome is a conflict. Absent
  // rows are left out.
  std::vector<PartitionRow> current;
  // The platform's clock in milliseconds, if the reply states it.
  std::optional<std::int64_t> platform_ms;
};

// Rows at one version of the table service.
struct RowsReply {
  std::vector<PartitionRow> rows;
  // Newest version of the whole table service when the rows were read.
  TableVersion version;
  // The platform's clock in milliseconds, if the reply states it.
  std::optional<std::int64_t> platform_ms;
};

// Outcome of PollChanges.
enum class PollOutcome : std::uint8_t {
  // The reply holds the changes, if any.
  kChanges,
  // The requested history was discarded, or the version is of an earlier era;
  // read the rows instead.
  kHistoryLost,
  kFailed,
};

struct PollReply {
  PollOutcome outcome = PollOutcome::kFailed;
  RowsReply changes;
};

// Non-blocking client of the platform's table. Each callback runs once, on the
// I/O thread, and never from within the call. A call that times out ends with
// kUnknown, nullopt or kFailed.
class AsyncTable {
 public:
  using CommitDone = std::function<void(CommitReply)>;
  using ReadDone =
      std::function<void(std::optional<RowsReply>, const LastReason&)>;
  using PollDone = std::function<void(PollReply, const LastReason&)>;

  virtual ~AsyncTable() = default;

  // Returns the newest era that a reply has stated, or 0 if none has. It rises
  // when the table service was restored from an older copy: writes that it had
  // acknowledged may be lost.
  virtual std::uint64_t Era() const = 0;

  // Returns the latest reading of the platform's clock, or nullopt if there was
  // none.
  virtual std::optional<TableContact> LastContact() const = 0;

  // Returns the latest reading of the platform's clock by the reply to a
  // commit, or nullopt if there was none. Commits may fail while reads succeed.
  virtual std::optional<TableContact> LastCommitContact() const = 0;

  virtual void Commit(const PartitionTransaction& transaction,
                      CommitDone done) = 0;

  // Reads all rows of one partition of `table`.
  virtual void Read(const std::string& table, const std::string& partition,
                    ReadDone done) = 0;

  // Waits up to `wait` for rows of `table` that changed after `version`.
  virtual void PollChanges(const std::string& table,
                           const TableVersion& version, absl::Duration wait,
                           PollDone done) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_ASYNC_TABLE_H_
