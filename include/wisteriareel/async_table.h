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

// Names a row of a table whose rows are grouped in parts. Writes of one part
// are ordered one after another; parts don't wait for each other.
struct PartitionRowKey {
  std::string table;
  std::string partition;
  std::string key;

  friend bool operator==(const PartitionRowKey&,
                         const PartitionRowKey&) = default;
  friend auto operator<=>(const PartitionRowKey&,
                          const PartitionRowKey&) = default;
};

// A row as read. `version` is never zero, unless the row is absent.
struct PartitionRow {
  PartitionRowKey key;
  std::string value;
  std::uint64_t version = 0;
  // The row was deleted; only in changes.
  bool deleted = false;

  friend bool operator==(const PartitionRow&, const PartitionRow&) = default;
};

// Writes `value`, or deletes the row if there is none.
struct PartitionRowWrite {
  PartitionRowKey key;
  std::optional<std::string> value;

  friend bool operator==(const PartitionRowWrite&,
                         const PartitionRowWrite&) = default;
};

// Requires a row to be at `version`; zero requires it to be absent.
struct PartitionRowCondition {
  PartitionRowKey key;
  std::uint64_t version = 0;

  friend bool operator==(const PartitionRowCondition&,
                         const PartitionRowCondition&) = default;
};

// Rows of one part that are written together if all conditions hold.
struct PartitionTransaction {
  std::vector<PartitionRowCondition> conditions;
  std::vector<PartitionRowWrite> writes;

  friend bool operator==(const PartitionTransaction&,
                         const PartitionTransaction&) = default;
};

// A moment of the platform's clock, which runs steadily and is the same for
// all instances, and what this instance's clock showed then at the latest.
struct TableContact {
  std::int64_t platform_ms = 0;
  // When the call was sent that the platform answered.
  absl::Time sent;

  friend bool operator==(const TableContact&, const TableContact&) = default;
};

struct CommitReply {
  CommitOutcome outcome = CommitOutcome::kUnknown;
  // Version of the rows written, if committed.
  std::uint64_t version = 0;
  // The rows of the conditions as they are, if they conflicted. Absent rows
  // are left out.
  std::vector<PartitionRow> current;
  // The platform's clock, if the reply told it.
  std::optional<std::int64_t> platform_ms;
};

// Rows as of one moment.
struct RowsReply {
  std::vector<PartitionRow> rows;
  // Newest version of the whole table service at that moment.
  std::uint64_t version = 0;
  // The platform's clock, if the reply told it.
  std::optional<std::int64_t> platform_ms;
};

// What became of waiting for changes.
enum class PollOutcome : std::uint8_t {
  // The reply holds what changed, which may be nothing.
  kChanges,
  // The history asked for is gone; read the rows instead.
  kHistoryLost,
  kFailed,
};

struct PollReply {
  PollOutcome outcome = PollOutcome::kFailed;
  RowsReply changes;
};

// The platform's table, called without blocking. Each callback runs once, on
// the thread that runs all others, and never from within the call. A call
// that gets no answer in time ends with kUnknown, nullopt or kFailed.
class AsyncTable {
 public:
  using CommitDone = std::function<void(CommitReply)>;
  using ReadDone =
      std::function<void(std::optional<RowsReply>, const LastReason&)>;
  using PollDone = std::function<void(PollReply, const LastReason&)>;

  virtual ~AsyncTable() = default;

  // Returns the last answer of the platform, if there was any.
  virtual std::optional<TableContact> LastContact() const = 0;

  virtual void Commit(const PartitionTransaction& transaction,
                      CommitDone done) = 0;

  // Reads all rows of a part of `table`.
  virtual void Read(const std::string& table, const std::string& partition,
                    ReadDone done) = 0;

  // Waits up to `wait` for rows of `table` that changed after `version`.
  virtual void PollChanges(const std::string& table, std::uint64_t version,
                           absl::Duration wait, PollDone done) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_ASYNC_TABLE_H_
