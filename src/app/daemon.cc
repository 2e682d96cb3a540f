#include "src/app/daemon.h"

#include <cstdint>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace wisteriareel {
namespace {

// Timeouts of the shutdown steps that follow the drain of requests.
constexpr absl::Duration kClaimDrainTimeout = absl::Seconds(10);
constexpr absl::Duration kBudgetDrainTimeout = absl::Seconds(10);
constexpr absl::Duration kListenerStopTimeout = absl::Seconds(5);

}  // namespace

Daemon::Daemon(Settings settings, EventLog* events)
    : settings_(std::move(settings)),
      events_(events),
      random_(MakeSystemRandom()),
      request_ids_(settings_.instance.id, SystemClock(), random_.get()),
      table_(MakePlatformOptions(settings_.platform.table), &counters_),
      objects_(MakePlatformOptions(settings_.platform.object_store)),
      instances_(MakePlatformOptions(settings_.platform.instance_list)),
      peers_(MakePeerTransportOptions()),
      dependencies_(MakeSharedDependencies()),
      control_(settings_, dependencies_, &dispatcher_),
      budgets_(settings_, dependencies_, control_.membership()),
      requests_(settings_, dependencies_, &control_, &budgets_),
      singleton_tasks_(settings_, dependencies_, &control_, &budgets_),
      caller_server_(MakeCallerServerOptions(), MakeCallerServerDependencies()),
      operator_server_(MakeOperatorServerOptions()) {
  AddGauges();
}

Daemon::~Daemon() {
  caller_server_.Stop(absl::ZeroDuration());
  operator_server_.Stop(absl::ZeroDuration());
  StopLoops();
}

void Daemon::StopLoops() {
  singleton_tasks_.Stop();
  requests_.Stop();
  budgets_.Stop();
  control_.Stop();
  peers_.Stop();
}

PlatformClientOptions Daemon::MakePlatformOptions(
    const Endpoint& endpoint) const {
  return {.endpoint = endpoint, .connections = {.tls = settings_.tls.platform}};
}

WebsocketPeerTransportOptions Daemon::MakePeerTransportOptions() {
  return {.self = settings_.instance.id,
          .listen = settings_.listen.peers,
          .secret = settings_.peers.secret,
          .heartbeat = settings_.peers.heartbeat,
          .receive_timeout = settings_.peers.idle_timeout,
          .max_connections = settings_.peers.max_connections,
          .tls = settings_.tls.peers,
          .random = random_.get(),
          .counters = &counters_,
          .events = events_};
}

SharedDependencies Daemon::MakeSharedDependencies() {
  return {.clock = SystemClock(),
          .random = random_.get(),
          .counters = &counters_,
          .events = events_,
          .table = &table_,
          .objects = &objects_,
          .instances = &instances_,
          .peers = &peers_};
}

CallerServerOptions Daemon::MakeCallerServerOptions() const {
  CallerServerOptions options;
  options.listener.endpoint = settings_.listen.callers;
  options.listener.tls = settings_.tls.callers;
  options.listener.events = events_;
  options.listener.limits.max_connections = settings_.limits.max_connections;
  options.listener.limits.max_body_bytes = settings_.limits.max_body_bytes;
  options.listener.limits.head_timeout = settings_.timeouts.caller_read;
  options.listener.limits.write_timeout = settings_.timeouts.caller_write;
  options.default_timeout = settings_.timeouts.request;
  return options;
}

CallerServerDependencies Daemon::MakeCallerServerDependencies() {
  return {.config = control_.config(),
          .handler = requests_.service(),
          .random = random_.get(),
          .next_request_id = [this] { return request_ids_.Next(); },
          .counters = &counters_,
          .ready = [this] { return Ready(); },
          .metrics = [this] { return counters_.FormatMetrics(); }};
}

