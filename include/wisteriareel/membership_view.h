#ifndef WISTERIAREEL_MEMBERSHIP_VIEW_H_
#define WISTERIAREEL_MEMBERSHIP_VIEW_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeaving };

// What this instance believes of another entry instance.
struct Member {
  InstanceId id;
  RegionId region;
  ZoneId zone;
  Endpoint endpoint;
  // Grows each time the instance restarts.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  Revision revision;
  absl::Time last_received;

  friend bool operator==(const Member&, const Member&) = default;
};

// Read access to the membership. Thread-safe.
class MembershipView {
 public:
  virtual ~MembershipView() = default;

  // Returns the members of this instance's zone, this instance included.
  virtual std::vector<Member> ZoneMembers() const = 0;

  // Returns all members that this instance hears of.
  virtual std::vector<Member> AllMembers() const = 0;

  // Returns the member named `id` if this instance knows its endpoint.
  virtual std::optional<Member> FindMember(const InstanceId& id) const {
    for (const Member& member : AllMembers()) {
      if (member.id == id) return member;
    }
    return std::nullopt;
  }

  // Returns true while the platform's list or a peer says that `target` is
  // leaving.
  virtual bool IsTargetLeaving(const TargetId& target) const = 0;
};

// A duty's lease as this instance holds it.
struct HeldLease {
  FencingNumber fencing;
  // By this instance's clock; the holder stops acting at this time.
  absl::Time expires;

  friend bool operator==(const HeldLease&, const HeldLease&) = default;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_MEMBERSHIP_VIEW_H_
