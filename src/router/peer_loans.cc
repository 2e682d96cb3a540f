#include "src/router/peer_loans.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace wisteriareel {
namespace {

// Values of the availability, which follows the amount in a loan response.
constexpr char kSoon[] = "soon";
constexpr char kPoolEmpty[] = "pool_empty";
constexpr char kNone[] = "none";

std::string EncodeLoan(const Loan& loan) {
  const char* availability = kNone;
  if (loan.availability == LoanAvailability::kSoon) availability = kSoon;
  if (loan.availability == LoanAvailability::kPoolEmpty)
    availability = kPoolEmpty;
  return absl::StrCat(loan.amount.value(), " ", availability);
}

std::optional<Loan> DecodeLoan(const std::string& text) {
  const std::vector<std::string> fields = absl::StrSplit(text, ' ');
  std::int64_t amount = 0;
  if (fields.size() != 2 || !absl::SimpleAtoi(fields[0], &amount) ||
      amount < 0) {
    return std::nullopt;
  }
  Loan loan{.amount = Tokens(amount)};
  if (fields[1] == kSoon) loan.availability = LoanAvailability::kSoon;
  if (fields[1] == kPoolEmpty) loan.availability = LoanAvailability::kPoolEmpty;
  return loan;
}

}  // namespace

PeerLoans::PeerLoans(PeerLoansOptions options, PeerClient* client,
                     Scheduler* scheduler, RandomSource* random,
                     PrepaidLedger* ledger, EventLog* log,
                     LoanPeerDirectory* peers)
    : options_(options),
      client_(client),
      scheduler_(scheduler),
      random_(random),
      ledger_(ledger),
      log_(log),
      peers_(peers) {}

void PeerLoans::RequestLoans() {
  for (const LoanRequest& request :
       ledger_->TakeLoanRequests(scheduler_->Now())) {
    const auto round = std::make_shared<Round>();
    round->request = request;
    QueryHomeInstance(round);
  }
}

void PeerLoans::QueryHomeInstance(const std::shared_ptr<Round>& round) {
  const std::optional<Endpoint> home =
      peers_->FindHomeInstance(round->request.customer);
  round->querying_home = true;
  round->pending = 1;
  const auto it = home.has_value() ? unresponsive_until_.find(*home)
                                   : unresponsive_until_.end();
  const bool skip = !home.has_value() || (it != unresponsive_until_.end() &&
                                          it->second > scheduler_->Now());
  if (!skip) {
    RequestLoan(*home, round);
    return;
  }
  // The ledger must not be called from within its own call.
  scheduler_->After(absl::ZeroDuration(),
                    [this, round] { CompleteQuery(round); });
}

