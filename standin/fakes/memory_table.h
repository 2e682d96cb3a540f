#ifndef WISTERIAREEL_STANDIN_FAKES_MEMORY_TABLE_H_
#define WISTERIAREEL_STANDIN_FAKES_MEMORY_TABLE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Faults that a MemoryTable simulates until they are replaced.
struct TableFaults {
  // Rejects every call.
  bool outage = false;
  // Commits the next `lose_replies` transactions but reports kUnknown.
  int lose_replies = 0;
  // Drops the next `lose_requests` transactions and reports kUnknown.
  int lose_requests = 0;
  // Scans read the state before this many commits.
  int scan_lag_commits = 0;
};

// In-memory transactional table with configurable faults. Thread-safe.
class MemoryTable final : public TableService {
 public:
  // Replaces the simulated faults.
  void SetFaults(const TableFaults& faults);

  CommitOutcome Commit(const Transaction& transaction,
                       absl::Duration timeout) override;
  std::optional<std::vector<Row>> Read(const std::vector<RowKey>& keys,
                                       absl::Duration timeout,
                                       LastReason* reason) override;
  std::optional<std::vector<Row>> Scan(const std::string& table,
                                       const std::string& after, int limit,
                                       absl::Duration timeout,
                                       LastReason* reason) override;

  // Returns the number of commits tried, successful or not.
  std::uint64_t commits() const;
  // Returns the number of reads and scans served.
  std::uint64_t reads() const;

 private:
  using Rows = std::map<RowKey, Row>;

  bool ConditionsHold(const Transaction& transaction) const;
  void ApplyWrites(const Transaction& transaction);

  mutable std::mutex mutex_;
  TableFaults faults_;
  Rows rows_;
  // Earlier states, newest last; stored only while scans lag.
  std::vector<Rows> history_;
  std::uint64_t next_version_ = 1;
  std::uint64_t commits_ = 0;
  std::uint64_t reads_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_MEMORY_TABLE_H_
