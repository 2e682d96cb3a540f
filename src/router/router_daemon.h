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
#include "src/forward/prepaid_ledger.h"
#include "src/forward/request_router.h"
#include "src/forward/retry_limiter.h"
#include "src/forward/target_pool.h"
#include "src/observability/histogram_counters.h"
#include "src/router/asio_scheduler.h"
#include "src/router/config_watch.h"
#include "src/router/deployment_source.h"
#include "src/router/ledger_runner.h"
#include "src/router/member_watch.h"
#include "src/router/peer_help.h"
#include "src/router/peer_loans.h"
#include "src/router/router_settings.h"
#include "src/router/target_watch.h"
#include "src/runtime/caller_connection.h"
#include "src/runtime/load_probe.h"
#include "src/runtime/message_codec.h"
#include "src/runtime/small_server.h"
#include "wisteriareel/async_table.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {

// What a router speaks with the platform. The pointers outlive the router.
struct RouterPlatform {
  const MessageCodec* codec = nullptr;
  AsyncTable* table = nullptr;
  DeploymentSource* source = nullptr;
  TargetLoadSource* loads = nullptr;
};

// One instance of the fleet: composes the decisions with what drives them, on
// one thread.
class RouterDaemon final : private CallerConnectionOwner,
                           private MemberWatchOwner,
                           private LoanPeers {
 public:
  // The pointers outlive the daemon. `reload` runs at SIGHUP.
  RouterDaemon(RouterSettings settings, const RouterPlatform& platform,
               boost::asio::io_context* io, EventLog* log,
               std::function<void()> reload);
  ~RouterDaemon() override;

  // Returns false with a reason if an address can't be listened on.
  bool Start(LastReason* reason);

  // Serves until a signal ends it and what was under way is done.
  void Run();

 private:
  void Accept();
  void WaitForSignal();
  void BeginShutdown();
  void ContinueShutdown();
  void Stop(std::string_view how);
  bool Ready() const;
  HttpReply AnswerReady() const;
  HttpReply AnswerPeer(const std::string& target);
  void OnConfigApplied();
  void UpdateHomes();
  bool AnyBusy() const;

  void OnConnectionClosed(CallerConnection* connection) override;
  bool Draining() const override { return draining_; }
  bool TakesRequests() const override { return !closing_; }
  void OnWaitingForTokens() override;

  void OnInstancesCounted(int count) override;
  void OnOwnPast(const std::optional<Heartbeat>& last) override;
  std::optional<std::int64_t> ContactToTell() override;

  std::optional<Endpoint> HomeOf(const CustomerId& customer) const override;
  std::vector<Endpoint> RankedFor(const CustomerId& customer) const override;
  // Returns other instances to ask for help, or the seeds if none is known.
  std::vector<Endpoint> Peers() const;
  void OnLedgerChanged(const CustomerId& customer) override;

  const RouterSettings settings_;
  AsyncTable* const table_;
  const absl::Time started_;
  boost::asio::io_context* const io_;
  EventLog* const log_;
  const std::function<void()> reload_;
  const std::unique_ptr<RandomSource> random_;
  HistogramCounters counters_;
  AsioScheduler scheduler_;
  TargetPool pool_;
  RetryLimiter repeats_;
  PrepaidLedger ledger_;
  RequestRouter router_;
  TargetConnections targets_;
  OverloadGuard overload_;
  LoadProbe loads_;
  CallerServices services_;
  ConfigWatch config_watch_;
  TargetWatch target_watch_;
  MemberWatch member_watch_;
  LedgerRunner ledger_runner_;
  PeerHelp peer_help_;
  PeerLoans peer_loans_;
  SmallServer ready_server_;
  SmallServer peer_server_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::signal_set signals_;
  std::set<std::shared_ptr<CallerConnection>> connections_;
  bool draining_ = false;
  // The balancer has had its time: no request is begun any more.
  bool closing_ = false;
  bool returning_tokens_ = false;
  absl::Time draining_since_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_ROUTER_DAEMON_H_
