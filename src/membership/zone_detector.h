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
struct Outgoing {
  InstanceId to;
  Endpoint endpoint;
  MemberMessage message;
};

// What changed in this instance's view of a member.
struct MemberChange {
  InstanceId id;
  MemberState state = MemberState::kAlive;

  friend bool operator==(const MemberChange&, const MemberChange&) = default;
};

// Decides which members of one zone are alive, from the platform's list and
// heartbeats. A member that is silent is suspected first, and taken for dead
// only when no other member vouches for it. A member that hears that others
// do not hear it raises its incarnation, without which nobody takes a dead
// member for alive again. Not thread-safe; reads no clock.
class ZoneDetector {
 public:
  // Heartbeats that one instance sends in a second at most; larger zones
  // exchange them less often.
  static constexpr double kHeartbeatsPerSecond = 10;
  static constexpr absl::Duration kShortestInterval = absl::Seconds(1);
  // Shortest pause between two heartbeats when there is a new revision.
  static constexpr absl::Duration kSoonest = absl::Milliseconds(500);
  // Intervals of silence before a member is suspected, and then dead.
  static constexpr int kSuspectIntervals = 3;
  static constexpr int kDeadIntervals = 6;
  // Intervals for which a member counts as vouched for.
  static constexpr int kVouchIntervals = 3;
  // Intervals between two heartbeats to a dead member that is still listed.
  static constexpr std::uint64_t kDeadProbeIntervals = 5;
  // Members named as silent in one heartbeat.
  static constexpr std::size_t kMaxSilent = 32;

  // `self` is this instance at its first incarnation.
  explicit ZoneDetector(Member self);

  // Takes the platform's list; lines of other zones are passed over.
  void OnList(const std::vector<ListedInstance>& listed, absl::Time now,
              std::vector<MemberChange>* changes);

  // Takes a heartbeat from `sender`. Returns true if it says that this
  // instance was taken for silent, which the next Tick refutes.
  bool OnHeartbeat(const InstanceId& sender, const Heartbeat& heartbeat,
                   absl::Time now, std::vector<MemberChange>* changes);

  // Sends heartbeats if they are due and judges who is silent.
  void Tick(Revision revision, absl::Time now, std::vector<Outgoing>* outgoing,
            std::vector<MemberChange>* changes);

  // Returns all members in order of id, this instance included.
  std::vector<Member> Members() const;

  const Member& self() const { return self_; }
  absl::Duration interval() const;

 private:
  struct Peer {
    Member member;
    std::uint64_t sequence = 0;
    // From here on silence counts; later than the last heartbeat if this
    // instance itself stood still.
    absl::Time silent_since = absl::InfinitePast();
    absl::Time vouched = absl::InfinitePast();
    bool listed = false;
    bool listed_leaving = false;
  };

  Peer& AddPeer(const InstanceId& id, const Introduction& at, absl::Time now);
  void HearOfOwnSilence(const Heartbeat& heartbeat);
  void HearOfSilence(const InstanceId& sender, const Heartbeat& heartbeat,
                     absl::Time now);
  void ForgiveOwnPause(absl::Time now);
  void Judge(absl::Time now, std::vector<MemberChange>* changes);
  void SetState(Peer* peer, MemberState state,
                std::vector<MemberChange>* changes);
  MemberState LiveState(const Peer& peer) const;
  Heartbeat MakeHeartbeat() const;

  Member self_;
  std::uint64_t sequence_ = 0;
  bool refute_ = false;
  absl::Time next_heartbeat_ = absl::InfinitePast();
  absl::Time last_heartbeat_ = absl::InfinitePast();
  absl::Time last_tick_ = absl::InfinitePast();
  std::map<InstanceId, Peer> peers_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_MEMBERSHIP_ZONE_DETECTOR_H_
