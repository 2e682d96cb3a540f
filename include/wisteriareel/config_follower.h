#ifndef WISTERIAREEL_CONFIG_FOLLOWER_H_
#define WISTERIAREEL_CONFIG_FOLLOWER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "absl/time/time.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/config_published.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/peer_transport.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/table_service.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Keeps this instance's configuration up to date. A few instances of each
// zone, the readers, are chosen by rendezvous rank: they poll the table often
// and push new deltas to the other instances of their zone. The others poll
// the table rarely and pull missing deltas from a peer. Only a newer snapshot,
// or a delta that continues the current revision without a gap, is applied.
//
// Step must run on one thread at a time; the other members are thread-safe.
class ConfigFollower final : public PeerReceiver {
 public:
  // Readers per zone.
  static constexpr std::size_t kDefaultReaders = 2;
  // Interval between two table reads by a reader.
  static constexpr absl::Duration kDefaultReaderPoll = absl::Milliseconds(500);
  // Interval between two table reads by any other instance.
  static constexpr absl::Duration kDefaultFallbackPoll = absl::Seconds(30);
  // Delay before the next table read after a failed one.
  static constexpr absl::Duration kDefaultRetryPoll = absl::Seconds(1);
  // Timeout of one call of the table service.
  static constexpr absl::Duration kDefaultTableTimeout = absl::Seconds(1);
  // Delay before an unanswered pull from a peer is retried.
  static constexpr absl::Duration kDefaultPullRetry = absl::Seconds(1);
  // How long an instance that has loaded no configuration yet waits for a
  // snapshot from a peer before it reads all entries from the table: a reader,
  // and any other instance.
  static constexpr absl::Duration kDefaultReaderPeerTimeout = absl::Seconds(2);
  static constexpr absl::Duration kDefaultPeerTimeout = absl::Seconds(10);
  // Maximum delay between two steps, and so between two checks of the peers'
  // revisions.
  static constexpr absl::Duration kDefaultMaxPause = absl::Milliseconds(250);
  // Deltas retained in memory for peers.
  static constexpr std::size_t kDefaultRecentDeltas = 1024;
  // Entries in one chunk of a snapshot that is sent to a peer.
  static constexpr std::size_t kDefaultChunkEntries = 256;
  // Maximum number of messages queued for Step; further ones are dropped.
  static constexpr std::size_t kDefaultInboxLimit = 1024;

  struct Options {
    InstanceId self;
    ZoneId zone;
    // The pointers are not owned and must outlive the follower.
    Clock* clock = SystemClock();
    TableService* table = nullptr;
    PublishedConfig* config = nullptr;
    MembershipView* membership = nullptr;
    PeerTransport* transport = nullptr;
    RandomSource* random = nullptr;
    Counters* counters = DiscardCounters();
    EventLog* events = DiscardEvents();
    // Called when a message is queued for Step, so that the caller can run
    // Step at once.
    std::function<void()> wake;
    std::size_t readers = kDefaultReaders;
    absl::Duration reader_poll = kDefaultReaderPoll;
    absl::Duration fallback_poll = kDefaultFallbackPoll;
    absl::Duration retry_poll = kDefaultRetryPoll;
    absl::Duration table_timeout = kDefaultTableTimeout;
    absl::Duration pull_retry = kDefaultPullRetry;
    absl::Duration reader_peer_timeout = kDefaultReaderPeerTimeout;
    absl::Duration peer_timeout = kDefaultPeerTimeout;
    absl::Duration max_pause = kDefaultMaxPause;
    std::size_t recent_deltas = kDefaultRecentDeltas;
    std::size_t chunk_entries = kDefaultChunkEntries;
    std::size_t inbox_limit = kDefaultInboxLimit;
  };

  explicit ConfigFollower(Options options);
  ~ConfigFollower() override;

  // Handles queued messages, and reads the table or pulls from a peer when
  // due. Returns the delay before the next step.
  absl::Duration Step();

  // Makes the next step read the table before its polling interval has passed.
  void RequestTableRead();

  // Accepts kRevision, kConfigPull and kConfigDeltas.
  void OnPeerMessage(const InstanceId& sender,
                     const PeerMessage& message) override;

 private:
  class Worker;
  const std::unique_ptr<Worker> worker_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_FOLLOWER_H_
