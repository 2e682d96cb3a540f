#include "src/app/budget_plane.h"

#include <algorithm>

namespace wisteriareel {
namespace {

// Pause between two tries to hand back what is held at shutdown.
constexpr absl::Duration kDrainPause = absl::Milliseconds(50);

constexpr double kPercent = 100;

int LiveMembers(const MembershipView& membership) {
  int live = 0;
  for (const Member& member : membership.AllMembers()) {
    if (member.state == MemberState::kDead) continue;
    ++live;
  }
  return std::max(live, 1);
}

}  // namespace

BudgetPlane::BudgetPlane(const Settings& settings,
                         const SharedDependencies& parts,
                         const MembershipView* membership)
    : parts_(parts),
      membership_(membership),
      policy_(MakeHorizonSizing(
          {.false_refusal_weight =
               settings.budgets.false_refusal_weight_percent / kPercent,
           .max_outage = settings.budgets.grant_horizon})),
      journal_({.instance = settings.instance.id,
                .flush_interval = settings.budgets.record_flush},
               parts.objects, parts.clock, parts.random, parts.counters,
               parts.events),
      keeper_({.instance = settings.instance.id,
               .lease = settings.budgets.grant_lease,
               .table_timeout = settings.platform.timeout},
              {.table = parts.table,
               .policy = policy_.get(),
               .journal = &journal_,
               .clock = parts.clock,
               .random = parts.random,
               .counters = parts.counters,
               .events = parts.events}),
      reclaimer_({.timeout = settings.platform.timeout}, parts.table,
                 parts.objects, parts.counters, parts.events),
      reader_(parts.objects),
      admin_({}, parts.table, parts.clock) {
  keeper_.SetWake([this] { grant_loop_.Wake(); });
}

void BudgetPlane::Start() {
  journal_loop_.Start([this] { return journal_.Step(); });
  grant_loop_.Start([this] { return GrantStep(); });
}

absl::Duration BudgetPlane::GrantStep() {
  keeper_.SetHolders(LiveMembers(*membership_));
  return keeper_.Step();
}

BudgetDrainReport BudgetPlane::Drain(absl::Time deadline) {
  keeper_.BeginDrain();
  BudgetDrainReport report;
  while (true) {
    // Spend can be reported only once its records are kept.
    journal_.Step();
    report.records_left = journal_.pending_records();
    report.grants_returned = keeper_.FinishDrain();
    if (report.grants_returned && report.records_left == 0) return report;
    if (parts_.clock->Now() >= deadline) return report;
    parts_.clock->Sleep(kDrainPause);
  }
}

void BudgetPlane::Stop() {
  grant_loop_.Stop();
  journal_loop_.Stop();
}

}  // namespace wisteriareel
