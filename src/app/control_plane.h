#ifndef WISTERIAREEL_SRC_APP_CONTROL_PLANE_H_
#define WISTERIAREEL_SRC_APP_CONTROL_PLANE_H_

#include "src/app/shared_dependencies.h"
#include "src/settings/settings.h"
#include "wisteriareel/background_loop.h"
#include "wisteriareel/config_follower.h"
#include "wisteriareel/config_published.h"
#include "wisteriareel/config_table_store.h"
#include "wisteriareel/membership.h"
#include "wisteriareel/peer_dispatcher.h"

namespace wisteriareel {

// Components of a daemon that poll the configuration and track the membership
// of the other instances. Owns their background loops. Thread-safe except for
// Start and Stop.
class ControlPlane {
 public:
  // The arguments must outlive the object. Registers the handlers of membership
  // and configuration messages with `dispatcher`.
  ControlPlane(const Settings& settings, const SharedDependencies& dependencies,
               PeerDispatcher* dispatcher);

  void Start();

  // Stops the loops; the configuration and the membership are no longer
  // updated. Idempotent.
  void Stop();

  // Returns true once this instance has read a configuration.
  bool ConfigLoaded() const;

  PublishedConfig* config() { return &config_; }
  const PublishedConfig& config() const { return config_; }
  TableConfigStore* store() { return &store_; }
  Membership* membership() { return &membership_; }

 private:
  Membership::Options MembershipOptions(const Settings& settings);
  ConfigFollower::Options FollowerOptions(const Settings& settings);
  TableConfigStore::Options StoreOptions();

  const SharedDependencies& dependencies_;
  BackgroundLoop membership_loop_;
  BackgroundLoop follower_loop_;
  PublishedConfig config_;
  Membership membership_;
  ConfigFollower follower_;
  TableConfigStore store_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_APP_CONTROL_PLANE_H_
