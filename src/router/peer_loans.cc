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
constexpr char kExhausted[] = "exhausted";
// A holder of spare tokens authorizes their return by one transaction.
constexpr absl::Duration kReturnRetryInterval = absl::Milliseconds(30);
constexpr int kReturnTries = 4;
constexpr char kNone[] = "none";

std::string EncodeLoan(const Loan& loan) {
  const char* availability = kNone;
  switch (loan.availability) {
    case LoanAvailability::kSoon:
      availability = kSoon;
      break;
    case LoanAvailability::kPoolEmpty:
      availability = kPoolEmpty;
      break;
    case LoanAvailability::kExhausted:
      availability = kExhausted;
      break;
    case LoanAvailability::kNone:
      break;
  }
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
  if (fields[1] == kExhausted) loan.availability = LoanAvailability::kExhausted;
  return loan;
}

std::string EncodeLoanRequest(const LoanRequest& request) {
  return absl::StrCat(request.amount.value(), "/", request.min_amount.value(),
                      "/", request.held.value(), "/", request.delivered.value(),
                      "/", static_cast<int>(request.kind), "/",
                      request.borrower_incarnation, "/", request.sequence, "/",
                      request.received.value(), "/", request.customer.value());
}

// Number of fields of an encoded request.
constexpr std::size_t kRequestFields = 9;

std::optional<LoanRequest> DecodeLoanRequest(const std::string& text) {
  // The customer comes last because it may contain slashes.
  const std::vector<std::string> fields =
      absl::StrSplit(text, absl::MaxSplits('/', kRequestFields - 1));
  std::int64_t amount = 0;
  std::int64_t min_amount = 0;
  std::int64_t held = 0;
  std::int64_t delivered = 0;
  std::int64_t received = 0;
  int kind = 0;
  LoanRequest request;
  if (fields.size() != kRequestFields ||
      !absl::SimpleAtoi(fields[0], &amount) ||
      !absl::SimpleAtoi(fields[1], &min_amount) ||
      !absl::SimpleAtoi(fields[2], &held) ||
      !absl::SimpleAtoi(fields[3], &delivered) || delivered < 0 ||
      !absl::SimpleAtoi(fields[4], &kind) || kind < 0 ||
      kind > static_cast<int>(LoanKind::kReturn) || fields[5].empty() ||
      !absl::SimpleAtoi(fields[6], &request.sequence) ||
      !absl::SimpleAtoi(fields[7], &received) || received < 0) {
    return std::nullopt;
  }
  request.customer = CustomerId(fields[8]);
  request.amount = Tokens(amount);
  request.min_amount = Tokens(min_amount);
  request.held = Tokens(held);
  request.delivered = Tokens(delivered);
  request.kind = static_cast<LoanKind>(kind);
  request.borrower_incarnation = fields[5];
  request.received = Tokens(received);
  return request;
}

}  // namespace

PeerLoans::PeerLoans(PeerLoansOptions options, PeerClient* client,
                     Scheduler* scheduler, RandomSource* random,
                     PrepaidLedger* ledger, EventLog* log,
                     LoanPeerDirectory* peers)
    : options_(std::move(options)),
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

bool PeerLoans::IsUnresponsive(const Endpoint& peer) const {
  const auto it = unresponsive_until_.find(peer);
  return it != unresponsive_until_.end() && it->second > scheduler_->Now();
}

void PeerLoans::QueryHomeInstance(const std::shared_ptr<Round>& round) {
  const CustomerId& customer = round->request.customer;
  const std::optional<Endpoint> home =
      peers_->FindHomeInstance(customer, [](const Endpoint&) { return true; });
  const std::optional<Endpoint> lender = peers_->FindHomeInstance(
      customer, [this](const Endpoint& peer) { return !IsUnresponsive(peer); });
  round->querying_home = true;
  round->pending = 1;
  ++round->home_queries;
  if (lender.has_value()) {
    LoanRequest request = round->request;
    if (lender != home && request.kind == LoanKind::kNeeded) {
      request.kind = LoanKind::kNeededFromDeputy;
    }
    RequestLoan(*lender, request, round);
    return;
  }
  // The ledger must not be called from within its own call.
  scheduler_->After(absl::ZeroDuration(),
                    [this, round] { CompleteQuery(round); });
}

