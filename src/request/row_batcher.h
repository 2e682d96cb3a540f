#ifndef WISTERIAREEL_SRC_REQUEST_ROW_BATCHER_H_
#define WISTERIAREEL_SRC_REQUEST_ROW_BATCHER_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// A change to one row that is applied only if the row has the expected value.
struct RowChange {
  RowKey key;
  // Expected value; nullopt if the row must be absent.
  std::optional<std::string> expected;
  // New value, different from all earlier ones of the row; nullopt deletes the
  // row.
  std::optional<std::string> value;

  friend bool operator==(const RowChange&, const RowChange&) = default;
};

enum class RowChangeOutcome : std::uint8_t {
  kApplied,   // The row has the new value.
  kConflict,  // The row did not have the expected value; not changed.
  kRejected,  // Not tried; the row was not changed.
  kUnknown,   // The row may have been changed.
};

struct RowChangeResult {
  RowChangeOutcome outcome = RowChangeOutcome::kRejected;
  // Set after kConflict: the current row, or nullopt if it is absent.
  std::optional<Row> current;
  // A transaction whose reply was lost may take effect until then.
  absl::Time uncertain_until = absl::InfinitePast();
};

struct RowBatcherOptions {
  TableService* table = nullptr;
  Clock* clock = SystemClock();
  // Maximum number of changes in one transaction.
  std::size_t max_batch = 128;
  // Maximum time of one call to the table.
  absl::Duration call_timeout = absl::Seconds(1);
  // Transactions tried for one batch before its remaining changes fail.
  int max_commit_attempts = 8;
};

// Commits the changes of many threads in shared transactions. While a
// transaction is in progress, the changes for the next one are queued. A change
// that conflicts is removed from its batch and does not fail the others. If a
// reply is lost, the outcome is determined by reading the rows. Thread-safe;
// calls block.
class RowBatcher {
 public:
  explicit RowBatcher(const RowBatcherOptions& options) : options_(options) {}

  RowBatcher(const RowBatcher&) = delete;
  RowBatcher& operator=(const RowBatcher&) = delete;

  // Returns the outcome of `change`. No transaction for it is started after
  // `timeout`.
  RowChangeResult Apply(const RowChange& change, absl::Duration timeout);

  // Returns the number of changes queued for the next transaction.
  std::size_t CountWaiting() const;

 private:
  struct Pending {
    const RowChange* change = nullptr;
    absl::Time deadline;
    // Wakes the waiting thread; guarded by mutex_.
    bool done = false;
    // Needs no further transaction. This member and those below are used by the
    // leader only.
    bool resolved = false;
    RowChangeResult result;
    // Row version for the condition of the next transaction.
    std::uint64_t version = 0;
  };
  using Batch = std::vector<Pending*>;

  Batch TakeBatch();
  void ProcessBatch(Batch batch);
  bool ReadVersions(Batch* batch, bool all);
  void MatchRow(Pending* pending, const std::optional<Row>& row);
  static void SetOutcome(Pending* pending, RowChangeOutcome outcome);
  void DropExpired(Batch* batch);
  CommitOutcome CommitBatch(const Batch& batch);
  static void FailBatch(const Batch& batch);
  static void DropResolved(Batch* batch);

  const RowBatcherOptions options_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Pending*> queue_;
  bool leader_active_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_ROW_BATCHER_H_
