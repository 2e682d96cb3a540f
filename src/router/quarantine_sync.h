#ifndef WISTERIAREEL_SRC_ROUTER_QUARANTINE_SYNC_H_
#define WISTERIAREEL_SRC_ROUTER_QUARANTINE_SYNC_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/prompt_quarantine.h"
#include "src/router/peer_client.h"
#include "src/router/scheduler.h"
#include "wisteriareel/async_table.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct QuarantineSyncOptions {
  InstanceId self;
  // Time that one poll of the table waits for changes.
  absl::Duration poll_wait = absl::Seconds(15);
  // Time between two polls, which bounds their rate while evidence comes in.
  absl::Duration poll_pause = absl::Milliseconds(50);
  // Time after which a failed call of the table is repeated. It doubles with
  // each failure in a row, up to the maximum.
  absl::Duration retry_delay = absl::Milliseconds(300);
  absl::Duration max_retry_delay = absl::Milliseconds(1200);
  // What isn't urgent is published after a random part of this time, and only
  // if it isn't known from another instance by then.
  absl::Duration max_delay = absl::Milliseconds(300);
  // Time for other instances to show that a new quarantine is wrong, until the
  // requests in progress are ended.
  absl::Duration correction_time = absl::Milliseconds(400);
  // Time between two exchanges with another instance while the table is
  // unavailable.
  absl::Duration peer_interval = absl::Milliseconds(400);
  absl::Duration peer_timeout = absl::Milliseconds(600);
};

// The pointers must outlive the QuarantineSync.
struct QuarantineSyncDependencies {
  PromptQuarantine* quarantine = nullptr;
  AsyncTable* table = nullptr;
  PeerClient* peers = nullptr;
  Scheduler* scheduler = nullptr;
  RandomSource* random = nullptr;
  EventLog* log = nullptr;
  // Returns the other instances.
  std::function<std::vector<Endpoint>()> list_peers;
  // Runs after a prompt was quarantined.
  std::function<void()> quarantined;
};

// Serializes evidence, newest crashes first, in at most `max_bytes` bytes.
// Times are milliseconds since `epoch`.
std::string EncodePromptEvidence(const PromptEvidence& evidence,
                                 absl::Time epoch, std::size_t max_bytes);

// Parses the result of EncodePromptEvidence. Skips what is malformed.
PromptEvidence DecodePromptEvidence(const std::string& text, absl::Time epoch);

// Shares the evidence of a PromptQuarantine with the other instances: through
// the platform's table, in which each instance writes one row, and directly
// while the table is unavailable to this instance. The rows also inform
// instances that start later. Not thread-safe.
class QuarantineSync {
 public:
  QuarantineSync(QuarantineSyncOptions options,
                 QuarantineSyncDependencies dependencies);

  void Start();

  // Returns the response to a request of another instance; nullopt if `path`
  // isn't the path of this class.
  std::optional<std::string> HandlePeerRequest(const std::string& path);

 private:
  void OnChanged();
  void HandleChange();
  void ReadRows();
  void PollRows();
  void ApplyRows(const std::vector<PartitionRow>& rows);
  void RemoveExpiredRows(const std::vector<PartitionRow>& rows);
  void RecordTableFailure();
  void RecordTableSuccess();
  // Returns a random time around the present retry delay.
  absl::Duration NextRetryDelay();
  // Publishes the evidence, unless a write is in progress.
  void Publish();
  void RunPeerRound();
  // Returns the local time of the platform's clock zero.
  std::optional<absl::Time> PlatformEpoch() const;

  const QuarantineSyncOptions options_;
  const QuarantineSyncDependencies dependencies_;
  // The last call of the table succeeded.
  bool table_available_ = false;
  absl::Duration retry_delay_;
  // This instance's row of an earlier run was read, and may be replaced.
  bool own_row_read_ = false;
  bool writing_ = false;
  bool change_scheduled_ = false;
  bool publication_scheduled_ = false;
  TableVersion version_;
  std::uint64_t handled_quarantines_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_QUARANTINE_SYNC_H_
