#include "src/router/token_plane.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace wisteriareel {
namespace {

// Time between two checks for due transactions and loans. Waiting requests
// trigger a check at once.
constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
// A heartbeat states the present time only if a write was acknowledged that
// recently. Otherwise the limits would not grow while the platform is
// unavailable.
// Exceeds the interval of heartbeats, which grows with the number of instances.
constexpr absl::Duration kMinMaxContactAge = absl::Milliseconds(1200);
constexpr absl::Duration kMaxContactAgePerInstance = absl::Microseconds(12500);
// Number of ended incarnations that a heartbeat lists, and time after the start
// for which it does. By then the rows that could be read were written again.
constexpr std::size_t kMaxEndedIncarnations = 4;
constexpr absl::Duration kEndedIncarnationsTime = absl::Minutes(2);
// Readings of the platform's clock are whole milliseconds.
constexpr absl::Duration kClockResolution = absl::Milliseconds(1);

}  // namespace

TokenPlane::TokenPlane(TokenPlaneOptions options,
                       const TokenPlaneDependencies& dependencies)
    : options_(std::move(options)),
      table_(dependencies.table),
      scheduler_(dependencies.scheduler),
      log_(dependencies.log),
      owner_(dependencies.owner),
      rate_limits_(dependencies.rate_limits),
      started_(dependencies.scheduler->Now()),
      ledger_({.instance = options_.instance.value(),
               .incarnation = options_.incarnation}),
      registry_({.self = options_.instance,
                 .incarnation = options_.incarnation,
                 .address = options_.address},
                dependencies.table, dependencies.scheduler,
                static_cast<InstanceRegistryOwner*>(this)),
      rows_({.self = options_.instance}, dependencies.peers,
            dependencies.scheduler, dependencies.log,
            static_cast<LedgerRowSyncOwner*>(this)),
      sender_(&ledger_, dependencies.table, &rows_, dependencies.scheduler,
              dependencies.log,
              [this](const CustomerId& id) { OnLedgerChanged(id); }),
      loans_({.incarnation = options_.incarnation}, dependencies.peers,
             dependencies.scheduler, dependencies.random, &ledger_,
             dependencies.log, static_cast<LoanPeerDirectory*>(this)) {}

void TokenPlane::Start() {
  registry_.Start();
  Tick();
}

void TokenPlane::Tick() {
  for (const CustomerId& customer :
       ledger_.CustomersToRetry(scheduler_->Now())) {
    OnLedgerChanged(customer);
  }
  OnWaitingForTokens();
  scheduler_->After(kTickInterval, [this] { Tick(); });
}

void TokenPlane::ApplyConfig(const RouteConfig& config) {
  ledger_.SetBudgets(config, scheduler_->Now());
  UpdateHomeInstances();
  sender_.SendDueTransactions();
}

void TokenPlane::OnWaitingForTokens() {
  sender_.SendDueTransactions();
  loans_.RequestLoans();
  GatherTokens();
  CollectRows();
}

void TokenPlane::CollectRows() {
  const std::vector<CustomerId> customers = ledger_.TakeRecoveries();
  if (customers.empty()) return;
  const std::uint64_t era = ledger_.era();
  rows_.Collect(
      customers, era,
      [this, era](const LedgerRowSync::RowsByCustomer& rows_by_customer) {
        for (const auto& [customer, rows] : rows_by_customer) {
          ledger_.CompleteRecovery(customer, era, rows, scheduler_->Now());
          OnLedgerChanged(customer);
        }
      });
}

void TokenPlane::OnLedgerEra(std::uint64_t era) {
  ledger_.SetEra(era, scheduler_->Now());
}

void TokenPlane::GatherTokens() {
  for (const CustomerId& customer : ledger_.TakeGatherings(scheduler_->Now())) {
    table_->Read(
        PrepaidLedger::kTable, customer.value(),
        [this, customer](const std::optional<RowsReply>& reply,
                         const LastReason&) {
          std::optional<std::vector<PartitionRow>> rows;
          if (reply.has_value()) rows = reply->rows;
          const std::vector<std::string> names = ledger_.CompleteGathering(
              customer, rows,
              [this](const std::string& name) {
                const std::optional<Endpoint> peer =
                    registry_.FindAddress(name);
                return peer.has_value() && !loans_.IsUnresponsive(*peer);
              },
              scheduler_->Now());
          log_->Write(EventId::kTokensRecalled, Severity::kInfo,
                      "asking other instances to return tokens",
                      {{"customer", customer.value()},
                       {"instances", absl::StrJoin(names, ",")}});
          std::vector<Endpoint> holders;
          for (const std::string& name : names) {
            const std::optional<Endpoint> peer = registry_.FindAddress(name);
            if (peer.has_value()) holders.push_back(*peer);
          }
          loans_.RequestReturn(customer, holders);
          OnLedgerChanged(customer);
        });
  }
}

