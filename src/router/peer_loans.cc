#include "src/router/peer_loans.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace wisteriareel {
namespace {

// Words for what a lender expects, behind the amount.
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

// Connections to more instances than this aren't kept.
constexpr std::size_t kMaxCallers = 64;

}  // namespace

PeerLoans::PeerLoans(PeerLoansOptions options, boost::asio::io_context* io,
                     Scheduler* scheduler, RandomSource* random,
                     PrepaidLedger* ledger, EventLog* log, LoanPeers* peers)
    : options_(options),
      io_(io),
      scheduler_(scheduler),
      random_(random),
      ledger_(ledger),
      log_(log),
      peers_(peers) {}

void PeerLoans::Poke() {
  for (const LoanRequest& request :
       ledger_->TakeLoanRequests(scheduler_->Now())) {
    const auto round = std::make_shared<Round>();
    round->request = request;
    AskHome(round);
  }
}

void PeerLoans::AskHome(const std::shared_ptr<Round>& round) {
  const std::optional<Endpoint> home = peers_->HomeOf(round->request.customer);
  round->home_asked = true;
  round->open = 1;
  const auto silent = home.has_value() ? silent_.find(*home) : silent_.end();
  const bool skip = !home.has_value() || (silent != silent_.end() &&
                                          silent->second > scheduler_->Now());
  if (!skip) {
    Ask(*home, round);
    return;
  }
  // The ledger expects no answer from within its call.
  scheduler_->After(absl::ZeroDuration(), [this, round] { Continue(round); });
}

void PeerLoans::AskAnyone(const std::shared_ptr<Round>& round) {
  std::vector<Endpoint> peers = peers_->RankedFor(round->request.customer);
  round->open = 1;
  const int asked = options_.next_homes + options_.others;
  for (int n = 0; n < asked && !peers.empty(); ++n) {
    const std::size_t pick =
        n < options_.next_homes ? 0 : random_->Below(peers.size());
    ++round->open;
    Ask(peers[pick], round);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  scheduler_->After(absl::ZeroDuration(), [this, round] { Continue(round); });
}

HttpCaller* PeerLoans::CallerOf(const Endpoint& peer) {
  if (callers_.size() >= kMaxCallers) callers_.clear();
  std::unique_ptr<HttpCaller>& caller = callers_[peer];
  if (caller == nullptr) caller = std::make_unique<HttpCaller>(io_, peer);
  return caller.get();
}

void PeerLoans::TransferTokens() {
  const absl::Time now = scheduler_->Now();
  for (const TokenTransfer& gift : ledger_->TakeTransfers(now)) {
    std::vector<Endpoint> peers = peers_->RankedFor(gift.customer);
    std::erase_if(peers, [this, now](const Endpoint& peer) {
      const auto it = silent_.find(peer);
      return it != silent_.end() && it->second > now;
    });
    log_->Write(EventId::kTokensHandedOver, Severity::kInfo,
                "tokens go to another instance",
                {{"customer", gift.customer.value()},
                 {"amount", absl::StrCat(gift.amount.value())},
                 {"to", peers.empty() ? "nobody"
                                      : absl::StrCat(peers.front().host, ":",
                                                     peers.front().port)}});
    if (peers.empty()) continue;
    CallerOf(peers.front())
        ->Start({.method = "POST",
                 .target = absl::StrCat(kPeerTransferPath, gift.amount.value(),
                                        "/", gift.customer.value()),
                 .timeout = options_.timeout},
                [this, gift](const std::optional<HttpReply>& reply) {
                  if (reply.has_value() && reply->status == 200) return;
                  // It may have arrived, so it isn't sent again.
                  log_->Write(EventId::kTokensHandedOver, Severity::kWarning,
                              "tokens may have been lost on their way",
                              {{"customer", gift.customer.value()},
                               {"amount", absl::StrCat(gift.amount.value())}});
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

void PeerLoans::Ask(const Endpoint& peer, const std::shared_ptr<Round>& round) {
  const LoanRequest& request = round->request;
  CallerOf(peer)->Start(
      {.method = "POST",
       .target = absl::StrCat(
           kPeerLoanPath, request.amount.value(), "/",
           request.from_any_instance ? 0 : request.min_amount.value(), "/",
           request.customer.value()),
       .timeout = options_.timeout},
      [this, peer, round](const std::optional<HttpReply>& reply) {
        silent_.erase(peer);
        if (!reply.has_value()) {
          silent_[peer] = scheduler_->Now() + options_.silence;
        }
        const std::optional<Loan> loan =
            reply.has_value() && reply->status == 200 ? DecodeLoan(reply->body)
                                                      : std::nullopt;
        if (loan.has_value() && round->home_asked) {
          round->availability = loan->availability;
        }
        if (loan.has_value() && loan->amount > Tokens(0)) {
          ledger_->Borrow(round->request.customer, loan->amount);
          round->lent += loan->amount.value();
          peers_->OnLedgerChanged(round->request.customer);
        }
        Continue(round);
      });
}

// One of the questions of a round has ended.
void PeerLoans::Continue(const std::shared_ptr<Round>& round) {
  if (--round->open > 0) return;
  const LoanRequest& request = round->request;
  if (round->home_asked && request.from_any_instance &&
      round->availability != LoanAvailability::kSoon &&
      round->lent < request.min_amount.value()) {
    round->home_asked = false;
    AskAnyone(round);
    return;
  }
  End(*round);
}

void PeerLoans::End(const Round& round) {
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

std::optional<std::string> PeerLoans::AnswerLoan(const std::string& query,
                                                 PrepaidLedger* ledger,
                                                 absl::Time now) {
  const std::vector<std::string> fields =
      absl::StrSplit(query, absl::MaxSplits('/', 2));
  std::int64_t wanted = 0;
  std::int64_t least = 0;
  if (fields.size() != 3 || !absl::SimpleAtoi(fields[0], &wanted) ||
      !absl::SimpleAtoi(fields[1], &least)) {
    return std::nullopt;
  }
  return EncodeLoan(
      ledger->Lend(CustomerId(fields[2]), Tokens(wanted), Tokens(least), now));
}

}  // namespace wisteriareel
