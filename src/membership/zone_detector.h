#ifndef WISTERIAREEL_SRC_MEMBERSHIP_ZONE_DETECTOR_H_
#define WISTERIAREEL_SRC_MEMBERSHIP_ZONE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/membership/member_messages.h"
#include "wisteriareel/instance_list.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A message to send.
struct OutgoingMessage {
  InstanceId to;
  Endpoint endpoint;
  MemberMessage message;
};

// A change of a member's state, as seen by this instance.
struct MemberChange {
  InstanceId id;
  MemberState state = MemberState::kAlive;

  friend bool operator==(const MemberChange&, const MemberChange&) = default;
};

// Failure detector for the members of one zone, based on the platform's
// instance list and on heartbeats. A member without heartbeats becomes suspect
// first, and dead only if no other member reports it alive. A member that
// learns that others suspect it increments its incarnation to refute them; a
// dead member counts as alive again only at a higher incarnation. Not
// thread-safe; reads no clock.
class ZoneDetector {
 public:
  // Maximum heartbeats that one instance sends per second. In larger zones the
  // interval grows accordingly.
  static constexpr double kHeartbeatsPerSecond = 10;
  static constexpr absl::Duration kMinInterval = absl::Seconds(1);
  // Minimum interval between two heartbeats when there is a new revision.
  static constexpr absl::Duration kMinHeartbeatPause = absl::Milliseconds(500);
  // Heartbeat intervals without a heartbeat after which a member is suspect,
  // and dead.
  static constexpr int kSuspectIntervals = 3;
  static constexpr int kDeadIntervals = 6;
  // Heartbeat intervals for which another member's report that a member is
  // alive counts.
  static constexpr int kAliveReportIntervals = 3;
  // Heartbeat intervals between two heartbeats to a dead member.
  static constexpr std::uint64_t kDeadProbeIntervals = 5;
  // Maximum number of suspected members in one heartbeat.
  static constexpr std::size_t kMaxSuspected = 32;

  // `self` is this instance at its first incarnation.
  explicit ZoneDetector(Member self);

  // Handles the platform's instance list. Ignores entries of other zones.
  void OnList(const std::vector<ListedInstance>& listed, absl::Time now,
              std::vector<MemberChange>* changes);

  // Handles a heartbeat from `sender`. Returns true if a peer suspects this
  // instance, which the next Tick refutes.
  bool OnHeartbeat(const InstanceId& sender, const Heartbeat& heartbeat,
                   absl::Time now, std::vector<MemberChange>* changes);

  // Updates the members' states and appends the heartbeats that are due to
  // `outgoing`.
  void Tick(Revision revision, absl::Time now,
            std::vector<OutgoingMessage>* outgoing,
            std::vector<MemberChange>* changes);

  // Returns all members in order of id, this instance included.
  std::vector<Member> Members() const;

  const Member& self() const { return self_; }

  // Returns the heartbeat interval, which depends on the size of the zone.
  absl::Duration interval() const;

 private:
  struct Peer {
    Member member;
    std::uint64_t sequence = 0;
    // Start of the current period without heartbeats. Later than the last
    // heartbeat if this instance itself was paused.
    absl::Time idle_since = absl::InfinitePast();
    // When another member's heartbeat last showed that the peer is alive.
    absl::Time last_reported_alive = absl::InfinitePast();
    bool listed = false;
    bool listed_leaving = false;
  };

  Peer& AddPeer(const InstanceId& id, const Introduction& introduction,
                absl::Time now);
  void CheckOwnSuspicion(const Heartbeat& heartbeat);
  void RecordAliveReports(const InstanceId& sender, const Heartbeat& heartbeat,
                          absl::Time now);
  void RestartTimeoutsAfterPause(absl::Time now);
  void UpdateStates(absl::Time now, std::vector<MemberChange>* changes);
  void SetState(Peer* peer, MemberState state,
                std::vector<MemberChange>* changes);
  MemberState LiveState(const Peer& peer) const;
  Heartbeat MakeHeartbeat() const;

  Member self_;
  std::uint64_t sequence_ = 0;
  // Whether the next Tick must refute a suspicion of this instance.
  bool refute_ = false;
  absl::Time next_heartbeat_ = absl::InfinitePast();
  absl::Time last_heartbeat_ = absl::InfinitePast();
  absl::Time last_tick_ = absl::InfinitePast();
  std::map<InstanceId, Peer> peers_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_MEMBERSHIP_ZONE_DETECTOR_H_
