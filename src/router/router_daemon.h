#ifndef WISTERIAREEL_SRC_ROUTER_ROUTER_DAEMON_H_
#define WISTERIAREEL_SRC_ROUTER_ROUTER_DAEMON_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/signal_set.hpp"
#include "src/forward/connection_limiter.h"
#include "src/forward/connection_shares.h"
#include "src/forward/limited_return_schedule.h"
#include "src/forward/prompt_quarantine.h"
#include "src/forward/request_router.h"
#include "src/forward/retry_limiter.h"
#include "src/forward/shutdown_plan.h"
#include "src/forward/target_pool.h"
#include "src/forward/target_rate_limits.h"
#include "src/observability/histogram_counters.h"
#include "src/router/asio_scheduler.h"
#include "src/router/deployment_source.h"
#include "src/router/http_peer_client.h"
#include "src/router/peer_config_fetcher.h"
#include "src/router/quarantine_sync.h"
#include "src/router/rate_limit_sync.h"
#include "src/router/route_config_poller.h"
#include "src/router/router_settings.h"
#include "src/router/target_list_poller.h"
#include "src/router/token_plane.h"
#include "src/runtime/async_http_server.h"
#include "src/runtime/caller_connection.h"
#include "src/runtime/load_probe.h"
#include "src/runtime/message_codec.h"
#include "wisteriareel/async_table.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {

// Clients and codecs for the platform. The pointers must outlive the router.
struct RouterDependencies {
  const MessageCodec* codec = nullptr;
  AsyncTable* table = nullptr;
  DeploymentSource* source = nullptr;
  TargetLoadSource* loads = nullptr;
};

// One router instance: connects the routing logic to sockets, timers and
// signals, on one thread.
class RouterDaemon final : private CallerConnectionOwner,
                           private TokenPlaneOwner {
 public:
  // The pointers must outlive the daemon. `reload` runs on SIGHUP.
  RouterDaemon(RouterSettings settings, const RouterDependencies& platform,
               boost::asio::io_context* io, EventLog* log,
               std::function<void()> reload);
  ~RouterDaemon() override;

  // Returns false with a reason if an address can't be listened on.
  bool Start(LastReason* reason);

  // Serves until a signal starts the shutdown and the requests in flight have
  // ended or the shutdown grace is over.
  void Run();

 private:
  void Accept();
  void AddConnection(boost::asio::ip::tcp::socket socket);
  void WaitForSignal();
  // Logs if it runs much later than at `due`, and schedules the next check.
  void CheckLoop(absl::Time due);
  void BeginShutdown();
  void ContinueShutdown();
  // Answers or closes all connections, then stops. `how` goes to the log.
  void BeginExit(std::string_view how);
  void ContinueExit(std::string_view how);
  // Accepts the connections that the kernel has queued, and stops listening.
  void AcceptQueued();
  void Stop(std::string_view how);
  bool IsReady() const;
  HttpResponse HandleReadyRequest() const;
  HttpResponse HandlePeerRequest(const std::string& target);
  ShutdownProgress GetShutdownProgress() const;
  // Calls `call` for each connection; it may close the connection.
  void ForEachConnection(const std::function<void(CallerConnection*)>& call);
  void OnPromptQuarantined();

  void OnConnectionClosed(CallerConnection* connection) override;
  bool Draining() const override { return shutdown_.IsDraining(); }
  bool AcceptsRequests() const override {
    return !shutdown_.IsClosing(scheduler_.Now());
  }
  bool Accepts(const ArrivingRequest& request) const override {
    return shutdown_.Accepts(request, scheduler_.Now());
  }
  bool ClosesIdle(const IdleConnection& connection) const override {
    return shutdown_.ClosesIdle(connection, scheduler_.Now());
  }
  void OnWaitingForTokens() override { tokens_.OnWaitingForTokens(); }

  void OnInstancesCounted(int count) override;
  void OnTokensChanged(const CustomerId& customer) override;

  const RouterSettings settings_;
  boost::asio::io_context* const io_;
  EventLog* const log_;
  const std::function<void()> reload_;
  const std::unique_ptr<RandomSource> random_;
  HistogramCounters counters_;
  AsioScheduler scheduler_;
  TargetRateLimits rate_limits_;
  TargetPool target_pool_;
  LimitedReturnSchedule limited_returns_;
  RetryLimiter retry_limiter_;
  RateLimitSync rate_limit_sync_;
  HttpPeerClient peer_client_;
  TokenPlane tokens_;
  RequestRouter router_;
  TargetConnectionPool target_connections_;
  OverloadGuard overload_;
  const ConnectionShares connection_shares_;
  ConnectionLimiter connection_limiter_;
  LoadProbe load_probe_;
  PromptQuarantine quarantine_;
  QuarantineSync quarantine_sync_;
  CallerConnectionDependencies caller_dependencies_;
  RouteConfigPoller config_poller_;
  TargetListPoller target_list_poller_;
  PeerConfigFetcher config_fetcher_;
  AsyncHttpServer ready_server_;
  AsyncHttpServer peer_server_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::signal_set signals_;
  std::set<std::shared_ptr<CallerConnection>> connections_;
  ShutdownPlan shutdown_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_ROUTER_DAEMON_H_
