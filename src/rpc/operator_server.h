#ifndef WISTERIAREEL_SRC_RPC_OPERATOR_SERVER_H_
#define WISTERIAREEL_SRC_RPC_OPERATOR_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "src/rpc/drain_control.h"
#include "src/security/operator_credentials.h"
#include "src/security/tls_files.h"
#include "wisteriareel/budget_manager.h"
#include "wisteriareel/claim_admin.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/config_store.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/request_record.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Default limit on the time that one call spends on platform calls.
inline constexpr absl::Duration kDefaultOperatorCallTimeout = absl::Seconds(5);
// Largest request message that is accepted from an operator.
inline constexpr int kMaxOperatorMessageBytes = 1 << 20;

// Dependencies of the operator calls. Pointers are not owned and must outlive
// the server. A call whose dependency is null returns UNIMPLEMENTED.
struct OperatorServices {
  ConfigStore* config_store = nullptr;
  const ConfigView* config_view = nullptr;
  BudgetAdmin* budget_admin = nullptr;
  RecordReader* record_reader = nullptr;
  ClaimAdmin* claim_admin = nullptr;
  const MembershipView* membership = nullptr;
  DrainControl* drain = nullptr;

  Clock* clock = SystemClock();
  Counters* counters = DiscardCounters();
  EventLog* events = DiscardEvents();

  // Identity of this instance, as GetStatus reports it.
  InstanceId instance;
  RegionId region;
  ZoneId zone;
  std::string program_version;

  OperatorCredentials credentials;
  absl::Duration call_timeout = kDefaultOperatorCallTimeout;
};

struct OperatorServerOptions {
  // Port 0 binds any free port.
  Endpoint listen;
  // Connections are not encrypted if no files are set.
  TlsFiles tls;
  OperatorServices services;
};

// gRPC server for the operator calls of proto/wisteriareel/v1/operator.proto.
// Owns its threads; thread-safe.
class OperatorServer {
 public:
  explicit OperatorServer(OperatorServerOptions options);

  // Stops the server and cancels running calls.
  ~OperatorServer();

  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  // Binds the address and starts serving. Returns false with kUnavailable if
  // the address can't be bound or the TLS files can't be read.
  bool Start(LastReason* reason);

  // Returns the bound port, or 0 before Start.
  std::uint16_t port() const;

  // Refuses new calls and waits up to `grace` for running ones, which are then
  // canceled. Idempotent.
  void Stop(absl::Duration grace);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_OPERATOR_SERVER_H_
