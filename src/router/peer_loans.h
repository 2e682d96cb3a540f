#ifndef WISTERIAREEL_SRC_ROUTER_PEER_LOANS_H_
#define WISTERIAREEL_SRC_ROUTER_PEER_LOANS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/prepaid_ledger.h"
#include "src/router/peer_client.h"
#include "src/router/scheduler.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct PeerLoansOptions {
  // Id of this incarnation of the instance.
  std::string incarnation;
  // Instances queried for one loan: the next ones by rank, to which a home
  // instance transfers its tokens when it shuts down, and others at random.
  int next_home_instances = 4;
  int random_instances = 4;
  // Instances queried for one loan as the home instance or its deputies, one
  // after the other while they don't respond.
  int home_queries = 2;
  // A loan must arrive before a caller's time limit for the first token.
  absl::Duration timeout = absl::Milliseconds(200);
  // An instance that didn't respond isn't queried again for this long.
  absl::Duration unresponsive_backoff = absl::Seconds(2);
};

// Finds the instances to borrow from.
class LoanPeerDirectory {
 public:
  virtual ~LoanPeerDirectory() = default;

  // Returns the customer's home instance, the first in rank that `is_usable`
  // accepts, or nullopt if that is this instance.
  virtual std::optional<Endpoint> FindHomeInstance(
      const CustomerId& customer,
      const std::function<bool(const Endpoint&)>& is_usable) const = 0;
  // Returns the other instances, ordered by their rank for the customer,
  // highest first.
  virtual std::vector<Endpoint> RankInstances(
      const CustomerId& customer) const = 0;
  // Called when the customer's tokens may have changed.
  virtual void OnLedgerChanged(const CustomerId& customer) = 0;
};

// Borrows prepaid tokens from other instances: from the customer's home
// instance, and from several others while the platform can't grant any. Not
// thread-safe.
class PeerLoans {
 public:
  // The pointers must outlive this object.
  PeerLoans(PeerLoansOptions options, PeerClient* client, Scheduler* scheduler,
            RandomSource* random, PrepaidLedger* ledger, EventLog* log,
            LoanPeerDirectory* peers);

  // Requests the loans that the ledger needs.
  void RequestLoans();

  // Requests the return of the customer's spare tokens from `holders`.
  void RequestReturn(const CustomerId& customer,
                     const std::vector<Endpoint>& holders);

  // Returns true if `peer` didn't respond a moment ago.
  bool IsUnresponsive(const Endpoint& peer) const;

  // Transfers the tokens that can't be returned to the platform to the
  // customers' next home instances.
  void TransferTokens();

  // Accepts a token transfer from another instance. `query` is what follows
  // kPeerTransferPath. Returns false if it is malformed.
  static bool AcceptTransfer(const std::string& query, PrepaidLedger* ledger);

  // Returns the response to another instance's loan request, or nullopt if it
  // is malformed. `query` is what follows kPeerLoanPath.
  static std::optional<std::string> HandleLoanRequest(const std::string& query,
                                                      PrepaidLedger* ledger,
                                                      absl::Time now);

 private:
  // The queries for one loan.
  struct Round {
    LoanRequest request;
    // True while the home instance is queried, false once the others are.
    bool querying_home = false;
    // Instances queried as the home instance or its deputy.
    int home_queries = 0;
    // Queries without a result yet.
    int pending = 0;
    std::int64_t lent = 0;
    // Availability that the home instance reported.
    LoanAvailability availability = LoanAvailability::kNone;
  };

  void QueryHomeInstance(const std::shared_ptr<Round>& round);
  void QueryOtherInstances(const std::shared_ptr<Round>& round);
  void RequestLoan(const Endpoint& peer, const LoanRequest& request,
                   const std::shared_ptr<Round>& round);
  // The loans that one instance made to this one for a customer.
  struct Sequence {
    std::uint64_t last = 0;
    std::int64_t received = 0;
    bool in_progress = false;
  };

  // Requests tokens from `peer` and adds them to the ledger. `done` gets the
  // loan, or nullopt if there was no response. Returns false without a call if
  // a request of the same sequence is in progress.
  bool SendLoanRequest(const Endpoint& peer, LoanRequest request,
                       std::function<void(const std::optional<Loan>&)> done);
  void RequestReturnFrom(const Endpoint& holder, const LoanRequest& request,
                         int tries);
  void CompleteQuery(const std::shared_ptr<Round>& round);
  void FinishRound(const Round& round);

  const PeerLoansOptions options_;
  PeerClient* const client_;
  Scheduler* const scheduler_;
  RandomSource* const random_;
  PrepaidLedger* const ledger_;
  EventLog* const log_;
  LoanPeerDirectory* const peers_;
  // Instances that didn't respond, and the time until which they are skipped.
  std::map<Endpoint, absl::Time> unresponsive_until_;
  std::map<std::pair<CustomerId, Endpoint>, Sequence> sequences_;
};

// Path of a loan request, followed by the fields of LoanRequest, separated by
// slashes: amount, min_amount, held, delivered, kind, borrower_incarnation,
// sequence, received and customer.
inline constexpr char kPeerLoanPath[] = "/peer/loan/";
// Path of a token transfer, followed by the amount and the customer, separated
// by a slash.
inline constexpr char kPeerTransferPath[] = "/peer/gift/";

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_PEER_LOANS_H_
