#include "src/router/token_plane.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel {

TokenPlane::TokenPlane(TokenPlaneOptions options,
                       const TokenPlaneDependencies& dependencies)
    : options_(std::move(options)),
      table_(dependencies.table),
      scheduler_(dependencies.scheduler),
      log_(dependencies.log),
      owner_(dependencies.owner),
      started_(dependencies.scheduler->Now()),
      ledger_({.instance = options_.instance.value(),
               .incarnation = options_.incarnation}),
      registry_({.self = options_.instance, .address = options_.address},
                dependencies.table, dependencies.scheduler,
                static_cast<InstanceRegistryOwner*>(this)),
      sender_(&ledger_, dependencies.table, dependencies.scheduler,
              dependencies.log,
              [this](const CustomerId& id) { OnLedgerChanged(id); }),
      loans_({}, dependencies.peers, dependencies.scheduler,
             dependencies.random, &ledger_, dependencies.log,
             static_cast<LoanPeerDirectory*>(this)) {}

void TokenPlane::Start() { registry_.Start(); }

void TokenPlane::ApplyConfig(const RouteConfig& config) {
  ledger_.SetBudgets(config, scheduler_->Now());
  UpdateHomeInstances();
  sender_.SendDueTransactions();
}

void TokenPlane::OnWaitingForTokens() {
  sender_.SendDueTransactions();
  loans_.RequestLoans();
}

std::optional<std::string> TokenPlane::HandlePeerRequest(
    const std::string& path) {
  const std::string loan_path(kPeerLoanPath);
  if (path.starts_with(loan_path)) {
    std::optional<std::string> loan = PeerLoans::HandleLoanRequest(
        path.substr(loan_path.size()), &ledger_, scheduler_->Now());
    // The loan may leave too few tokens here, so that new ones must be
    // requested from the platform.
    sender_.SendDueTransactions();
    return loan;
  }
  const std::string transfer_path(kPeerTransferPath);
  if (!path.starts_with(transfer_path) || draining_ ||
      !PeerLoans::AcceptTransfer(path.substr(transfer_path.size()), &ledger_)) {
    return std::nullopt;
  }
  return "";
}

std::vector<Endpoint> TokenPlane::Peers() const {
  std::vector<Endpoint> peers = registry_.OtherInstances();
  if (peers.empty()) peers = options_.seeds;
  std::erase(peers, options_.address);
  return peers;
}

void TokenPlane::ReturnTokens() {
  if (!returning_tokens_) ledger_.StartReturningTokens();
  returning_tokens_ = true;
  loans_.TransferTokens();
  sender_.SendDueTransactions();
}

void TokenPlane::OnInstancesCounted(int count) {
  ledger_.SetInstances(count);
  UpdateHomeInstances();
  owner_->OnInstancesCounted(count);
}

void TokenPlane::UpdateHomeInstances() {
  ledger_.SetHomeCustomers([this](const CustomerId& customer) {
    return !FindHomeInstance(customer).has_value();
  });
}

void TokenPlane::OnPreviousIncarnation(
    const std::optional<InstanceHeartbeat>& last) {
  // `since` is the time from the last contact of the previous incarnation to
  // the start of this one. The previous one ended before that.
  const std::optional<TableContact> contact = table_->LastContact();
  InheritedUse use = InheritedUse::kAll;
  absl::Duration since = absl::InfiniteDuration();
  if (last.has_value() && contact.has_value()) {
    since = absl::Milliseconds(contact->platform_ms - last->contact_ms) -
            (contact->sent - started_);
    if (since < PrepaidLedgerOptions().reserve_after) {
      use = InheritedUse::kAuthorized;
    }
  }
  ledger_.SetInheritedUse(use);
  log_->Write(EventId::kTokensInherited, Severity::kInfo,
              "inherited the tokens of a previous incarnation",
              {{"reserve", use == InheritedUse::kAll ? "lost" : "kept"},
               {"since_contact", absl::FormatDuration(since)}});
  sender_.Start();
}

std::optional<std::int64_t> TokenPlane::ContactToReport() {
  const std::optional<TableContact> contact = table_->LastContact();
  if (!contact.has_value()) return std::nullopt;
  ledger_.RecordContact(contact->sent);
  if (!ledger_.IsWithinAuthorized()) return std::nullopt;
  return contact->platform_ms;
}

std::optional<Endpoint> TokenPlane::FindHomeInstance(
    const CustomerId& customer) const {
  return registry_.FindHomeInstance(customer.value());
}

std::vector<Endpoint> TokenPlane::RankInstances(
    const CustomerId& customer) const {
  std::vector<Endpoint> ranked = registry_.RankInstances(customer.value());
  return ranked.empty() ? Peers() : ranked;
}

void TokenPlane::OnLedgerChanged(const CustomerId& customer) {
  owner_->OnTokensChanged(customer);
  OnWaitingForTokens();
}

}  // namespace wisteriareel
