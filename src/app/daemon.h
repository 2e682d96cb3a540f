#ifndef WISTERIAREEL_SRC_APP_DAEMON_H_
#define WISTERIAREEL_SRC_APP_DAEMON_H_

#include <atomic>
#include <cstddef>
#include <memory>

#include "absl/synchronization/notification.h"
#include "src/app/budget_plane.h"
#include "src/app/control_plane.h"
#include "src/app/request_plane.h"
#include "src/app/shared_dependencies.h"
#include "src/app/singleton_task_plane.h"
#include "src/budget/request_id_generator.h"
#include "src/http/caller_server.h"
#include "src/observability/histogram_counters.h"
#include "src/peer/websocket_peer_transport.h"
#include "src/platform/http_instance_list.h"
#include "src/platform/http_object_store.h"
#include "src/platform/http_table_service.h"
#include "src/rpc/drain_control.h"
#include "src/rpc/operator_server.h"
#include "src/settings/settings.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/peer_dispatcher.h"
#include "wisteriareel/reason.h"

namespace wisteriareel {

// Outcome of Daemon::Shutdown.
struct ShutdownReport {
  // Requests still in flight after the drain timeout.
  int requests_left = 0;
  // Claim changes that were not confirmed.
  int claims_left = 0;
  // Records that were not written to the object store.
  std::size_t records_left = 0;
  bool grants_returned = false;

  // Returns true if all requests ended, all claims were confirmed, all records
  // were written and all grants were returned.
  bool clean() const {
    return requests_left == 0 && claims_left == 0 && records_left == 0 &&
           grants_returned;
  }

  friend bool operator==(const ShutdownReport&,
                         const ShutdownReport&) = default;
};

// One instance: serves callers and operators and exchanges messages with the
// other instances. Owns all its components. Start and Shutdown must be called
// from one thread; the rest is thread-safe.
class Daemon final : public DrainControl {
 public:
  // `events` must outlive the daemon.
  Daemon(Settings settings, EventLog* events);
  ~Daemon() override;

  // Binds the listeners and starts all loops. Returns false with a reason if
  // an address can't be bound.
  bool Start(LastReason* reason);

  // Return the bound ports. The peer port is the configured one.
  int caller_port() const { return caller_server_.port(); }
  int operator_port() const { return operator_server_.port(); }
  int peer_port() const { return settings_.listen.peers.port; }

  // Returns the revision of the configuration that this instance uses.
  Revision revision() const { return control_.config().Current()->revision(); }

  // Returns true while the load balancer may send requests to this instance: a
  // configuration is loaded and no drain was requested.
  bool Ready() const;

  void RequestDrain() override;
  DrainProgress Progress() const override;

  // Blocks until RequestDrain is called.
  void AwaitDrainRequest() const { drain_requested_.WaitForNotification(); }

  // Refuses new requests, waits for those in flight, confirms claim changes,
  // flushes records, returns grants and stops. Blocks; each step has a timeout.
  ShutdownReport Shutdown();

 private:
  SharedDependencies MakeSharedDependencies();
  PlatformClientOptions MakePlatformOptions(const Endpoint& endpoint) const;
  WebsocketPeerTransportOptions MakePeerTransportOptions();
  CallerServerOptions MakeCallerServerOptions() const;
  CallerServerDependencies MakeCallerServerDependencies();
  OperatorServerOptions MakeOperatorServerOptions();
  void AddGauges();
  void StopLoops();

  const Settings settings_;
  EventLog* const events_;
  HistogramCounters counters_;
  const std::unique_ptr<RandomSource> random_;
  RequestIdGenerator request_ids_;
  HttpTableService table_;
  HttpObjectStore objects_;
  HttpInstanceList instances_;
  PeerDispatcher dispatcher_;
  WebsocketPeerTransport peers_;
  const SharedDependencies dependencies_;
  ControlPlane control_;
  BudgetPlane budgets_;
  RequestPlane requests_;
  SingletonTaskPlane singleton_tasks_;
  CallerServer caller_server_;
  OperatorServer operator_server_;

  std::atomic<bool> draining_ = false;
  absl::Notification drain_requested_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_APP_DAEMON_H_
