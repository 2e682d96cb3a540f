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
// zone, chosen by rendezvous rank, read the table often and push what is new
// to the others; all others read it seldom, and pull from a peer what they
// missed. Applies only what is newer and follows without a gap.
//
// Step runs on one thread at a time; the other members are thread-safe.
class ConfigFollower final : public PeerReceiver {
 public:
  // Instances per zone that read the table often.
  static constexpr std::size_t kDefaultReaders = 2;
  // Pause between two reads of the table by a reader.
  static constexpr absl::Duration kDefaultReaderPoll = absl::Milliseconds(500);
  // Pause between two reads of the table by any other instance.
  static constexpr absl::Duration kDefaultFallbackPoll = absl::Seconds(30);
  // Pause before the table is tried again after a failure.
  static constexpr absl::Duration kDefaultRetryPoll = absl::Seconds(1);
  // Longest wait for one call of the table.
  static constexpr absl::Duration kDefaultTableTimeout = absl::Seconds(1);
  // Pause between two pulls from peers without an answer.
  static constexpr absl::Duration kDefaultPullRetry = absl::Seconds(1);
  // How long an instance with empty memory asks peers before it reads all
  // entries from the table: one of those that read it often, and any other.
  static constexpr absl::Duration kDefaultReaderPeerTimeout = absl::Seconds(2);
  static constexpr absl::Duration kDefaultPeerTimeout = absl::Seconds(10);
  // Longest pause between two looks at what peers have.
  static constexpr absl::Duration kDefaultMaxPause = absl::Milliseconds(250);
  // Deltas kept in memory for peers.
  static constexpr std::size_t kDefaultRecentDeltas = 1024;
  // Entries in one part of a whole copy for a peer.
  static constexpr std::size_t kDefaultChunkEntries = 256;
  // Messages that wait for Step; further ones are dropped.
  static constexpr std::size_t kDefaultInboxLimit = 1024;

  struct Options {
    InstanceId self;
    ZoneId zone;
    // None is owned; all must outlive the follower.
    Clock* clock = SystemClock();
    TableService* table = nullptr;
    PublishedConfig* config = nullptr;
    MembershipView* membership = nullptr;
    PeerTransport* transport = nullptr;
    RandomSource* random = nullptr;
    Counters* counters = DiscardCounters();
    EventLog* events = DiscardEvents();
    // Called when a message waits for Step; wakes the loop.
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

  // Handles waiting messages, and reads the table or pulls from a peer when
  // that is due. Returns how long to wait before the next step.
  absl::Duration Step();

  // Makes the next step read the table, whatever its turn.
  void RequestTableRead();

  // Takes kRevision, kConfigPull and kConfigDeltas.
  void OnPeerMessage(const InstanceId& sender,
                     const PeerMessage& message) override;

 private:
  class Worker;
  const std::unique_ptr<Worker> worker_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_FOLLOWER_H_
