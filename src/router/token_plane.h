#ifndef WISTERIAREEL_SRC_ROUTER_TOKEN_PLANE_H_
#define WISTERIAREEL_SRC_ROUTER_TOKEN_PLANE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/prepaid_ledger.h"
#include "src/forward/route_config.h"
#include "src/router/instance_registry.h"
#include "src/router/ledger_row_sync.h"
#include "src/router/ledger_transaction_sender.h"
#include "src/router/peer_client.h"
#include "src/router/peer_loans.h"
#include "src/router/rate_limit_sync.h"
#include "src/router/scheduler.h"
#include "wisteriareel/async_table.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct TokenPlaneOptions {
  InstanceId instance;
  // Id of this incarnation of the instance; never reused.
  std::string incarnation;
  // Address for calls by other instances.
  Endpoint address;
  // Other instances to call while none is listed. May be outdated.
  std::vector<Endpoint> seeds;
};

// Receives the events of a TokenPlane.
class TokenPlaneOwner {
 public:
  virtual ~TokenPlaneOwner() = default;

  // Called with the number of instances, including this one.
  virtual void OnInstancesCounted(int count) = 0;
  // Called when the customer's tokens may have changed.
  virtual void OnTokensChanged(const CustomerId& customer) = 0;
};

// The pointers must outlive the TokenPlane.
struct TokenPlaneDependencies {
  AsyncTable* table = nullptr;
  PeerClient* peers = nullptr;
  Scheduler* scheduler = nullptr;
  RandomSource* random = nullptr;
  EventLog* log = nullptr;
  TokenPlaneOwner* owner = nullptr;
  // Null if this instance shares no rate limits of targets.
  RateLimitSync* rate_limits = nullptr;
};

// The prepaid tokens of one instance: the ledger, its transactions with the
// platform, the loans between instances, and the list of instances by which
// they find each other. Opens no connections. Not thread-safe.
class TokenPlane final : private InstanceRegistryOwner,
                         private LoanPeerDirectory,
                         private LedgerRowSyncOwner {
 public:
  TokenPlane(TokenPlaneOptions options,
             const TokenPlaneDependencies& dependencies);

  void Start();

  PrepaidLedger* ledger() { return &ledger_; }

  // Applies the budgets of `config`.
  void ApplyConfig(const RouteConfig& config);

  // Called when a request waits for tokens.
  void OnWaitingForTokens();

  // Returns the response to a request of another instance; nullopt if `path`
  // isn't one of this class's paths or is malformed.
  std::optional<std::string> HandlePeerRequest(const std::string& path);

  // Returns the other instances, or the seeds if no instance is known.
  std::vector<Endpoint> Peers() const;

  // Accepts no more tokens of other instances.
  void StartDraining() { draining_ = true; }

  // Returns the unspent tokens to the platform, or hands them over to another
  // instance if the platform is unavailable. Called repeatedly until IsSettled.
  void ReturnTokens();

  bool IsSettled() const { return ledger_.IsSettled(); }

  // Removes this instance from the list of instances.
  void Leave() { registry_.Leave(); }

 private:
  void Tick();
  void UpdateHomeInstances();

  void OnInstancesCounted(int count) override;
  void OnPreviousIncarnation(
      const std::optional<InstanceHeartbeat>& last) override;
  std::optional<std::int64_t> ContactToReport() override;
  std::vector<EndedIncarnation> EndedIncarnations() override;
  void OnInstancesListed(const std::vector<std::string>& names,
                         bool confirmed) override;
  void OnRateLimitReport(const std::string& instance,
                         const std::string& report) override;
  std::string RateLimitReport() override;

  // Asks other instances to return tokens of customers whose pool is empty.
  void GatherTokens();
  // Asks other instances for the rows that they know of customers whose rows in
  // the table may be outdated.
  void CollectRows();

  std::uint64_t LedgerEra() const override { return ledger_.era(); }
  void OnLedgerEra(std::uint64_t era) override;
  std::vector<Endpoint> OtherInstances() const override { return Peers(); }

  std::optional<Endpoint> FindHomeInstance(
      const CustomerId& customer,
      const std::function<bool(const Endpoint&)>& is_usable) const override;
  std::vector<Endpoint> RankInstances(
      const CustomerId& customer) const override;
  void OnLedgerChanged(const CustomerId& customer) override;

  const TokenPlaneOptions options_;
  AsyncTable* const table_;
  Scheduler* const scheduler_;
  EventLog* const log_;
  TokenPlaneOwner* const owner_;
  RateLimitSync* const rate_limits_;
  const absl::Time started_;
  PrepaidLedger ledger_;
  InstanceRegistry registry_;
  LedgerRowSync rows_;
  LedgerTransactionSender sender_;
  PeerLoans loans_;
  // The incarnations before this one, newest first.
  std::vector<EndedIncarnation> ended_;
  int instances_ = 1;
  bool draining_ = false;
  bool returning_tokens_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_TOKEN_PLANE_H_
