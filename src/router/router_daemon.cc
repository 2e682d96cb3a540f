#include "src/router/router_daemon.h"

#include <algorithm>
#include <csignal>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "src/runtime/socket_options.h"

namespace wisteriareel {
namespace {

// Time for the balancer to stop sending: it checks readiness once a second and
// stops after two failed checks.
constexpr absl::Duration kBalancerNotice = absl::Milliseconds(3500);
// Time between two checks of the progress of a shutdown.
constexpr absl::Duration kShutdownTick = absl::Milliseconds(50);
// Part of the shutdown grace that remains for ending the process, with requests
// cut off if any are still in progress.
constexpr absl::Duration kGraceMargin = absl::Milliseconds(400);
// Time before that margin at which unspent tokens are returned to the platform
// even if requests are still in progress.
constexpr absl::Duration kTokenReturn = absl::Milliseconds(1200);
constexpr double kBytesPerMbit = 1e6 / 8;
constexpr char kMetricsPath[] = "/metrics";

}  // namespace

RouterDaemon::RouterDaemon(RouterSettings settings,
                           const RouterDependencies& platform,
                           boost::asio::io_context* io, EventLog* log,
                           std::function<void()> reload)
    : settings_(std::move(settings)),
      table_(platform.table),
      started_(SystemClock()->Now()),
      io_(io),
      log_(log),
      reload_(std::move(reload)),
      random_(MakeSystemRandom()),
      scheduler_(io, SystemClock()),
      target_pool_({.zone = settings_.instance.zone}),
      retry_limiter_({.ratio = settings_.retry.ratio,
                      .slack = settings_.retry.slack,
                      .window = settings_.retry.window}),
      ledger_({.instance = settings_.instance.id.value(),
               .incarnation = random_->HexId()}),
      router_({}),
      target_connections_(SystemClock()),
      overload_({.link_bytes_per_s = settings_.link_mbps * kBytesPerMbit}),
      load_probe_(platform.loads, &target_pool_, SystemClock()),
      caller_dependencies_({.io = io,
                            .clock = SystemClock(),
                            .codec = platform.codec,
                            .router = &router_,
                            .target_connections = &target_connections_,
                            .load_probe = &load_probe_,
                            .overload = &overload_,
                            .random = random_.get(),
                            .exchange = {.pool = &target_pool_,
                                         .retry_limiter = &retry_limiter_,
                                         .overload = &overload_,
                                         .ledger = &ledger_,
                                         .log = log,
                                         .counters = &counters_},
                            .owner = this}),
      config_poller_({}, platform.source, &router_, &scheduler_, log,
                     [this] { OnConfigApplied(); }),
      target_list_poller_(
          {}, platform.source, &target_pool_, &scheduler_, log,
          [this](const TargetId& id) { target_connections_.CloseIdle(id); }),
      instance_registry_(
          {.self = settings_.instance.id, .address = settings_.listen.peers},
          platform.table, &scheduler_,
          static_cast<InstanceRegistryOwner*>(this)),
      transaction_sender_(
          &ledger_, platform.table, &scheduler_, log,
          [this](const CustomerId& id) { OnLedgerChanged(id); }),
      config_fetcher_(
          {}, io, &scheduler_, random_.get(), &router_, &config_poller_,
          [this] {
            return !config_poller_.source_available() ||
                   !target_list_poller_.source_available();
          },
          [this] { return Peers(); }),
      peer_loans_({}, io, &scheduler_, random_.get(), &ledger_, log,
                  static_cast<LoanPeerDirectory*>(this)),
      ready_server_(
          io, [this](const std::string&, const std::string&,
                     const std::string&) { return HandleReadyRequest(); }),
      peer_server_(
          io, [this](const std::string&, const std::string& target,
                     const std::string&) { return HandlePeerRequest(target); }),
      acceptor_(*io),
      signals_(*io, SIGTERM, SIGINT, SIGHUP) {}

RouterDaemon::~RouterDaemon() = default;

bool RouterDaemon::Start(LastReason* reason) {
  if (!OpenListener(settings_.listen.callers, &acceptor_, reason) ||
      !ready_server_.Listen(settings_.listen.ready, reason) ||
      !peer_server_.Listen(settings_.listen.peers, reason)) {
    return false;
  }
  Accept();
  WaitForSignal();
  config_poller_.Start();
  target_list_poller_.Start();
  instance_registry_.Start();
  config_fetcher_.Start();
  log_->Write(EventId::kDaemonStarted, Severity::kInfo, "router started",
              {{"instance", settings_.instance.id.value()},
               {"zone", settings_.instance.zone.value()},
               {"callers", absl::StrCat(settings_.listen.callers.host, ":",
                                        settings_.listen.callers.port)}});
  return true;
}

void RouterDaemon::Run() { io_->run(); }

void RouterDaemon::Accept() {
  acceptor_.async_accept([this](boost::system::error_code ec,
                                boost::asio::ip::tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted) return;
    if (ec) {
      // Typically out of file descriptors: retry after open ones were closed.
      scheduler_.After(absl::Milliseconds(20), [this] { Accept(); });
      return;
    }
    const auto connection = std::make_shared<CallerConnection>(
        caller_dependencies_, std::move(socket));
    connections_.insert(connection);
    connection->Start();
    Accept();
  });
}

