#include <algorithm>
#include <cstdint>
#include <memory>
#include <ostream>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "test/budget_fleet.h"

namespace wisteriareel {
namespace {

enum class EventKind {
  kRequest,
  kFinish,
  kRelease,
  kStep,
  kFlush,
  kTopUp,
  kAdvance,
  kCutLink,
  kRestoreLink,
  kLoseReplies,
  kLoseRequests,
  kDelayCommit,
  kDeliverDelayed,
  kLosePuts,
  kKill,
  kReplace,
  kReclaim,
  kPauseInReserve,
};

// One event of an interleaving. Each field is reduced to its valid range where
// it is used.
struct Event {
  EventKind kind = EventKind::kStep;
  int instance = 0;
  int budget = 0;
  int amount = 0;
};

std::ostream& operator<<(std::ostream& out, const Event& event) {
  return out << "{act " << static_cast<int>(event.kind) << ", i"
             << event.instance << ", b" << event.budget << ", " << event.amount
             << "}";
}

rc::Gen<EventKind> AnyEventKind() {
  return rc::gen::weightedElement<EventKind>({{30, EventKind::kRequest},
                                              {15, EventKind::kFinish},
                                              {4, EventKind::kRelease},
                                              {30, EventKind::kStep},
                                              {8, EventKind::kFlush},
                                              {4, EventKind::kTopUp},
                                              {8, EventKind::kAdvance},
                                              {3, EventKind::kCutLink},
                                              {4, EventKind::kRestoreLink},
                                              {5, EventKind::kLoseReplies},
                                              {3, EventKind::kLoseRequests},
                                              {3, EventKind::kDelayCommit},
                                              {3, EventKind::kDeliverDelayed},
                                              {2, EventKind::kLosePuts},
                                              {2, EventKind::kKill},
                                              {3, EventKind::kReplace},
                                              {4, EventKind::kReclaim},
                                              {4, EventKind::kPauseInReserve}});
}

rc::Gen<std::vector<Event>> AnyInterleaving(int instances) {
  // Limits the active instances, so that several events hit the same instance.
  const int active = std::min(instances, 12);
  const auto event = rc::gen::build<Event>(
      rc::gen::set(&Event::kind, AnyEventKind()),
      rc::gen::set(&Event::instance, rc::gen::inRange(0, active)),
      rc::gen::set(&Event::budget, rc::gen::inRange(0, 2)),
      rc::gen::set(&Event::amount, rc::gen::inRange(1, 400)));
  return rc::gen::resize(250, rc::gen::container<std::vector<Event>>(event));
}

constexpr absl::Duration kAdvances[] = {absl::Seconds(3), absl::Minutes(1),
                                        absl::Minutes(4), absl::Minutes(11)};

class BudgetLedgerTest : public testing::TestWithParam<int> {
 protected:
  void Apply(BudgetFleet& fleet, const Event& event) {
    BudgetInstance& instance = fleet.instance(event.instance);
    const auto n = static_cast<std::size_t>(event.amount);
    switch (event.kind) {
      case EventKind::kRequest:
        fleet.Request(event.instance, event.budget, event.amount);
        return;
      case EventKind::kFinish:
        fleet.Finish(event.instance, n, event.amount / 2, false);
        return;
      case EventKind::kRelease:
        fleet.Finish(event.instance, n, 0, true);
        return;
      case EventKind::kStep:
        if (instance.process) instance.process->manager.Step();
        return;
      case EventKind::kFlush:
        if (instance.process) instance.process->journal.Step();
        return;
      case EventKind::kTopUp:
        fleet.TopUp(event.budget, std::int64_t{3} * event.amount,
                    event.amount % 3);
        return;
      case EventKind::kAdvance:
        fleet.clock().Advance(kAdvances[n % 4]);
        return;
      case EventKind::kCutLink:
        instance.link->cut = true;
        return;
      case EventKind::kRestoreLink:
        instance.link->cut = false;
        return;
      case EventKind::kLoseReplies:
        instance.link->lose_replies = 1 + event.amount % 2;
        return;
      case EventKind::kLoseRequests:
        instance.link->lose_requests = 1 + event.amount % 2;
        return;
      case EventKind::kDelayCommit:
        instance.link->delay_commits = 1;
        return;
      case EventKind::kDeliverDelayed:
        instance.link->DeliverDelayed();
        return;
      case EventKind::kLosePuts:
        instance.link->lose_puts = 1;
        return;
      case EventKind::kKill:
        fleet.Kill(event.instance);
        return;
      case EventKind::kReplace:
        fleet.Replace(event.instance);
        return;
      case EventKind::kReclaim:
        fleet.ReclaimAll(event.instance);
        return;
      case EventKind::kPauseInReserve:
        PauseInReserve(fleet, event);
        return;
    }
  }

  // Suspends the instance after its first or second reading of the clock within
  // one reservation, while another instance reclaims its grants.
  void PauseInReserve(BudgetFleet& fleet, const Event& event) {
    const int other = (event.instance + 1) % fleet.size();
    const int readings = event.amount % 2;
    fleet.instance(event.instance).clock->PauseAfter(readings, [&fleet, other] {
      fleet.ReclaimAll(other);
    });
    fleet.Request(event.instance, event.budget, 1 + event.amount / 8,
                  /*paused_late=*/readings == 1);
  }

  const std::unique_ptr<SizingPolicy> policy_ = MakeHorizonSizing({});
  const GrantManagerOptions options_{.lease = absl::Minutes(10),
                                     .renew_interval = absl::Minutes(1),
                                     .account_buckets = 16};
};

TEST_P(BudgetLedgerTest, InvariantsHoldAfterEveryEvent) {
  const int instances = GetParam();
  const bool holds = rc::check([&] {
    const auto events = *AnyInterleaving(instances);
    BudgetFleet fleet(instances, 2, policy_.get(), options_, 7);
    fleet.TopUp(0, 2'000, 0);
    fleet.TopUp(1, 500, 0);
    for (const Event& event : events) {
      Apply(fleet, event);
      const std::string violation = fleet.Check();
      if (!violation.empty()) RC_FAIL(violation);
    }
    fleet.Quiesce();
    const std::string violation = fleet.CheckQuiet();
    if (!violation.empty()) RC_FAIL(violation);
  });
  EXPECT_TRUE(holds);
}

INSTANTIATE_TEST_SUITE_P(Instances, BudgetLedgerTest,
                         testing::Values(2, 8, 64));

}  // namespace
}  // namespace wisteriareel
