#ifndef WISTERIAREEL_SRC_ROUTER_PEER_LOANS_H_
#define WISTERIAREEL_SRC_ROUTER_PEER_LOANS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "src/forward/prepaid_ledger.h"
#include "src/router/scheduler.h"
#include "src/runtime/http_caller.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct PeerLoansOptions {
  // Instances asked for one loan: those next in rank, to which a home that
  // ended gave what it held, and as many at random.
  int next_homes = 4;
  int others = 4;
  // A loan has to come within a caller's patience for its first token.
  absl::Duration timeout = absl::Milliseconds(200);
  // An instance that didn't answer isn't asked for this long.
  absl::Duration silence = absl::Seconds(2);
};

// Knows whom to ask for loans.
class LoanPeers {
 public:
  virtual ~LoanPeers() = default;

  // Returns the home of the customer's tokens, unless that is this instance.
  virtual std::optional<Endpoint> HomeOf(const CustomerId& customer) const = 0;
  // Returns the other instances, the customer's next home first.
  virtual std::vector<Endpoint> RankedFor(const CustomerId& customer) const = 0;
  // A customer's tokens may have changed.
  virtual void OnLedgerChanged(const CustomerId& customer) = 0;
};

// Borrows prepaid tokens from other instances: from their home as a rule, and
// from all while the platform can't grant them. Not thread-safe.
class PeerLoans {
 public:
  // The pointers outlive this.
  PeerLoans(PeerLoansOptions options, boost::asio::io_context* io,
            Scheduler* scheduler, RandomSource* random, PrepaidLedger* ledger,
            EventLog* log, LoanPeers* peers);

  // Asks for the loans that the ledger wants.
  void Poke();

  // Gives what can't be returned to the platform to the instances that are
  // the next homes.
  void TransferTokens();

  // Takes another instance's gift, given what follows kPeerTransferPath.
  // Returns false if that can't be read.
  static bool AcceptTransfer(const std::string& query, PrepaidLedger* ledger);

  // Answers another instance's question, given what follows kPeerLoanPath.
  static std::optional<std::string> AnswerLoan(const std::string& query,
                                               PrepaidLedger* ledger,
                                               absl::Time now);

 private:
  struct Round {
    LoanRequest request;
    // Whether the home has been asked already.
    bool home_asked = false;
    int open = 0;
    std::int64_t lent = 0;
    // What the home expects, if it was asked and lent too little.
    LoanAvailability availability = LoanAvailability::kNone;
  };

  void AskHome(const std::shared_ptr<Round>& round);
  void AskAnyone(const std::shared_ptr<Round>& round);
  HttpCaller* CallerOf(const Endpoint& peer);
  void Ask(const Endpoint& peer, const std::shared_ptr<Round>& round);
  void Continue(const std::shared_ptr<Round>& round);
  void End(const Round& round);

  const PeerLoansOptions options_;
  boost::asio::io_context* const io_;
  Scheduler* const scheduler_;
  RandomSource* const random_;
  PrepaidLedger* const ledger_;
  EventLog* const log_;
  LoanPeers* const peers_;
  // Instances that didn't answer, and until when they aren't asked.
  std::map<Endpoint, absl::Time> silent_;
  std::map<Endpoint, std::unique_ptr<HttpCaller>> callers_;
};

// Path of the question for a loan. The tokens wanted, the least that are of
// use, and the customer follow, with slashes between.
inline constexpr char kPeerLoanPath[] = "/peer/loan/";
// Path of a gift. The amount and the customer follow, with a slash between.
inline constexpr char kPeerTransferPath[] = "/peer/gift/";

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_PEER_LOANS_H_
