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

// The balancer asks once a second and stops sending after two misses.
constexpr absl::Duration kBalancerNotice = absl::Milliseconds(3500);
constexpr absl::Duration kShutdownTick = absl::Milliseconds(50);
// Left of the grace for closing down whatever is under way.
constexpr absl::Duration kGraceMargin = absl::Milliseconds(400);
// Longest wait for the return of unspent tokens at the end.
constexpr absl::Duration kTokenReturn = absl::Milliseconds(1200);
constexpr double kBytesPerMbit = 1e6 / 8;
constexpr char kMetricsPath[] = "/metrics";

}  // namespace

RouterDaemon::RouterDaemon(RouterSettings settings,
                           const RouterPlatform& platform,
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
      pool_({.zone = settings_.instance.zone}),
      repeats_({.ratio = settings_.repeats.ratio,
                .slack = settings_.repeats.slack,
                .window = settings_.repeats.window}),
      ledger_({.instance = settings_.instance.id.value(),
               .incarnation = random_->HexId()}),
      router_({}),
      targets_(SystemClock()),
      overload_({.link_bytes_per_s = settings_.link_mbps * kBytesPerMbit}),
      loads_(platform.loads, &pool_, SystemClock()),
      services_({.io = io,
                 .clock = SystemClock(),
                 .codec = platform.codec,
                 .router = &router_,
                 .targets = &targets_,
                 .loads = &loads_,
                 .overload = &overload_,
                 .random = random_.get(),
                 .exchange = {.pool = &pool_,
                              .retry_limiter = &repeats_,
                              .overload = &overload_,
                              .ledger = &ledger_,
                              .log = log,
                              .counters = &counters_},
                 .owner = this}),
      config_watch_({}, platform.source, &router_, &scheduler_, log,
                    [this] { OnConfigApplied(); }),
      target_watch_({}, platform.source, &pool_, &scheduler_, log,
                    [this](const TargetId& id) { targets_.Drop(id); }),
      member_watch_(
          {.self = settings_.instance.id, .address = settings_.listen.peers},
          platform.table, &scheduler_, static_cast<MemberWatchOwner*>(this)),
      ledger_runner_(&ledger_, platform.table, &scheduler_, log,
                     [this](const CustomerId& id) { OnLedgerChanged(id); }),
      peer_help_(
          {}, io, &scheduler_, random_.get(), &router_, &config_watch_,
          [this] {
            return !config_watch_.source_answers() ||
                   !target_watch_.source_answers();
          },
          [this] { return Peers(); }),
      peer_loans_({}, io, &scheduler_, random_.get(), &ledger_, log,
                  static_cast<LoanPeers*>(this)),
      ready_server_(io, [this](const std::string&, const std::string&,
                               const std::string&) { return AnswerReady(); }),
      peer_server_(io,
                   [this](const std::string&, const std::string& target,
                          const std::string&) { return AnswerPeer(target); }),
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
  config_watch_.Start();
  target_watch_.Start();
  member_watch_.Start();
  peer_help_.Start();
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
      // Out of descriptors: those that are open have to end first.
      scheduler_.After(absl::Milliseconds(20), [this] { Accept(); });
      return;
    }
    const auto connection =
        std::make_shared<CallerConnection>(services_, std::move(socket));
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

bool RouterDaemon::Ready() const {
  return !draining_ && router_.table() != nullptr && pool_.listed() &&
         !overload_.IsOverloaded(scheduler_.Now());
}

HttpReply RouterDaemon::AnswerReady() const {
  if (Ready()) return {.status = 200, .body = "ready\n"};
  return {.status = 503, .body = draining_ ? "draining\n" : "starting\n"};
}

