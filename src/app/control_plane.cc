#include "src/app/control_plane.h"

#include "absl/time/time.h"

namespace wisteriareel {

ControlPlane::ControlPlane(const Settings& settings,
                           const SharedDependencies& parts,
                           PeerDispatcher* dispatcher)
    : parts_(parts),
      membership_(MembershipOptions(settings)),
      follower_(FollowerOptions(settings)),
      store_(StoreOptions()) {
  dispatcher->Register(PeerMessageKind::kHeartbeat, &membership_);
  dispatcher->Register(PeerMessageKind::kZoneDigest, &membership_);
  dispatcher->Register(PeerMessageKind::kTargetState, &membership_);
  dispatcher->Register(PeerMessageKind::kRevision, &follower_);
  dispatcher->Register(PeerMessageKind::kConfigPull, &follower_);
  dispatcher->Register(PeerMessageKind::kConfigDeltas, &follower_);
}

Membership::Options ControlPlane::MembershipOptions(const Settings& settings) {
  return {.self = settings.instance.id,
          .region = settings.instance.region,
          .zone = settings.instance.zone,
          .endpoint = settings.listen.peers,
          .clock = parts_.clock,
          .list = parts_.instances,
          .transport = parts_.peers,
          .config = &config_,
          .random = parts_.random,
          .counters = parts_.counters,
          .events = parts_.events,
          .wake = [this] { membership_loop_.Wake(); }};
}

ConfigFollower::Options ControlPlane::FollowerOptions(
    const Settings& settings) {
  return {.self = settings.instance.id,
          .zone = settings.instance.zone,
          .clock = parts_.clock,
          .table = parts_.table,
          .config = &config_,
          .membership = &membership_,
          .transport = parts_.peers,
          .random = parts_.random,
          .counters = parts_.counters,
          .events = parts_.events,
          .wake = [this] { follower_loop_.Wake(); }};
}

TableConfigStore::Options ControlPlane::StoreOptions() {
  return {.clock = parts_.clock,
          .table = parts_.table,
          .rollout = &membership_,
          .counters = parts_.counters,
          .events = parts_.events,
          .on_accepted = [this] {
            follower_.RequestTableRead();
            follower_loop_.Wake();
          }};
}

void ControlPlane::Start() {
  membership_loop_.Start([this] { return membership_.Step(); });
  follower_loop_.Start([this] { return follower_.Step(); });
}

void ControlPlane::Stop() {
  follower_loop_.Stop();
  membership_loop_.Stop();
}

bool ControlPlane::Loaded() const {
  return config_.ConfirmedAt() != absl::InfinitePast();
}

}  // namespace wisteriareel