void PeerLoans::QueryOtherInstances(const std::shared_ptr<Round>& round) {
  std::vector<Endpoint> peers = peers_->RankInstances(round->request.customer);
  round->pending = 1;
  // The delivered tokens were reported to the home instance.
  LoanRequest request = round->request;
  request.min_amount = Tokens(0);
  request.delivered = Tokens(0);
  const int count = options_.next_home_instances + options_.random_instances;
  for (int n = 0; n < count && !peers.empty(); ++n) {
    const std::size_t pick =
        n < options_.next_home_instances ? 0 : random_->Below(peers.size());
    ++round->pending;
    RequestLoan(peers[pick], request, round);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  scheduler_->After(absl::ZeroDuration(),
                    [this, round] { CompleteQuery(round); });
}

void PeerLoans::TransferTokens() {
  const absl::Time now = scheduler_->Now();
  for (const TokenTransfer& transfer : ledger_->TakeTransfers(now)) {
    std::vector<Endpoint> peers = peers_->RankInstances(transfer.customer);
    std::erase_if(
        peers, [this](const Endpoint& peer) { return IsUnresponsive(peer); });
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

bool PeerLoans::SendLoanRequest(
    const Endpoint& peer, LoanRequest request,
    std::function<void(const std::optional<Loan>&)> done) {
  const std::pair<CustomerId, Endpoint> key(request.customer, peer);
  Sequence& sequence = sequences_[key];
  if (sequence.in_progress) return false;
  sequence.in_progress = true;
  request.borrower_incarnation = options_.incarnation;
  request.sequence = ++sequence.last;
  request.received = Tokens(sequence.received);
  client_->Send(peer, absl::StrCat(kPeerLoanPath, EncodeLoanRequest(request)),
                options_.timeout,
                [this, key, done = std::move(done)](
                    const std::optional<PeerResponse>& reply) {
                  const auto& [customer, peer] = key;
                  Sequence& sequence = sequences_[key];
                  sequence.in_progress = false;
                  unresponsive_until_.erase(peer);
                  if (!reply.has_value()) {
                    unresponsive_until_[peer] =
                        scheduler_->Now() + options_.unresponsive_backoff;
                    done(std::nullopt);
                    return;
                  }
                  const Loan loan =
                      (reply->accepted ? DecodeLoan(reply->body) : std::nullopt)
                          .value_or(Loan{});
                  if (loan.amount > Tokens(0)) {
                    sequence.received += loan.amount.value();
                    ledger_->Borrow(customer, loan.amount);
                  }
                  done(loan);
                });
  return true;
}

void PeerLoans::RequestReturn(const CustomerId& customer,
                              const std::vector<Endpoint>& holders) {
  for (const Endpoint& holder : holders) {
    RequestReturnFrom(holder,
                      {.customer = customer,
                       .amount = Tokens(INT64_MAX / 4),
                       .min_amount = Tokens(1),
                       .kind = LoanKind::kReturn},
                      kReturnTries);
  }
}

void PeerLoans::RequestReturnFrom(const Endpoint& holder,
                                  const LoanRequest& request, int tries) {
  SendLoanRequest(
      holder, request,
      [this, holder, request, tries](const std::optional<Loan>& loan) {
        if (!loan.has_value()) return;
        if (loan->amount > Tokens(0)) {
          peers_->OnLedgerChanged(request.customer);
        } else if (loan->availability == LoanAvailability::kSoon && tries > 1) {
          scheduler_->After(kReturnRetryInterval,
                            [this, holder, request, tries] {
                              RequestReturnFrom(holder, request, tries - 1);
                            });
        }
      });
}

void PeerLoans::RequestLoan(const Endpoint& peer, const LoanRequest& request,
                            const std::shared_ptr<Round>& round) {
  const bool sent = SendLoanRequest(
      peer, request, [this, round](const std::optional<Loan>& loan) {
        if (!loan.has_value() && round->querying_home &&
            round->home_queries < options_.home_queries) {
          // The delivered tokens were possibly reported to the instance that
          // didn't respond.
          round->request.delivered = Tokens(0);
          QueryHomeInstance(round);
          return;
        }
        if (loan.has_value() && round->querying_home) {
          round->availability = loan->availability;
        }
        if (loan.has_value() && loan->amount > Tokens(0)) {
          round->lent += loan->amount.value();
          peers_->OnLedgerChanged(round->request.customer);
        }
        CompleteQuery(round);
      });
  if (sent) return;
  scheduler_->After(absl::ZeroDuration(),
                    [this, round] { CompleteQuery(round); });
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
  const std::optional<LoanRequest> request = DecodeLoanRequest(query);
  if (!request.has_value()) return std::nullopt;
  return EncodeLoan(ledger->Lend(*request, now));
}

}  // namespace wisteriareel
