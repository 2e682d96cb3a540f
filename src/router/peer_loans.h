#ifndef WISTERIAREEL_SRC_ROUTER_PEER_LOANS_H_
#define WISTERIAREEL_SRC_ROUTER_PEER_LOANS_H_

#include <functional>
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
  // Instances asked for one loan.
  int fanout = 8;
  // A loan has to come within a caller's patience for its first token.
  absl::Duration timeout = absl::Milliseconds(200);
};

// Borrows prepaid tokens from other instances while the platform can't grant
// them. Not thread-safe.
class PeerLoans {
 public:
  // The pointers outlive this. `peers` says whom to ask; `changed` runs when
  // a customer's tokens may have changed.
  PeerLoans(PeerLoansOptions options, boost::asio::io_context* io,
            Scheduler* scheduler, RandomSource* random, PrepaidLedger* ledger,
            EventLog* log, std::function<std::vector<Endpoint>()> peers,
            std::function<void(const CustomerId&)> changed);

  // Asks for the loans that the ledger wants.
  void Poke();

  // Answers another instance's question, given what follows kPeerLoanPath.
  static std::optional<std::string> AnswerLoan(const std::string& query,
                                               PrepaidLedger* ledger,
                                               absl::Time now);

 private:
  struct Round {
    LoanRequest request;
    int open = 0;
    std::int64_t lent = 0;
  };

  void Ask(const Endpoint& peer, const std::shared_ptr<Round>& round);
  void End(const Round& round);

  const PeerLoansOptions options_;
  boost::asio::io_context* const io_;
  Scheduler* const scheduler_;
  RandomSource* const random_;
  PrepaidLedger* const ledger_;
  EventLog* const log_;
  const std::function<std::vector<Endpoint>()> peers_;
  const std::function<void(const CustomerId&)> changed_;
  std::map<Endpoint, std::unique_ptr<HttpCaller>> callers_;
};

// Path of the question for a loan; tokens, a slash and the customer follow.
inline constexpr char kPeerLoanPath[] = "/peer/loan/";

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_PEER_LOANS_H_
