#ifndef WISTERIAREEL_SRC_MEMBERSHIP_MEMBER_MESSAGES_H_
#define WISTERIAREEL_SRC_MEMBERSHIP_MEMBER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/peer_transport.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Names a member whom the sender does not hear.
struct SuspectedMember {
  InstanceId id;
  // The last one that the sender heard of; zero if none.
  std::uint64_t incarnation = 0;

  friend bool operator==(const SuspectedMember&,
                         const SuspectedMember&) = default;
};

// Where a member that the receiver may not know yet can be reached.
struct Introduction {
  RegionId region;
  ZoneId zone;
  Endpoint endpoint;

  friend bool operator==(const Introduction&, const Introduction&) = default;
};

// Says that the sender lives. Sent to all members of the zone.
struct Heartbeat {
  std::uint64_t incarnation = 0;
  // Grows with each heartbeat of an incarnation.
  std::uint64_t sequence = 0;
  // In force at the sender.
  Revision revision;
  std::vector<SuspectedMember> silent;
  std::optional<Introduction> introduction;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

// A member that is behind the newest revision of its zone.
struct LaggingMember {
  InstanceId id;
  Revision revision;

  friend bool operator==(const LaggingMember&, const LaggingMember&) = default;
};

// What the sender knows of its own zone, for another zone.
struct ZoneDigest {
  ZoneId zone;
  // In force at the sender.
  Revision revision;
  Revision highest;
  Revision lowest;
  std::vector<LaggingMember> lagging;
  // Listed members that are taken for dead.
  std::vector<InstanceId> dead;
  // Asks for the receiver's digest in answer.
  bool reply_wanted = false;

  friend bool operator==(const ZoneDigest&, const ZoneDigest&) = default;
};

// Says that a target is leaving.
struct TargetLeavingNotice {
  TargetId target;
  // Since the sender heard of it.
  absl::Duration age;

  friend bool operator==(const TargetLeavingNotice&,
                         const TargetLeavingNotice&) = default;
};

using MemberMessage = std::variant<Heartbeat, ZoneDigest, TargetLeavingNotice>;

PeerMessage EncodeMemberMessage(const MemberMessage& message);

// Returns nullopt for another kind or a malformed payload.
std::optional<MemberMessage> DecodeMemberMessage(const PeerMessage& message);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_MEMBERSHIP_MEMBER_MESSAGES_H_
