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

// A change of one row that takes effect only if the row is as expected.
struct RowChange {
  RowKey key;
  // The row's present value; nullopt if it must be absent.
  std::optional<std::string> expected;
  // The row's next value, unlike any that it ever had; nullopt deletes it.
  std::optional<std::string> value;

  friend bool operator==(const RowChange&, const RowChange&) = default;
};

enum class RowChangeOutcome : std::uint8_t {
  kApplied,   // The row is as the change wants it.
  kConflict,  // The row was not as expected; nothing was changed.
  kRejected,  // Not tried; nothing was changed.
  kUnknown,   // May have been changed.
};

struct RowChangeResult {
  RowChangeOutcome outcome = RowChangeOutcome::kRejected;
  // After kConflict: the row as it is, or nullopt if it is absent.
  std::optional<Row> current;
  // A try whose reply was lost may still take effect until then.
  absl::Time uncertain_until = absl::InfinitePast();
};

struct RowBatcherOptions {
  TableService* table = nullptr;
  Clock* clock = SystemClock();
  // Changes in one transaction.
  std::size_t max_batch = 128;
  // Longest wait for one call of the table.
  absl::Duration call_timeout = absl::Seconds(1);
  // Transactions tried for one batch before what is left of it is given up.
  int max_rounds = 8;
};

// Commits the changes of many threads in shared transactions: while one is
// under way, the next batch gathers. A change that conflicts is taken out of
// its batch and does not fail the others; a lost reply is settled by reading
// back. Thread-safe; calls block.
class RowBatcher {
 public:
  explicit RowBatcher(const RowBatcherOptions& options) : options_(options) {}

  RowBatcher(const RowBatcher&) = delete;
  RowBatcher& operator=(const RowBatcher&) = delete;

  // Returns what became of `change`. After `timeout` no further try of it is
  // begun.
  RowChangeResult Apply(const RowChange& change, absl::Duration timeout);

  // Returns how many changes wait for the next transaction.
  std::size_t Waiting() const;

 private:
  struct Pending {
    const RowChange* change = nullptr;
    absl::Time deadline;
    // Tells the waiting thread; guarded by mutex_.
    bool done = false;
    // Needs no further try; used by the leader only, as are those below.
    bool settled = false;
    RowChangeResult result;
    // Version for the condition of the next transaction.
    std::uint64_t version = 0;
  };
  using Batch = std::vector<Pending*>;

  Batch TakeBatch();
  void Settle(Batch batch);
  bool ReadVersions(Batch* batch, bool all);
  void Match(Pending* pending, const std::optional<Row>& row);
  static void Finish(Pending* pending, RowChangeOutcome outcome);
  void DropExpired(Batch* batch);
  CommitOutcome Commit(const Batch& batch);
  static void GiveUp(const Batch& batch);
  static void DropSettled(Batch* batch);

  const RowBatcherOptions options_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Pending*> queue_;
  bool leader_active_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_ROW_BATCHER_H_
