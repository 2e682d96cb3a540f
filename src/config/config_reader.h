#ifndef WISTERIAREEL_SRC_CONFIG_CONFIG_READER_H_
#define WISTERIAREEL_SRC_CONFIG_CONFIG_READER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "src/config/config_codec.h"
#include "wisteriareel/config_delta.h"
#include "wisteriareel/config_immutable_snapshot.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Returns the configuration at `head`, assembled from `entries`, which may be
// of different older revisions, and `deltas`, in order and up to `head`.
// Returns null if the digest of the result differs from that of `head`, which
// means that a change is missing.
std::shared_ptr<const ImmutableConfigSnapshot> AssembleSnapshot(
    const std::vector<VersionedEntry>& entries,
    const std::vector<ConfigDelta>& deltas, const ConfigHead& head);

// Reads the configuration from the table service. Not thread-safe. A call makes
// one or more requests and blocks up to `timeout` for each of them.
class ConfigReader {
 public:
  // Rows per read and per scan.
  static constexpr int kDeltaBatch = 64;
  static constexpr int kScanBatch = 1000;

  // The arguments are not owned and must outlive the reader.
  ConfigReader(TableService* table, Counters* counters);

  // Returns the newest revision; revision zero if no order was accepted yet.
  std::optional<ConfigHead> ReadHead(absl::Duration timeout,
                                     LastReason* reason);

  // Returns the deltas in (after, until], or nullopt with kRevisionStale if
  // some of them were trimmed from the log. Reads log rows by key, because
  // these reads are linearizable; a scan may lag and leave gaps.
  std::optional<std::vector<ConfigDelta>> ReadDeltas(Revision after,
                                                     Revision until,
                                                     absl::Duration timeout,
                                                     LastReason* reason);

  // Returns the complete configuration: a scan of the entries with the newest
  // deltas replayed on top. If the scan lags further than the replayed deltas
  // reach, the digest differs: returns null with kRevisionStale, and the next
  // call replays more deltas.
  std::shared_ptr<const ImmutableConfigSnapshot> ReadSnapshot(
      absl::Duration timeout, LastReason* reason);

 private:
  // Returns the longest run of deltas in (after, until] without a gap that ends
  // at `until`; older ones may have been trimmed.
  std::optional<std::vector<ConfigDelta>> ReadNewestDeltas(
      Revision after, Revision until, absl::Duration timeout,
      LastReason* reason);
  std::optional<std::vector<VersionedEntry>> ScanEntries(absl::Duration timeout,
                                                         LastReason* reason);

  TableService* const table_;
  Counters* const counters_;
  // Maximum assumed lag of a scan, in revisions.
  std::uint64_t scan_lag_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_CONFIG_READER_H_