void RouterDaemon::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code ec, int signal) {
    if (ec) return;
    if (signal == SIGHUP) {
      reload_();
    } else if (!draining_) {
      BeginShutdown();
    }
    WaitForSignal();
  });
}

bool RouterDaemon::IsReady() const {
  return !draining_ && router_.table() != nullptr && target_pool_.listed() &&
         !overload_.IsOverloaded(scheduler_.Now());
}

HttpResponse RouterDaemon::HandleReadyRequest() const {
  if (IsReady()) return {.status = 200, .body = "ready\n"};
  return {.status = 503, .body = draining_ ? "draining\n" : "starting\n"};
}

HttpResponse RouterDaemon::HandlePeerRequest(const std::string& target) {
  if (target == kMetricsPath)
    return {.status = 200, .body = counters_.FormatMetrics()};
  const std::string loan_path(kPeerLoanPath);
  if (target.starts_with(loan_path)) {
    const std::optional<std::string> loan = PeerLoans::HandleLoanRequest(
        target.substr(loan_path.size()), &ledger_, scheduler_.Now());
    // The loan may leave too few tokens here, so that new ones must be
    // requested from the platform.
    transaction_sender_.SendDueTransactions();
    if (loan.has_value()) return {.status = 200, .body = *loan};
    return {.status = 404};
  }
  const std::string transfer_path(kPeerTransferPath);
  if (target.starts_with(transfer_path)) {
    const bool accepted =
        !draining_ && PeerLoans::AcceptTransfer(
                          target.substr(transfer_path.size()), &ledger_);
    return {.status = accepted ? 200 : 404};
  }
  std::uint64_t revision = 0;
  const std::string path(kPeerConfigPath);
  if (!target.starts_with(path) ||
      !absl::SimpleAtoi(target.substr(path.size()), &revision)) {
    return {.status = 404};
  }
  return {.status = 200,
          .body = PeerConfigFetcher::MakeConfigResponse(
              Revision(revision), router_, config_poller_.text().get(),
              config_poller_.source_available() &&
                  !router_.IsStale(scheduler_.Now()))};
}

void RouterDaemon::OnConfigApplied() {
  ledger_.SetBudgets(router_.table()->config(), scheduler_.Now());
  UpdateHomeInstances();
  transaction_sender_.SendDueTransactions();
}

void RouterDaemon::OnPreviousIncarnation(
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
  transaction_sender_.Start();
}

