#include "src/app/request_plane.h"

namespace wisteriareel {
namespace {

// Interval between attempts to confirm claim changes at shutdown.
constexpr absl::Duration kDrainRetryInterval = absl::Milliseconds(50);

RequestTimeouts TimeoutsOf(const TimeoutSettings& settings) {
  return {.chat = settings.request,
          .connect = settings.target_connect,
          .stream_first_byte = settings.target_first_byte};
}

}  // namespace

RequestPlane::RequestPlane(const Settings& settings,
                           const SharedDependencies& dependencies,
                           ControlPlane* control, BudgetPlane* budgets)
    : dependencies_(dependencies),
      targets_({.connections = {.tls = settings.tls.targets}}),
      claims_({.instance = settings.instance.id,
               .table = dependencies.table,
               .objects = dependencies.objects,
               .membership = control->membership(),
               .clock = dependencies.clock,
               .events = dependencies.events,
               .call_timeout = settings.platform.timeout}),
      admission_({.clock = dependencies.clock}),
      selector_({.instance = settings.instance.id,
                 .zone = settings.instance.zone,
                 .region = settings.instance.region,
                 .config = control->config(),
                 .membership = control->membership(),
                 .clock = dependencies.clock,
                 .random = dependencies.random,
                 .events = dependencies.events}),
      service_({.instance = settings.instance.id,
                .zone = settings.instance.zone,
                .config = control->config(),
                .budget = budgets->grant_manager(),
                .journal = budgets->journal(),
                .targets = &targets_,
                .selector = &selector_,
                .claims = &claims_,
                .admission = &admission_,
                .membership = control->membership(),
                .clock = dependencies.clock,
                .random = dependencies.random,
                .counters = dependencies.counters,
                .events = dependencies.events,
                .timeouts = TimeoutsOf(settings.timeouts)}) {}

void RequestPlane::Start() {
  claims_loop_.Start([this] { return claims_.Step(); });
  selector_loop_.Start([this] {
    selector_.Refresh();
    return FleetSelector::kRefreshInterval;
  });
}

RequestDrainReport RequestPlane::Drain(absl::Time deadline) {
  return service_.Drain(deadline);
}

int RequestPlane::ConfirmClaims(absl::Time deadline) {
  while (claims_.CountUnconfirmed() > 0 &&
         dependencies_.clock->Now() < deadline) {
    claims_.Step();
    dependencies_.clock->Sleep(kDrainRetryInterval);
  }
  return claims_.CountUnconfirmed();
}

void RequestPlane::Stop() {
  selector_loop_.Stop();
  claims_loop_.Stop();
}

}  // namespace wisteriareel
