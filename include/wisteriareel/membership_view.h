#ifndef WISTERIAREEL_MEMBERSHIP_VIEW_H_
#define WISTERIAREEL_MEMBERSHIP_VIEW_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeaving };

// This instance's view of one entry instance.
struct Member {
  InstanceId id;
  RegionId region;
  ZoneId zone;
  Endpoint endpoint;
  // Increases when the instance restarts, and when it refutes a suspicion.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  // Revision that the instance last reported to have in force.
  Revision revision;
  // When a message from the instance was last received, by this instance's
  // clock. InfinitePast if never.
  absl::Time last_received;

  friend bool operator==(const Member&, const Member&) = default;
};

// Read access to the membership. Thread-safe.
class MembershipView {
 public:
  virtual ~MembershipView() = default;

  // Returns the members of this instance's zone, this instance included.
  virtual std::vector<Member> ZoneMembers() const = 0;

  // Returns the members of this instance's zone, and those members of other
  // zones with which it exchanges zone digests.
  virtual std::vector<Member> AllMembers() const = 0;

  // Returns the member `id`, or nullopt if its endpoint is not known.
  virtual std::optional<Member> FindMember(const InstanceId& id) const {
    for (const Member& member : AllMembers()) {
      if (member.id == id) return member;
    }
    return std::nullopt;
  }

  // Returns whether the platform's instance list, the target itself or a peer
  // has reported `target` as leaving.
  virtual bool IsTargetLeaving(const TargetId& target) const = 0;
};

// The lease of a singleton task, held by this instance.
struct HeldLease {
  FencingNumber fencing;
  // Time, by this instance's clock, at which the holder must stop acting.
  absl::Time expires;

  friend bool operator==(const HeldLease&, const HeldLease&) = default;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_MEMBERSHIP_VIEW_H_
