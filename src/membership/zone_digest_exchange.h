#ifndef WISTERIAREEL_SRC_MEMBERSHIP_ZONE_DIGEST_EXCHANGE_H_
#define WISTERIAREEL_SRC_MEMBERSHIP_ZONE_DIGEST_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "src/membership/member_messages.h"
#include "src/membership/zone_detector.h"
#include "wisteriareel/config_store.h"
#include "wisteriareel/instance_list.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Exchanges digests between this instance's zone and the others. For each pair
// of zones, the member with the highest rendezvous rank sends its zone's digest
// to the other zone periodically. An instance that waits for a roll-out
// requests the digests of all lagging zones. Not thread-safe; reads no clock.
class ZoneDigestExchange {
 public:
  // Interval between two digests from one zone to another.
  static constexpr absl::Duration kDigestInterval = absl::Seconds(4);
  // Interval between two requests to a zone that lags behind a roll-out.
  static constexpr absl::Duration kReportRequestInterval =
      absl::Milliseconds(500);
  // How long requests continue after the last call of RequestReports.
  static constexpr absl::Duration kReportRequestPeriod = absl::Seconds(15);
  // Members of a zone that receive digests in turn, so that a dead member that
  // is still listed delays the exchange by one interval only.
  static constexpr std::size_t kReceivers = 3;
  // Maximum number of lagging members in one digest.
  static constexpr std::size_t kMaxLagging = 16;

  explicit ZoneDigestExchange(ZoneId zone) : zone_(std::move(zone)) {}

  // Handles the platform's instance list. Ignores entries of this zone.
  void OnList(const std::vector<ListedInstance>& listed);

  // Handles another zone's digest from `sender`.
  void OnDigest(const InstanceId& sender, const ZoneDigest& digest,
                absl::Time now);

  // Requests digests from the other zones until all their members have
  // `revision` in force or kReportRequestPeriod has passed.
  void RequestReports(Revision revision, absl::Time now);

  // Appends the digests and requests that this instance has to send to
  // `outgoing`. `members` are the members of its zone.
  void Tick(const InstanceId& self, const std::vector<Member>& members,
            absl::Time now, std::vector<OutgoingMessage>* outgoing);

  // Returns the members of other zones with which digests are exchanged: the
  // receivers of each zone and the sender of its last digest.
  std::vector<Member> Contacts() const;

  // Returns the other zones.
  std::vector<ZoneId> Zones() const;

  // Returns the member `id` of another zone, or null.
  const Member* Find(const InstanceId& id) const;

  // Appends one entry for each listed member of another zone that its own zone
  // does not take for dead. Members of a zone without a received digest are
  // reported at revision zero.
  void AppendRollout(absl::Time now, std::vector<RolloutLine>* entries) const;

 private:
  struct Zone {
    std::map<InstanceId, Member> members;
    // Members that receive the digests sent to this zone, in turn.
    std::vector<InstanceId> receivers;
    // The last digest received, and its sender.
    ZoneDigest digest;
    InstanceId sender;
    absl::Time last_received = absl::InfinitePast();
    absl::Time last_requested = absl::InfinitePast();
    absl::Time next_digest = absl::InfinitePast();
    std::uint64_t next_receiver = 0;
  };

  std::vector<InstanceId> ReceiversOf(
      const ZoneId& id, const std::map<InstanceId, Member>& members) const;
  static void Send(Zone* zone, const ZoneDigest& digest,
                   std::vector<OutgoingMessage>* outgoing);

  const ZoneId zone_;
  std::map<ZoneId, Zone> zones_;
  Revision requested_revision_;
  absl::Time request_until_ = absl::InfinitePast();
};

// Returns the digest of `zone` with the given members, as seen by `self`.
ZoneDigest MakeDigest(const ZoneId& zone, const InstanceId& self,
                      const std::vector<Member>& members);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_MEMBERSHIP_ZONE_DIGEST_EXCHANGE_H_