HttpReply RouterDaemon::AnswerPeer(const std::string& target) {
  if (target == kMetricsPath) return {.status = 200, .body = counters_.Page()};
  const std::string loan_path(kPeerLoanPath);
  if (target.starts_with(loan_path)) {
    const std::optional<std::string> answer = PeerLoans::AnswerLoan(
        target.substr(loan_path.size()), &ledger_, scheduler_.Now());
    // The home may have to order what it was asked for.
    ledger_runner_.Poke();
    if (answer.has_value()) return {.status = 200, .body = *answer};
    return {.status = 404};
  }
  const std::string gift_path(kPeerTransferPath);
  if (target.starts_with(gift_path)) {
    const bool taken =
        !draining_ &&
        PeerLoans::AcceptTransfer(target.substr(gift_path.size()), &ledger_);
    return {.status = taken ? 200 : 404};
  }
  std::uint64_t revision = 0;
  const std::string path(kPeerConfigPath);
  if (!target.starts_with(path) ||
      !absl::SimpleAtoi(target.substr(path.size()), &revision)) {
    return {.status = 404};
  }
  return {.status = 200,
          .body = PeerHelp::AnswerConfig(
              Revision(revision), router_, config_watch_.text().get(),
              config_watch_.source_answers() &&
                  !router_.IsStale(scheduler_.Now()))};
}

void RouterDaemon::OnConfigApplied() {
  ledger_.SetBudgets(router_.table()->config(), scheduler_.Now());
  UpdateHomes();
  ledger_runner_.Poke();
}

void RouterDaemon::OnOwnPast(const std::optional<Heartbeat>& last) {
  // The earlier life ended before this one began.
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
              "holdings of an earlier life are taken over",
              {{"reserve", use == InheritedUse::kAll ? "lost" : "kept"},
               {"since_contact", absl::FormatDuration(since)}});
  ledger_runner_.Start();
}

std::optional<std::int64_t> RouterDaemon::ContactToTell() {
  const std::optional<TableContact> contact = table_->LastContact();
  if (!contact.has_value()) return std::nullopt;
  ledger_.RecordContact(contact->sent);
  if (!ledger_.IsWithinAuthorized()) return std::nullopt;
  return contact->platform_ms;
}

void RouterDaemon::OnInstancesCounted(int count) {
  repeats_.SetInstances(count);
  ledger_.SetInstances(count);
  UpdateHomes();
}

void RouterDaemon::UpdateHomes() {
  ledger_.SetHomeCustomers([this](const CustomerId& customer) {
    return !HomeOf(customer).has_value();
  });
}

std::optional<Endpoint> RouterDaemon::HomeOf(const CustomerId& customer) const {
  return member_watch_.HomeOf(customer.value());
}

void RouterDaemon::OnLedgerChanged(const CustomerId& customer) {
  const std::vector<std::shared_ptr<CallerConnection>> connections(
      connections_.begin(), connections_.end());
  for (const auto& connection : connections) {
    if (connection->WaitsFor(customer)) connection->OnLedgerChanged();
  }
  OnWaitingForTokens();
}

void RouterDaemon::OnWaitingForTokens() {
  ledger_runner_.Poke();
  peer_loans_.Poke();
}

std::vector<Endpoint> RouterDaemon::RankedFor(
    const CustomerId& customer) const {
  std::vector<Endpoint> ranked = member_watch_.RankedFor(customer.value());
  return ranked.empty() ? Peers() : ranked;
}

std::vector<Endpoint> RouterDaemon::Peers() const {
  std::vector<Endpoint> peers = member_watch_.Others();
  if (peers.empty()) peers = settings_.seeds;
  std::erase(peers, settings_.listen.peers);
  return peers;
}

void RouterDaemon::OnConnectionClosed(CallerConnection* connection) {
  connections_.erase(connection->shared_from_this());
}

bool RouterDaemon::AnyBusy() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& connection) { return connection->busy(); });
}

void RouterDaemon::BeginShutdown() {
  draining_ = true;
  draining_since_ = scheduler_.Now();
  log_->Write(EventId::kDaemonDraining, Severity::kInfo, "router drains",
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
    if (!AnyBusy() || elapsed >= latest - kTokenReturn) {
      if (!returning_tokens_) ledger_.StartReturningTokens();
      returning_tokens_ = true;
      peer_loans_.TransferTokens();
      ledger_runner_.Poke();
    }
    const bool quiet = !AnyBusy() && ledger_.IsSettled();
    if (quiet || elapsed >= latest) {
      // Heartbeats go on until here: if the process is killed before, they
      // show what it can't have used.
      if (quiet) member_watch_.Leave();
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
