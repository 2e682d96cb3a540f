#include "src/app/control_plane.h"

#include "absl/time/time.h"

namespace wisteriareel {

ControlPlane::ControlPlane(const Settings& settings,
                           const SharedDependencies& dependencies,
                           PeerDispatcher* dispatcher)
    : dependencies_(dependencies),
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
          .clock = dependencies_.clock,
          .list = dependencies_.instances,
          .transport = dependencies_.peers,
          .config = &config_,
          .random = dependencies_.random,
          .counters = dependencies_.counters,
          .events = dependencies_.events,
          .wake = [this] { membership_loop_.Wake(); }};
}

ConfigFollower::Options ControlPlane::FollowerOptions(
    const Settings& settings) {
  return {.self = settings.instance.id,
          .zone = settings.instance.zone,
          .clock = dependencies_.clock,
          .table = dependencies_.table,
          .config = &config_,
          .membership = &membership_,
          .transport = dependencies_.peers,
          .random = dependencies_.random,
          .counters = dependencies_.counters,
          .events = dependencies_.events,
          .wake = [this] { follower_loop_.Wake(); }};
}

TableConfigStore::Options ControlPlane::StoreOptions() {
  return {.clock = dependencies_.clock,
          .table = dependencies_.table,
          .rollout = &membership_,
          .counters = dependencies_.counters,
          .events = dependencies_.events,
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

bool ControlPlane::ConfigLoaded() const {
  return config_.ConfirmedAt() != absl::InfinitePast();
}

}  // namespace wisteriareel
