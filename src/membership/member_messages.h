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

// A member that the sender of a heartbeat takes for suspect or dead.
struct SuspectedMember {
  InstanceId id;
  // The last incarnation known to the sender; zero if none.
  std::uint64_t incarnation = 0;

  friend bool operator==(const SuspectedMember&,
                         const SuspectedMember&) = default;
};

// Location and address of the sender, for a receiver that may not know it yet.
struct Introduction {
  RegionId region;
  ZoneId zone;
  Endpoint endpoint;

  friend bool operator==(const Introduction&, const Introduction&) = default;
};

// Sent periodically to all members of the zone. Carries the sender's
// incarnation and revision, and members that the sender takes for suspect or
// dead.
struct Heartbeat {
  std::uint64_t incarnation = 0;
  // Increases with each heartbeat.
  std::uint64_t sequence = 0;
  // Revision in force at the sender.
  Revision revision;
  std::vector<SuspectedMember> suspected;
  std::optional<Introduction> introduction;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

// A member that lags behind the newest revision of its zone.
struct LaggingMember {
  InstanceId id;
  Revision revision;

  friend bool operator==(const LaggingMember&, const LaggingMember&) = default;
};

// Summary of the sender's zone, sent to another zone.
struct ZoneDigest {
  ZoneId zone;
  // Revision in force at the sender.
  Revision revision;
  // Highest and lowest revision among the zone's live members.
  Revision highest;
  Revision lowest;
  std::vector<LaggingMember> lagging;
  // Listed members that the sender takes for dead.
  std::vector<InstanceId> dead;
  // Requests the digest of the receiver's zone in reply.
  bool reply_wanted = false;

  friend bool operator==(const ZoneDigest&, const ZoneDigest&) = default;
};

// Reports that a target is leaving.
struct TargetLeavingNotice {
  TargetId target;
  // Time since the sender first learned of it.
  absl::Duration age;

  friend bool operator==(const TargetLeavingNotice&,
                         const TargetLeavingNotice&) = default;
};

using MemberMessage = std::variant<Heartbeat, ZoneDigest, TargetLeavingNotice>;

PeerMessage EncodeMemberMessage(const MemberMessage& message);

// Returns nullopt for other kinds of messages and for a malformed payload.
std::optional<MemberMessage> DecodeMemberMessage(const PeerMessage& message);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_MEMBERSHIP_MEMBER_MESSAGES_H_
