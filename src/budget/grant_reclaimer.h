#ifndef WISTERIAREEL_BUDGET_GRANT_RECLAIMER_H_
#define WISTERIAREEL_BUDGET_GRANT_RECLAIMER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/budget/budget_rows.h"
#include "src/budget/grant_manager_options.h"
#include "src/budget/store_record_reader.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

inline constexpr absl::Duration kDefaultReclaimInterval = absl::Seconds(30);
inline constexpr absl::Duration kDefaultReclaimSlack = absl::Seconds(10);

// Options of a GrantReclaimer.
struct GrantReclaimerOptions {
  // Max relative difference of the rates of two instances' clocks.
  double clock_rate_margin = kDefaultClockRateMargin;
  // Additional wait after a lease and its clock rate margin have passed.
  absl::Duration slack = kDefaultReclaimSlack;
  // How often all holders are checked.
  absl::Duration interval = kDefaultReclaimInterval;
  // Timeout of one call of the platform.
  absl::Duration timeout = kDefaultBudgetTableTimeout;
};

// Writes off the grants of failed holders. A holder is considered failed when
// its row has not changed for the duration of its lease by this instance's
// clock; by its own clock, the holder has then already stopped spending. The
// tokens billed in its records are settled. The rest is written off, because it
// may have been spent. Rows of holders that have accounted for all tokens are
// removed. Not thread-safe. Run as a singleton task; concurrent reclaimers are
// harmless, because every write is conditional.
class GrantReclaimer {
 public:
  // The pointers must outlive the reclaimer.
  GrantReclaimer(const GrantReclaimerOptions& options, TableService* table,
                 ObjectStore* store, Counters* counters = DiscardCounters(),
                 EventLog* events = DiscardEvents());

  // Checks all holders once. Returns how long to wait before the next step.
  absl::Duration ReclaimStep(absl::Time now);

 private:
  struct Observation {
    std::uint64_t version = 0;
    absl::Time first_seen;
    // No work is left while the row has this version.
    bool done = false;
  };
  struct VersionedGrantRow {
    BudgetId budget;
    GrantRow row;
    std::uint64_t version = 0;
  };

  void CheckHolder(const Row& row, absl::Time now);
  void MarkReclaimed(const std::string& holder, const HolderRow& row,
                     std::uint64_t version);
  bool WriteOff(const std::string& holder, const HolderRow& row);
  bool WriteOffGrant(const std::string& holder, const VersionedGrantRow& grant,
                     const HolderRecords& records);
  bool RemoveRows(const std::string& holder, std::uint64_t version,
                  const std::vector<VersionedGrantRow>& grants);
  std::optional<std::vector<VersionedGrantRow>> ReadGrants(
      const std::string& holder, const HolderRow& row);

  const GrantReclaimerOptions options_;
  TableService* const table_;
  StoreRecordReader records_;
  Counters* const counters_;
  EventLog* const events_;
  absl::flat_hash_map<std::string, Observation> observed_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_GRANT_RECLAIMER_H_
