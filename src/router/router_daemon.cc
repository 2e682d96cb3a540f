#include "src/router/router_daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "src/runtime/socket_options.h"

namespace wisteriareel {
namespace {

// Time between two checks of the progress of a shutdown.
constexpr absl::Duration kShutdownTick = absl::Milliseconds(50);
// Time between two checks that the event loop runs, and the delay of a check
// that is logged.
constexpr absl::Duration kLoopCheckInterval = absl::Milliseconds(500);
constexpr absl::Duration kLoopStall = absl::Milliseconds(500);
// Time between two checks of the progress of the exit.
constexpr absl::Duration kExitTick = absl::Milliseconds(10);
constexpr double kBytesPerMbit = 1e6 / 8;
constexpr double kBytesPerMegabyte = 1e6;
constexpr char kMetricsPath[] = "/metrics";

// Returns what the settings state, less where the kernel's limit for the
// process is lower.
MachineLimits ReadMachineLimits(const RouterMachineSettings& settings) {
  auto descriptors = static_cast<std::size_t>(settings.max_descriptors);
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    descriptors = std::min<std::size_t>(descriptors, limit.rlim_cur);
  }
  return {.memory_bytes =
              static_cast<std::size_t>(settings.memory_mb * kBytesPerMegabyte),
          .descriptors = descriptors};
}

}  // namespace

RouterDaemon::RouterDaemon(RouterSettings settings,
                           const RouterDependencies& platform,
                           boost::asio::io_context* io, EventLog* log,
                           std::function<void()> reload)
    : settings_(std::move(settings)),
      io_(io),
      log_(log),
      reload_(std::move(reload)),
      random_(MakeSystemRandom()),
      scheduler_(io, SystemClock()),
      rate_limits_({.self = settings_.instance.id}),
      target_pool_({.zone = settings_.instance.zone}, &rate_limits_),
      limited_returns_({}),
      retry_limiter_({.ratio = settings_.retry.ratio,
                      .slack = settings_.retry.slack,
                      .window = settings_.retry.window}),
      rate_limit_sync_({}, {.limits = &rate_limits_,
                            .table = platform.table,
                            .scheduler = &scheduler_,
                            .log = log}),
      peer_client_(io),
      tokens_({.instance = settings_.instance.id,
               .incarnation = random_->HexId(),
               .address = settings_.listen.peers,
               .seeds = settings_.seeds},
              {.table = platform.table,
               .peers = &peer_client_,
               .scheduler = &scheduler_,
               .random = random_.get(),
               .log = log,
               .owner = static_cast<TokenPlaneOwner*>(this),
               .rate_limits = &rate_limit_sync_}),
      router_({}),
      target_connections_(SystemClock()),
      overload_({.link_bytes_per_s = settings_.link_mbps * kBytesPerMbit}),
      connection_shares_(DivideMachine(ReadMachineLimits(settings_.machine))),
      connection_limiter_(connection_shares_.callers),
      load_probe_(platform.loads, &target_pool_, SystemClock()),
      quarantine_sync_({.self = settings_.instance.id},
                       {.quarantine = &quarantine_,
                        .table = platform.table,
                        .peers = &peer_client_,
                        .scheduler = &scheduler_,
                        .random = random_.get(),
                        .log = log,
                        .list_peers = [this] { return tokens_.Peers(); },
                        .quarantined = [this] { OnPromptQuarantined(); }}),
      caller_dependencies_({.io = io,
                            .clock = SystemClock(),
                            .codec = platform.codec,
                            .router = &router_,
                            .target_connections = &target_connections_,
                            .load_probe = &load_probe_,
                            .overload = &overload_,
                            .limiter = &connection_limiter_,
                            .random = random_.get(),
                            .exchange = {.pool = &target_pool_,
                                         .retry_limiter = &retry_limiter_,
                                         .overload = &overload_,
                                         .ledger = tokens_.ledger(),
                                         .quarantine = &quarantine_,
                                         .limited_returns = &limited_returns_,
                                         .limiter = &connection_limiter_,
                                         .log = log,
                                         .counters = &counters_},
                            .owner = this}),
      config_poller_(
          {}, platform.source, &router_, &scheduler_, log,
          [this] { tokens_.ApplyConfig(router_.table()->config()); }),
      target_list_poller_(
          {}, platform.source, &target_pool_, &scheduler_, log,
          [this](const TargetId& id) { target_connections_.CloseIdle(id); }),
      config_fetcher_(
          {}, io, &scheduler_, random_.get(), &router_, &config_poller_,
          [this] {
            return !config_poller_.source_available() ||
                   !target_list_poller_.source_available();
          },
          [this] { return tokens_.Peers(); }),
      ready_server_(
          io,
          [this](const std::string&, const std::string&, const std::string&) {
            return HandleReadyRequest();
          },
          connection_shares_.ready),
      peer_server_(
          io,
          [this](const std::string&, const std::string& target,
                 const std::string&) { return HandlePeerRequest(target); },
          connection_shares_.peers),
      acceptor_(*io),
      signals_(*io, SIGTERM, SIGINT, SIGHUP),
      shutdown_({.grace = settings_.shutdown_grace}) {}

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
  tokens_.Start();
  config_fetcher_.Start();
  quarantine_sync_.Start();
  CheckLoop(scheduler_.Now());
  log_->Write(EventId::kDaemonStarted, Severity::kInfo, "router started",
              {{"instance", settings_.instance.id.value()},
               {"zone", settings_.instance.zone.value()},
               {"callers", absl::StrCat(settings_.listen.callers.host, ":",
                                        settings_.listen.callers.port)}});
  return true;
}