void PeerLoans::QueryOtherInstances(const std::shared_ptr<Round>& round) {
  std::vector<Endpoint> peers = peers_->RankInstances(round->request.customer);
  round->pending = 1;
  const int count = options_.next_home_instances + options_.random_instances;
  for (int n = 0; n < count && !peers.empty(); ++n) {
    const std::size_t pick =
        n < options_.next_home_instances ? 0 : random_->Below(peers.size());
    ++round->pending;
    RequestLoan(peers[pick], round);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  scheduler_->After(absl::ZeroDuration(),
                    [this, round] { CompleteQuery(round); });
}

void PeerLoans::TransferTokens() {
  const absl::Time now = scheduler_->Now();
  for (const TokenTransfer& transfer : ledger_->TakeTransfers(now)) {
    std::vector<Endpoint> peers = peers_->RankInstances(transfer.customer);
    std::erase_if(peers, [this, now](const Endpoint& peer) {
      const auto it = unresponsive_until_.find(peer);
      return it != unresponsive_until_.end() && it->second > now;
    });
    log_->Write(EventId::kTokensHandedOver, Severity::kInfo,
                "transferring tokens to another instance",
                {{"customer", transfer.customer.value()},
                 {"amount", absl::StrCat(transfer.amount.value())},
                 {"to", peers.empty() ? "nobody"
                                      : absl::StrCat(peers.front().host, ":",
                                                     peers.front().port)}});
    if (peers.empty()) continue;
    client_->Send(peers.front(),
                  absl::StrCat(kPeerTransferPath, transfer.amount.value(), "/",
                               transfer.customer.value()),
                  options_.timeout,
                  [this, transfer](const std::optional<PeerResponse>& reply) {
                    if (reply.has_value() && reply->accepted) return;
                    // Not retried: the tokens may have arrived, and a second
                    // transfer would count them twice.
                    log_->Write(
                        EventId::kTokensHandedOver, Severity::kWarning,
                        "token transfer not confirmed; the tokens may be lost",
                        {{"customer", transfer.customer.value()},
                         {"amount", absl::StrCat(transfer.amount.value())}});
                  });
  }
}

bool PeerLoans::AcceptTransfer(const std::string& query,
                               PrepaidLedger* ledger) {
  const std::vector<std::string> fields =
      absl::StrSplit(query, absl::MaxSplits('/', 1));
  std::int64_t amount = 0;
  if (fields.size() != 2 || !absl::SimpleAtoi(fields[0], &amount) ||
      amount <= 0) {
    return false;
  }
  ledger->Borrow(CustomerId(fields[1]), Tokens(amount));
  return true;
}

void PeerLoans::RequestLoan(const Endpoint& peer,
                            const std::shared_ptr<Round>& round) {
  const LoanRequest& request = round->request;
  client_->Send(
      peer,
      absl::StrCat(kPeerLoanPath, request.amount.value(), "/",
                   request.from_any_instance ? 0 : request.min_amount.value(),
                   "/", request.customer.value()),
      options_.timeout,
      [this, peer, round](const std::optional<PeerResponse>& reply) {
        unresponsive_until_.erase(peer);
        if (!reply.has_value()) {
          unresponsive_until_[peer] =
              scheduler_->Now() + options_.unresponsive_backoff;
        }
        const std::optional<Loan> loan = reply.has_value() && reply->accepted
                                             ? DecodeLoan(reply->body)
                                             : std::nullopt;
        if (loan.has_value() && round->querying_home) {
          round->availability = loan->availability;
        }
        if (loan.has_value() && loan->amount > Tokens(0)) {
          ledger_->Borrow(round->request.customer, loan->amount);
          round->lent += loan->amount.value();
          peers_->OnLedgerChanged(round->request.customer);
        }
        CompleteQuery(round);
      });
}

// Records that one query of `round` has completed.
void PeerLoans::CompleteQuery(const std::shared_ptr<Round>& round) {
  if (--round->pending > 0) return;
  const LoanRequest& request = round->request;
  if (round->querying_home && request.from_any_instance &&
      round->availability != LoanAvailability::kSoon &&
      round->lent < request.min_amount.value()) {
    round->querying_home = false;
    QueryOtherInstances(round);
    return;
  }
  FinishRound(*round);
}

void PeerLoans::FinishRound(const Round& round) {
  const LoanRequest& request = round.request;
  const bool enough = round.lent >= request.min_amount.value();
  const std::optional<absl::Duration> again = ledger_->CompleteLoan(
      request.customer,
      enough ? std::nullopt
             : std::optional<LoanAvailability>(round.availability),
      scheduler_->Now());
  if (again.has_value()) {
    scheduler_->After(*again, [this, customer = request.customer] {
      peers_->OnLedgerChanged(customer);
    });
  }
  log_->Write(EventId::kTokensBorrowed, Severity::kDebug,
              "tokens borrowed from other instances",
              {{"customer", request.customer.value()},
               {"wanted", absl::StrCat(request.amount.value())},
               {"lent", absl::StrCat(round.lent)}});
  peers_->OnLedgerChanged(request.customer);
}

std::optional<std::string> PeerLoans::HandleLoanRequest(
    const std::string& query, PrepaidLedger* ledger, absl::Time now) {
  const std::vector<std::string> fields =
      absl::StrSplit(query, absl::MaxSplits('/', 2));
  std::int64_t wanted = 0;
  std::int64_t min_amount = 0;
  if (fields.size() != 3 || !absl::SimpleAtoi(fields[0], &wanted) ||
      !absl::SimpleAtoi(fields[1], &min_amount)) {
    return std::nullopt;
  }
  return EncodeLoan(ledger->Lend(CustomerId(fields[2]), Tokens(wanted),
                                 Tokens(min_amount), now));
}

}  // namespace wisteriareel
