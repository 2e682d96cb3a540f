#ifndef WISTERIAREEL_MEMBERSHIP_H_
#define WISTERIAREEL_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/instance_list.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/peer_transport.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/rollout_view.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Tracks which instances are alive, which revisions they have in force and
// which targets are leaving. Step must run on one thread at a time; the other
// members are thread-safe.
class Membership final : public MembershipView,
                         public RolloutView,
                         public PeerReceiver {
 public:
  // Interval between two reads of the platform's instance list by the zone's
  // first instance in rendezvous order, and by any other instance.
  static constexpr absl::Duration kDefaultReaderPoll = absl::Seconds(2);
  static constexpr absl::Duration kDefaultFallbackPoll = absl::Seconds(30);
  static constexpr absl::Duration kDefaultListTimeout = absl::Seconds(1);
  static constexpr absl::Duration kDefaultMaxPause = absl::Milliseconds(250);

  struct Options {
    InstanceId self;
    RegionId region;
    ZoneId zone;
    // Address at which peers connect to this instance.
    Endpoint endpoint;
    // Must increase with each restart. Zero selects the clock's current time
    // in milliseconds since the Unix epoch.
    std::uint64_t incarnation = 0;
    // Initial members until the platform's instance list has been read.
    std::vector<ListedInstance> seeds;
    // The pointers are not owned and must outlive the membership.
    Clock* clock = SystemClock();
    InstanceList* list = nullptr;
    PeerTransport* transport = nullptr;
    const ConfigView* config = nullptr;
    RandomSource* random = nullptr;
    Counters* counters = DiscardCounters();
    EventLog* events = DiscardEvents();
    // Called when Step has work to do at once, so that the caller can run it.
    std::function<void()> wake;
    absl::Duration reader_poll = kDefaultReaderPoll;
    absl::Duration fallback_poll = kDefaultFallbackPoll;
    absl::Duration list_timeout = kDefaultListTimeout;
    absl::Duration max_pause = kDefaultMaxPause;
  };

  explicit Membership(Options options);
  ~Membership() override;

  // Reads the platform's instance list if due, and sends the heartbeats, zone
  // digests and notices that are due. Returns the delay before the next step.
  absl::Duration Step();

  // Records that `target` told this instance that it is leaving, and notifies
  // the zone.
  void ReportTargetLeaving(const TargetId& target);

  // Returns this instance's rank among the candidates for the singleton task
  // `task`, counted from zero, or nullopt if it is not a candidate. Each zone
  // has one candidate, its first live member in rendezvous order. For
  // LeaseManager::Options::rank.
  std::optional<std::size_t> TaskRank(const std::string& task) const;

  std::vector<Member> ZoneMembers() const override;
  std::vector<Member> AllMembers() const override;
  std::optional<Member> FindMember(const InstanceId& id) const override;
  bool IsTargetLeaving(const TargetId& target) const override;

  std::vector<RolloutLine> Lines() const override;
  void RequestReports(Revision revision) override;

  // Accepts kHeartbeat, kZoneDigest and kTargetState.
  void OnPeerMessage(const InstanceId& sender,
                     const PeerMessage& message) override;

 private:
  class State;
  const std::unique_ptr<State> state_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_MEMBERSHIP_H_