std::optional<std::int64_t> RouterDaemon::ContactToReport() {
  const std::optional<TableContact> contact = table_->LastContact();
  if (!contact.has_value()) return std::nullopt;
  ledger_.RecordContact(contact->sent);
  if (!ledger_.IsWithinAuthorized()) return std::nullopt;
  return contact->platform_ms;
}

void RouterDaemon::OnInstancesCounted(int count) {
  retry_limiter_.SetInstances(count);
  ledger_.SetInstances(count);
  UpdateHomeInstances();
}

void RouterDaemon::UpdateHomeInstances() {
  ledger_.SetHomeCustomers([this](const CustomerId& customer) {
    return !FindHomeInstance(customer).has_value();
  });
}

std::optional<Endpoint> RouterDaemon::FindHomeInstance(
    const CustomerId& customer) const {
  return instance_registry_.FindHomeInstance(customer.value());
}

void RouterDaemon::OnLedgerChanged(const CustomerId& customer) {
  const std::vector<std::shared_ptr<CallerConnection>> connections(
      connections_.begin(), connections_.end());
  for (const auto& connection : connections) {
    if (connection->IsWaitingForTokensOf(customer))
      connection->OnLedgerChanged();
  }
  OnWaitingForTokens();
}

void RouterDaemon::OnWaitingForTokens() {
  transaction_sender_.SendDueTransactions();
  peer_loans_.RequestLoans();
}

std::vector<Endpoint> RouterDaemon::RankInstances(
    const CustomerId& customer) const {
  std::vector<Endpoint> ranked =
      instance_registry_.RankInstances(customer.value());
  return ranked.empty() ? Peers() : ranked;
}

std::vector<Endpoint> RouterDaemon::Peers() const {
  std::vector<Endpoint> peers = instance_registry_.OtherInstances();
  if (peers.empty()) peers = settings_.seeds;
  std::erase(peers, settings_.listen.peers);
  return peers;
}

void RouterDaemon::OnConnectionClosed(CallerConnection* connection) {
  connections_.erase(connection->shared_from_this());
}

bool RouterDaemon::AnyConnectionBusy() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& connection) { return connection->busy(); });
}

void RouterDaemon::BeginShutdown() {
  draining_ = true;
  draining_since_ = scheduler_.Now();
  log_->Write(EventId::kDaemonDraining, Severity::kInfo, "router draining",
              {{"connections", absl::StrCat(connections_.size())}});
  ContinueShutdown();
}

void RouterDaemon::ContinueShutdown() {
  const absl::Duration elapsed = scheduler_.Now() - draining_since_;
  const absl::Duration latest = settings_.shutdown_grace - kGraceMargin;
  if (elapsed >= kBalancerNotice) {
    closing_ = true;
    const std::vector<std::shared_ptr<CallerConnection>> connections(
        connections_.begin(), connections_.end());
    for (const auto& connection : connections) connection->CloseIfIdle();
    if (!AnyConnectionBusy() || elapsed >= latest - kTokenReturn) {
      if (!returning_tokens_) ledger_.StartReturningTokens();
      returning_tokens_ = true;
      peer_loans_.TransferTokens();
      transaction_sender_.SendDueTransactions();
    }
    const bool quiet = !AnyConnectionBusy() && ledger_.IsSettled();
    if (quiet || elapsed >= latest) {
      // Heartbeats continue until here: if the process is killed earlier, the
      // last one shows whether it can have used the reserve.
      if (quiet) instance_registry_.Leave();
      scheduler_.After(kShutdownTick,
                       [this, quiet] { Stop(quiet ? "clean" : "grace over"); });
      return;
    }
  }
  scheduler_.After(kShutdownTick, [this] { ContinueShutdown(); });
}

void RouterDaemon::Stop(std::string_view how) {
  log_->Write(EventId::kDaemonStopped, Severity::kInfo, "router stopped",
              {{"how", std::string(how)},
               {"connections", absl::StrCat(connections_.size())}});
  io_->stop();
}

}  // namespace wisteriareel
