#ifndef WISTERIAREEL_SRC_ROUTER_PEER_CONFIG_FETCHER_H_
#define WISTERIAREEL_SRC_ROUTER_PEER_CONFIG_FETCHER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "src/forward/request_router.h"
#include "src/router/route_config_poller.h"
#include "src/router/scheduler.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct PeerConfigFetcherOptions {
  // Time between two rounds of requests while the platform is unavailable.
  absl::Duration interval = absl::Milliseconds(400);
  absl::Duration timeout = absl::Milliseconds(600);
  // Instances queried per round. The platform may be unavailable to some of
  // them as well.
  int fanout = 2;
};

// Fetches the configuration from other instances while the platform is
// unavailable to this one. Not thread-safe.
class PeerConfigFetcher {
 public:
  // The pointers must outlive the fetcher. `needed` returns whether to fetch,
  // and `peers` returns the instances to choose from.
  PeerConfigFetcher(PeerConfigFetcherOptions options,
                    boost::asio::io_context* io, Scheduler* scheduler,
                    RandomSource* random, RequestRouter* router,
                    RouteConfigPoller* config, std::function<bool()> needed,
                    std::function<std::vector<Endpoint>()> peers);

  void Start();

  // Returns the response to another instance's request for a configuration
  // newer than `revision`. `own_fresh` tells whether this instance's
  // configuration is confirmed.
  static std::string MakeConfigResponse(Revision revision,
                                        const RequestRouter& router,
                                        const std::string* text,
                                        bool own_fresh);

 private:
  void RunRound();
  void RequestConfig(const Endpoint& peer);
  void ApplyPeerResponse(const std::string& body);

  const PeerConfigFetcherOptions options_;
  boost::asio::io_context* const io_;
  Scheduler* const scheduler_;
  RandomSource* const random_;
  RequestRouter* const router_;
  RouteConfigPoller* const config_;
  const std::function<bool()> needed_;
  const std::function<std::vector<Endpoint>()> peers_;
};

// Path of the request for the configuration, followed by the revision.
inline constexpr char kPeerConfigPath[] = "/peer/config?after=";

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_PEER_CONFIG_FETCHER_H_
