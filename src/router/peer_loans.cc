#include "src/router/peer_loans.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

// Connections to more instances than this aren't kept.
constexpr std::size_t kMaxCallers = 64;

}  // namespace

PeerLoans::PeerLoans(PeerLoansOptions options, boost::asio::io_context* io,
                     Scheduler* scheduler, RandomSource* random,
                     PrepaidLedger* ledger, EventLog* log,
                     std::function<std::vector<Endpoint>()> peers,
                     std::function<void(const CustomerId&)> changed)
    : options_(options),
      io_(io),
      scheduler_(scheduler),
      random_(random),
      ledger_(ledger),
      log_(log),
      peers_(std::move(peers)),
      changed_(std::move(changed)) {}

void PeerLoans::Poke() {
  for (const LoanRequest& request :
       ledger_->TakeLoanRequests(scheduler_->Now())) {
    const auto round = std::make_shared<Round>();
    round->request = request;
    std::vector<Endpoint> peers = peers_();
    round->open =
        std::min<int>(options_.fanout, static_cast<int>(peers.size()));
    if (round->open == 0) {
      scheduler_->After(absl::ZeroDuration(), [this, round] { End(*round); });
      continue;
    }
    for (int n = 0; n < options_.fanout && !peers.empty(); ++n) {
      const std::size_t pick = random_->Below(peers.size());
      Ask(peers[pick], round);
      peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
    }
  }
}

void PeerLoans::Ask(const Endpoint& peer, const std::shared_ptr<Round>& round) {
  if (callers_.size() >= kMaxCallers) callers_.clear();
  std::unique_ptr<HttpCaller>& caller = callers_[peer];
  if (caller == nullptr) caller = std::make_unique<HttpCaller>(io_, peer);
  caller->Start(
      {.method = "POST",
       .target = absl::StrCat(kPeerLoanPath, round->request.amount.value(), "/",
                              round->request.customer.value()),
       .timeout = options_.timeout},
      [this, round](const std::optional<HttpReply>& reply) {
        std::int64_t amount = 0;
        if (reply.has_value() && reply->status == 200 &&
            absl::SimpleAtoi(reply->body, &amount) && amount > 0) {
          ledger_->Borrow(round->request.customer, Tokens(amount));
          round->lent += amount;
          changed_(round->request.customer);
        }
        if (--round->open == 0) End(*round);
      });
}

void PeerLoans::End(const Round& round) {
  ledger_->CompleteLoan(round.request.customer, scheduler_->Now());
  log_->Write(EventId::kTokensBorrowed, Severity::kInfo,
              "tokens borrowed from other instances",
              {{"customer", round.request.customer.value()},
               {"wanted", absl::StrCat(round.request.amount.value())},
               {"lent", absl::StrCat(round.lent)}});
  changed_(round.request.customer);
}

std::optional<std::string> PeerLoans::AnswerLoan(const std::string& query,
                                                 PrepaidLedger* ledger,
                                                 absl::Time now) {
  const std::size_t slash = query.find('/');
  std::int64_t wanted = 0;
  if (slash == std::string::npos ||
      !absl::SimpleAtoi(query.substr(0, slash), &wanted)) {
    return std::nullopt;
  }
  return absl::StrCat(
      ledger->Lend(CustomerId(query.substr(slash + 1)), Tokens(wanted), now)
          .value());
}

}  // namespace wisteriareel