OperatorServerOptions Daemon::MakeOperatorServerOptions() {
  OperatorServerOptions options;
  options.listen = settings_.listen.operators;
  options.tls = settings_.tls.operators;
  OperatorServices& services = options.services;
  services.config_store = control_.store();
  services.config_view = control_.config();
  services.budget_admin = budgets_.admin();
  services.record_reader = budgets_.reader();
  services.claim_admin = requests_.claim_admin();
  services.membership = control_.membership();
  services.drain = this;
  services.counters = &counters_;
  services.events = events_;
  services.instance = settings_.instance.id;
  services.region = settings_.instance.region;
  services.zone = settings_.instance.zone;
  services.program_version = WISTERIAREEL_VERSION;
  services.credentials = OperatorCredentials(settings_.operators);
  services.call_timeout = settings_.timeouts.operator_call;
  return options;
}

void Daemon::AddGauges() {
  counters_.AddGauge(
      {.name = "requests_in_flight",
       .help = "Requests being served.",
       .read = [this] { return requests_.service()->CountInFlight(); }});
  counters_.AddGauge({.name = "caller_connections",
                      .help = "Open connections of callers.",
                      .read = [this] { return caller_server_.connections(); }});
  counters_.AddGauge({.name = "config_revision",
                      .help = "Revision of the configuration in force.",
                      .read = [this] {
                        return control_.config()->Current()->revision().value();
                      }});
  counters_.AddGauge(
      {.name = "reclaim_duty_held",
       .help = "1 while this instance reclaims grants of dead ones.",
       .read = [this] {
         return singleton_tasks_.reclaims_grants() ? 1.0 : 0.0;
       }});
  counters_.AddGauge(
      {.name = "records_waiting",
       .help = "Records not yet in the object store.",
       .read = [this] { return budgets_.journal()->pending_records(); }});
}

bool Daemon::Start(LastReason* reason) {
  if (!caller_server_.Start(reason)) return false;
  if (!operator_server_.Start(reason)) return false;
  if (!peers_.Start(&dispatcher_, reason)) return false;
  control_.Start();
  budgets_.Start();
  requests_.Start();
  singleton_tasks_.Start();
  events_->Write(EventId::kDaemonStarted, Severity::kInfo, "daemon started",
                 {{"instance", settings_.instance.id.value()},
                  {"zone", settings_.instance.zone.value()},
                  {"caller_port", absl::StrCat(caller_port())},
                  {"operator_port", absl::StrCat(operator_port())}});
  return true;
}

bool Daemon::Ready() const { return !draining_ && control_.ConfigLoaded(); }

void Daemon::RequestDrain() {
  if (draining_.exchange(true)) return;
  events_->Write(EventId::kDaemonDraining, Severity::kInfo, "drain started",
                 {});
  drain_requested_.Notify();
}

DrainProgress Daemon::Progress() const {
  return {.draining = draining_,
          .requests_in_flight =
              static_cast<std::uint64_t>(requests_.service().CountInFlight()),
          .records_unflushed = budgets_.journal().pending_records()};
}

ShutdownReport Daemon::Shutdown() {
  RequestDrain();
  Clock* clock = dependencies_.clock;
  // The load balancer needs time to notice that this instance is not ready.
  // Requests that it sends meanwhile are served as usual.
  clock->Sleep(settings_.timeouts.balancer_notice);
  caller_server_.BeginDrain();
  const absl::Time deadline = clock->Now() + settings_.timeouts.drain;
  const RequestDrainReport drained = requests_.Drain(deadline);
  caller_server_.Stop(kListenerStopTimeout);

  ShutdownReport report;
  report.requests_left = drained.in_flight_left;
  report.claims_left =
      requests_.ConfirmClaims(clock->Now() + kClaimDrainTimeout);
  const BudgetDrainReport budgets =
      budgets_.Drain(clock->Now() + kBudgetDrainTimeout);
  report.records_left = budgets.records_left;
  report.grants_returned = budgets.grants_returned;
  operator_server_.Stop(kListenerStopTimeout);
  StopLoops();
  events_->Write(
      EventId::kDaemonStopped,
      report.clean() ? Severity::kInfo : Severity::kWarning, "daemon stopped",
      {{"requests_left", absl::StrCat(report.requests_left)},
       {"claims_left", absl::StrCat(report.claims_left)},
       {"records_left", absl::StrCat(report.records_left)},
       {"grants_returned", report.grants_returned ? "true" : "false"}});
  return report;
}

}  // namespace wisteriareel
