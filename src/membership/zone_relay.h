#ifndef WISTERIAREEL_SRC_MEMBERSHIP_ZONE_RELAY_H_
#define WISTERIAREEL_SRC_MEMBERSHIP_ZONE_RELAY_H_

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

// Relates this instance's zone to the others. Of each zone's members the one
// with the best rendezvous rank for a pair of zones sends the other a digest
// now and then; an instance that waits for a roll-out asks all zones for
// theirs. Not thread-safe; reads no clock.
class ZoneRelay {
 public:
  // Pause between two digests from one zone to another.
  static constexpr absl::Duration kDigestInterval = absl::Seconds(4);
  // Pause between two requests to a zone that lags behind a roll-out.
  static constexpr absl::Duration kAskInterval = absl::Milliseconds(500);
  // How long requests go on unless they are asked for again.
  static constexpr absl::Duration kAskPeriod = absl::Seconds(15);
  // Members of a zone that take turns in receiving, so that a dead one that
  // is still listed costs a turn and no more.
  static constexpr std::size_t kReceivers = 3;
  // Lagging members named in one digest.
  static constexpr std::size_t kMaxLagging = 16;

  explicit ZoneRelay(ZoneId zone) : zone_(std::move(zone)) {}

  // Takes the platform's list; lines of this zone are passed over.
  void OnList(const std::vector<ListedInstance>& listed);

  // Takes another zone's digest from `sender`.
  void OnDigest(const InstanceId& sender, const ZoneDigest& digest,
                absl::Time now);

  // Asks zones for digests until their members have `revision`.
  void RequestReports(Revision revision, absl::Time now);

  // Sends the digests that are this instance's to send. `members` are those
  // of its zone.
  void Tick(const InstanceId& self, const std::vector<Member>& members,
            absl::Time now, std::vector<Outgoing>* outgoing);

  // Returns the members of other zones that this zone relates to.
  std::vector<Member> Contacts() const;

  // Returns all other zones.
  std::vector<ZoneId> Zones() const;

  // Returns the member `id` of another zone, or null.
  const Member* Find(const InstanceId& id) const;

  // Appends one line for each listed member of another zone that its own zone
  // does not take for dead. A zone never heard from is at revision zero.
  void AppendLines(absl::Time now, std::vector<RolloutLine>* lines) const;

 private:
  struct Zone {
    std::map<InstanceId, Member> members;
    // Those that receive this zone's digests, in turns.
    std::vector<InstanceId> receivers;
    ZoneDigest digest;
    InstanceId sender;
    absl::Time heard = absl::InfinitePast();
    absl::Time asked = absl::InfinitePast();
    absl::Time next_digest = absl::InfinitePast();
    std::uint64_t turn = 0;
  };

  std::vector<InstanceId> ReceiversOf(
      const ZoneId& id, const std::map<InstanceId, Member>& members) const;
  static void Send(Zone* zone, const ZoneDigest& digest,
                   std::vector<Outgoing>* outgoing);

  const ZoneId zone_;
  std::map<ZoneId, Zone> zones_;
  Revision expected_;
  absl::Time expect_until_ = absl::InfinitePast();
};

// Returns the digest of the zone whose members are `members`.
ZoneDigest MakeDigest(const ZoneId& zone, const InstanceId& self,
                      const std::vector<Member>& members);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_MEMBERSHIP_ZONE_RELAY_H_
