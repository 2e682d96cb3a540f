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

// Returns the configuration at `head` made from `entries`, which may stem
// from different older revisions, and `deltas`, in order and up to `head`.
// Null if the result hasn't the digest of `head`: something was missed.
std::shared_ptr<const ImmutableConfigSnapshot> Assemble(
    const std::vector<VersionedEntry>& entries,
    const std::vector<ConfigDelta>& deltas, const ConfigHead& head);

// Reads the configuration from the table. Not thread-safe; calls block up to
// their timeout.
class ConfigReader {
 public:
  // Rows per read or scan.
  static constexpr int kDeltaBatch = 64;
  static constexpr int kScanBatch = 1000;

  // Neither argument is owned; both must outlive the reader.
  ConfigReader(TableService* table, Counters* counters);

  // Returns the newest revision; zero if there was no order yet.
  std::optional<ConfigHead> ReadHead(absl::Duration timeout,
                                     LastReason* reason);

  // Returns the deltas in (after, until], or nullopt with kRevisionStale if
  // the log no longer holds all of them. Reads log rows by their keys, which
  // are linearizable reads, never by a scan, which could lag and leave gaps.
  std::optional<std::vector<ConfigDelta>> ReadDeltas(Revision after,
                                                     Revision until,
                                                     absl::Duration timeout,
                                                     LastReason* reason);

  // Returns the whole configuration. A scan that lags further than the
  // deltas replayed on top of it shows in the digest: nullopt with
  // kRevisionStale, and the next call replays more.
  std::shared_ptr<const ImmutableConfigSnapshot> ReadSnapshot(
      absl::Duration timeout, LastReason* reason);

 private:
  // Returns those deltas in (after, until] that form an unbroken run up to
  // `until`; older ones may have been trimmed.
  std::optional<std::vector<ConfigDelta>> ReadNewestDeltas(
      Revision after, Revision until, absl::Duration timeout,
      LastReason* reason);
  std::optional<std::vector<VersionedEntry>> ScanEntries(absl::Duration timeout,
                                                         LastReason* reason);

  TableService* const table_;
  Counters* const counters_;
  // Revisions that a scan is assumed to lag at most.
  std::uint64_t scan_lag_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_CONFIG_READER_H_