void RouterDaemon::Run() { io_->run(); }

void RouterDaemon::Accept() {
  if (!acceptor_.is_open()) return;
  acceptor_.async_accept([this](boost::system::error_code ec,
                                boost::asio::ip::tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted) return;
    if (ec) {
      // Typically out of file descriptors: retry after open ones were closed.
      scheduler_.After(absl::Milliseconds(20), [this] { Accept(); });
      return;
    }
    AddConnection(std::move(socket));
    Accept();
  });
}

void RouterDaemon::AddConnection(boost::asio::ip::tcp::socket socket) {
  const auto connection = std::make_shared<CallerConnection>(
      caller_dependencies_, std::move(socket));
  connections_.insert(connection);
  connection->Start();
  connection_limiter_.GiveUpExcess(scheduler_.Now());
}

void RouterDaemon::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code ec, int signal) {
    if (ec) return;
    if (signal == SIGHUP) {
      reload_();
    } else if (!shutdown_.IsDraining()) {
      BeginShutdown();
    }
    WaitForSignal();
  });
}

void RouterDaemon::CheckLoop(absl::Time due) {
  const absl::Time now = scheduler_.Now();
  if (now - due > kLoopStall) {
    log_->Write(EventId::kLoopStalled, Severity::kWarning,
                "the event loop stood still; all requests were delayed",
                {{"ms", absl::StrCat(absl::ToInt64Milliseconds(now - due))}});
  }
  scheduler_.After(kLoopCheckInterval, [this, next = now + kLoopCheckInterval] {
    CheckLoop(next);
  });
}

bool RouterDaemon::IsReady() const {
  return !shutdown_.IsDraining() && router_.table() != nullptr &&
         target_pool_.listed() && !overload_.IsOverloaded(scheduler_.Now());
}

HttpResponse RouterDaemon::HandleReadyRequest() const {
  if (IsReady()) return {.status = 200, .body = "ready\n"};
  return {.status = 503,
          .body = shutdown_.IsDraining() ? "draining\n" : "starting\n"};
}