std::optional<std::string> TokenPlane::HandlePeerRequest(
    const std::string& path) {
  const std::string loan_path(kPeerLoanPath);
  if (path.starts_with(loan_path)) {
    std::optional<std::string> loan = PeerLoans::HandleLoanRequest(
        path.substr(loan_path.size()), &ledger_, scheduler_->Now());
    // The loan may leave too few tokens here, so that new ones must be
    // requested from the platform or from other instances.
    sender_.SendDueTransactions();
    GatherTokens();
    CollectRows();
    return loan;
  }
  if (auto response = rows_.HandlePeerRequest(path)) return response;
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
  if (!returning_tokens_) {
    ledger_.StartReturningTokens();
    // What this instance commits from now on is copied as always.
    rows_.HandOver();
  }
  returning_tokens_ = true;
  loans_.TransferTokens();
  sender_.SendDueTransactions();
  CollectRows();
}

void TokenPlane::OnInstancesCounted(int count) {
  instances_ = count;
  ledger_.SetInstances(count);
  UpdateHomeInstances();
  owner_->OnInstancesCounted(count);
}

void TokenPlane::UpdateHomeInstances() {
  ledger_.SetHomeCustomers([this](const CustomerId& customer) {
    return !FindHomeInstance(customer, [](const Endpoint&) {
              return true;
            }).has_value();
  });
}

void TokenPlane::OnPreviousIncarnation(
    const std::optional<InstanceHeartbeat>& last) {
  // The previous incarnation ended before this one started.
  const std::optional<TableContact> contact = table_->LastContact();
  InheritedTimes times;
  if (last.has_value() && contact.has_value()) {
    times.has_heartbeat = true;
    times.started_ms = contact->platform_ms -
                       absl::ToInt64Milliseconds(contact->sent - started_) +
                       2 * absl::ToInt64Milliseconds(kClockResolution);
    times.ended = last->ended;
    times.ended.insert(times.ended.begin(), {.id = last->incarnation,
                                             .contact_ms = last->contact_ms,
                                             .ended_ms = *times.started_ms});
    if (times.ended.size() > kMaxEndedIncarnations) {
      times.ended.resize(kMaxEndedIncarnations);
    }
  }
  ended_ = times.ended;
  ledger_.SetInheritedTimes(times, scheduler_->Now());
  log_->Write(
      EventId::kTokensInherited, Severity::kInfo,
      "inherits the tokens of previous incarnations, less what they "
      "may have used",
      {{"since_contact",
        absl::FormatDuration(times.ended.empty()
                                 ? absl::InfiniteDuration()
                                 : times.GapOf(times.ended.front().id, 0))},
       {"incarnations", absl::StrCat(times.ended.size())}});
  sender_.Start();
}

std::vector<EndedIncarnation> TokenPlane::EndedIncarnations() {
  if (scheduler_->Now() - started_ > kEndedIncarnationsTime) ended_.clear();
  return ended_;
}

void TokenPlane::OnInstancesListed(const std::vector<std::string>& names,
                                   bool confirmed) {
  if (rate_limits_ != nullptr) rate_limits_->ApplyInstances(names, confirmed);
}

void TokenPlane::OnRateLimitReport(const std::string& instance,
                                   const std::string& report) {
  if (rate_limits_ != nullptr) rate_limits_->ApplyReport(instance, report);
}

std::string TokenPlane::RateLimitReport() {
  return rate_limits_ == nullptr ? "" : rate_limits_->GetReport();
}

std::optional<std::int64_t> TokenPlane::ContactToReport() {
  const std::optional<TableContact> commit = table_->LastCommitContact();
  const std::optional<TableContact> clock = table_->LastContact();
  if (!commit.has_value() || !clock.has_value()) return std::nullopt;
  ledger_.RecordContact(commit->sent);
  const absl::Time now = scheduler_->Now();
  const absl::Duration max_age =
      std::max(kMinMaxContactAge, instances_ * kMaxContactAgePerInstance);
  if (now - commit->received > max_age || !ledger_.IsWithinAuthorized()) {
    return std::nullopt;
  }
  // The limit doesn't grow from before the time that the heartbeat states. The
  // platform's clock shows at least this value now.
  ledger_.RecordReportedTime(now);
  return clock->platform_ms + absl::ToInt64Milliseconds(now - clock->received);
}

std::optional<Endpoint> TokenPlane::FindHomeInstance(
    const CustomerId& customer,
    const std::function<bool(const Endpoint&)>& is_usable) const {
  return registry_.FindHomeInstance(customer.value(), is_usable);
}

std::vector<Endpoint> TokenPlane::RankInstances(
    const CustomerId& customer) const {
  std::vector<Endpoint> ranked = registry_.RankInstances(customer.value());
  return ranked.empty() ? Peers() : ranked;
}

void TokenPlane::OnLedgerChanged(const CustomerId& customer) {
  // The requests that still wait state their needs again.
  ledger_.ForgetWaitingRequests(customer);
  owner_->OnTokensChanged(customer);
  OnWaitingForTokens();
}

}  // namespace wisteriareel
