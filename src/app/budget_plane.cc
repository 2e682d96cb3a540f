#include "src/app/budget_plane.h"

#include <algorithm>

namespace wisteriareel {
namespace {

// Interval between attempts to flush records and return grants at shutdown.
constexpr absl::Duration kDrainRetryInterval = absl::Milliseconds(50);

constexpr double kPercent = 100;

int CountLiveMembers(const MembershipView& membership) {
  int live = 0;
  for (const Member& member : membership.AllMembers()) {
    if (member.state == MemberState::kDead) continue;
    ++live;
  }
  return std::max(live, 1);
}

}  // namespace

BudgetPlane::BudgetPlane(const Settings& settings,
                         const SharedDependencies& dependencies,
                         const MembershipView* membership)
    : dependencies_(dependencies),
      membership_(membership),
      policy_(MakeHorizonSizing(
          {.false_refusal_weight =
               settings.budgets.false_refusal_weight_percent / kPercent,
           .max_outage = settings.budgets.grant_horizon})),
      journal_({.instance = settings.instance.id,
                .flush_interval = settings.budgets.record_flush},
               dependencies.objects, dependencies.clock, dependencies.random,
               dependencies.counters, dependencies.events),
      grant_manager_({.instance = settings.instance.id,
                      .lease = settings.budgets.grant_lease,
                      .table_timeout = settings.platform.timeout},
                     {.table = dependencies.table,
                      .policy = policy_.get(),
                      .journal = &journal_,
                      .clock = dependencies.clock,
                      .random = dependencies.random,
                      .counters = dependencies.counters,
                      .events = dependencies.events}),
      reclaimer_({.timeout = settings.platform.timeout}, dependencies.table,
                 dependencies.objects, dependencies.counters,
                 dependencies.events),
      reader_(dependencies.objects),
      admin_({}, dependencies.table, dependencies.clock) {
  grant_manager_.SetWake([this] { grant_loop_.Wake(); });
}

void BudgetPlane::Start() {
  journal_loop_.Start([this] { return journal_.Step(); });
  grant_loop_.Start([this] { return GrantStep(); });
}

absl::Duration BudgetPlane::GrantStep() {
  grant_manager_.SetHolders(CountLiveMembers(*membership_));
  return grant_manager_.Step();
}

BudgetDrainReport BudgetPlane::Drain(absl::Time deadline) {
  grant_manager_.BeginDrain();
  BudgetDrainReport report;
  while (true) {
    // Spend can be settled only after its records are persisted.
    journal_.Step();
    report.records_left = journal_.pending_records();
    report.grants_returned = grant_manager_.FinishDrain();
    if (report.grants_returned && report.records_left == 0) return report;
    if (dependencies_.clock->Now() >= deadline) return report;
    dependencies_.clock->Sleep(kDrainRetryInterval);
  }
}

void BudgetPlane::Stop() {
  grant_loop_.Stop();
  journal_loop_.Stop();
}

}  // namespace wisteriareel