HttpResponse RouterDaemon::HandlePeerRequest(const std::string& target) {
  if (target == kMetricsPath)
    return {.status = 200, .body = counters_.FormatMetrics()};
  if (const auto response = tokens_.HandlePeerRequest(target)) {
    return {.status = 200, .body = *response};
  }
  if (const auto response = quarantine_sync_.HandlePeerRequest(target)) {
    return {.status = 200, .body = *response};
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

void RouterDaemon::OnInstancesCounted(int count) {
  retry_limiter_.SetInstances(count);
  limited_returns_.SetInstances(count);
}

void RouterDaemon::OnTokensChanged(const CustomerId& customer) {
  ForEachConnection([&customer](CallerConnection* connection) {
    if (connection->IsWaitingForTokensOf(customer)) {
      connection->OnLedgerChanged();
    }
  });
}

void RouterDaemon::OnPromptQuarantined() {
  ForEachConnection(
      [](CallerConnection* connection) { connection->OnPromptQuarantined(); });
}

void RouterDaemon::OnConnectionClosed(CallerConnection* connection) {
  connections_.erase(connection->shared_from_this());
}

void RouterDaemon::ForEachConnection(
    const std::function<void(CallerConnection*)>& call) {
  const std::vector<std::shared_ptr<CallerConnection>> connections(
      connections_.begin(), connections_.end());
  for (const auto& connection : connections) call(connection.get());
}

ShutdownProgress RouterDaemon::GetShutdownProgress() const {
  ShutdownProgress progress{.has_tokens = !tokens_.IsSettled()};
  for (const auto& connection : connections_) {
    progress.has_requests |= connection->busy() || connection->HasUnreadBytes();
    progress.has_output |= connection->HasOutput();
  }
  return progress;
}

void RouterDaemon::BeginShutdown() {
  shutdown_.Begin(scheduler_.Now());
  tokens_.StartDraining();
  log_->Write(EventId::kDaemonDraining, Severity::kInfo, "router draining",
              {{"connections", absl::StrCat(connections_.size())}});
  ContinueShutdown();
}

void RouterDaemon::ContinueShutdown() {
  switch (shutdown_.NextStep(GetShutdownProgress(), scheduler_.Now())) {
    case ShutdownStep::kServe:
      break;
    case ShutdownStep::kReturnTokens:
      tokens_.ReturnTokens();
      [[fallthrough]];
    case ShutdownStep::kClose:
      ForEachConnection(
          [](CallerConnection* connection) { connection->CloseIfIdle(); });
      break;
    case ShutdownStep::kEndRequests:
      ForEachConnection(
          [](CallerConnection* connection) { connection->EndForShutdown(); });
      break;
    case ShutdownStep::kExitClean:
      // Heartbeats continue until here: if the process is killed earlier, the
      // last one shows whether it can have used the reserve.
      tokens_.Leave();
      BeginExit("clean");
      return;
    case ShutdownStep::kExit:
      BeginExit("grace over");
      return;
  }
  scheduler_.After(kShutdownTick, [this] { ContinueShutdown(); });
}

void RouterDaemon::BeginExit(std::string_view how) {
  shutdown_.BeginExit(scheduler_.Now());
  AcceptQueued();
  ContinueExit(how);
}

void RouterDaemon::ContinueExit(std::string_view how) {
  ForEachConnection(
      [](CallerConnection* connection) { connection->EndForShutdown(); });
  if (shutdown_.NextExitStep(GetShutdownProgress(), scheduler_.Now()) ==
      ExitStep::kEnd) {
    Stop(how);
    return;
  }
  scheduler_.After(kExitTick, [this, how] { ContinueExit(how); });
}

void RouterDaemon::AcceptQueued() {
  boost::system::error_code ec;
  acceptor_.non_blocking(true, ec);
  for (;;) {
    boost::asio::ip::tcp::socket socket = acceptor_.accept(ec);
    if (ec) break;
    AddConnection(std::move(socket));
  }
  acceptor_.close(ec);
}

void RouterDaemon::Stop(std::string_view how) {
  const auto unfinished = std::count_if(
      connections_.begin(), connections_.end(), [](const auto& connection) {
        return connection->busy() || connection->HasOutput();
      });
  // Each request has a line in the log, also if its response can't be sent.
  ForEachConnection(
      [](CallerConnection* connection) { connection->EndForShutdown(); });
  log_->Write(EventId::kDaemonStopped, Severity::kInfo, "router stopped",
              {{"how", std::string(how)},
               {"connections", absl::StrCat(connections_.size())},
               {"unfinished", absl::StrCat(unfinished)}});
  ForEachConnection([](CallerConnection* connection) { connection->Close(); });
  io_->stop();
}

}  // namespace wisteriareel
