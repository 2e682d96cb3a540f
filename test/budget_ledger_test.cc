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

enum class Act {
  kRequest,
  kFinish,
  kRelease,
  kStep,
  kFlush,
  kTopUp,
  kAdvance,
  kCut,
  kMend,
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

// One event of an interleaving; the numbers are taken modulo what is there.
struct Event {
  Act act = Act::kStep;
  int instance = 0;
  int budget = 0;
  int amount = 0;
};

std::ostream& operator<<(std::ostream& out, const Event& event) {
  return out << "{act " << static_cast<int>(event.act) << ", i"
             << event.instance << ", b" << event.budget << ", " << event.amount
             << "}";
}

rc::Gen<Act> AnyAct() {
  return rc::gen::weightedElement<Act>({{30, Act::kRequest},
                                        {15, Act::kFinish},
                                        {4, Act::kRelease},
                                        {30, Act::kStep},
                                        {8, Act::kFlush},
                                        {4, Act::kTopUp},
                                        {8, Act::kAdvance},
                                        {3, Act::kCut},
                                        {4, Act::kMend},
                                        {5, Act::kLoseReplies},
                                        {3, Act::kLoseRequests},
                                        {3, Act::kDelayCommit},
                                        {3, Act::kDeliverDelayed},
                                        {2, Act::kLosePuts},
                                        {2, Act::kKill},
                                        {3, Act::kReplace},
                                        {4, Act::kReclaim},
                                        {4, Act::kPauseInReserve}});
}

rc::Gen<std::vector<Event>> Interleaving(int instances) {
  // Few instances are busy, so that events meet at the same one.
  const int busy = std::min(instances, 12);
  const auto event = rc::gen::build<Event>(
      rc::gen::set(&Event::act, AnyAct()),
      rc::gen::set(&Event::instance, rc::gen::inRange(0, busy)),
      rc::gen::set(&Event::budget, rc::gen::inRange(0, 2)),
      rc::gen::set(&Event::amount, rc::gen::inRange(1, 400)));
  return rc::gen::resize(250, rc::gen::container<std::vector<Event>>(event));
}

constexpr absl::Duration kAdvances[] = {absl::Seconds(3), absl::Minutes(1),
                                        absl::Minutes(4), absl::Minutes(11)};

class BudgetLedgerTest : public testing::TestWithParam<int> {
 protected:
  void Apply(BudgetFleet& fleet, const Event& event) {
    BudgetInstance& at = fleet.instance(event.instance);
    const auto n = static_cast<std::size_t>(event.amount);
    switch (event.act) {
      case Act::kRequest:
        fleet.Request(event.instance, event.budget, event.amount);
        return;
      case Act::kFinish:
        fleet.Finish(event.instance, n, event.amount / 2, false);
        return;
      case Act::kRelease:
        fleet.Finish(event.instance, n, 0, true);
        return;
      case Act::kStep:
        if (at.process) at.process->manager.Step();
        return;
      case Act::kFlush:
        if (at.process) at.process->journal.Step();
        return;
      case Act::kTopUp:
        fleet.TopUp(event.budget, std::int64_t{3} * event.amount,
                    event.amount % 3);
        return;
      case Act::kAdvance:
        fleet.clock().Advance(kAdvances[n % 4]);
        return;
      case Act::kCut:
        at.link->cut = true;
        return;
      case Act::kMend:
        at.link->cut = false;
        return;
      case Act::kLoseReplies:
        at.link->lose_replies = 1 + event.amount % 2;
        return;
      case Act::kLoseRequests:
        at.link->lose_requests = 1 + event.amount % 2;
        return;
      case Act::kDelayCommit:
        at.link->delay_commits = 1;
        return;
      case Act::kDeliverDelayed:
        at.link->DeliverDelayed();
        return;
      case Act::kLosePuts:
        at.link->lose_puts = 1;
        return;
      case Act::kKill:
        fleet.Kill(event.instance);
        return;
      case Act::kReplace:
        fleet.Replace(event.instance);
        return;
      case Act::kReclaim:
        fleet.ReclaimAll(event.instance);
        return;
      case Act::kPauseInReserve:
        PauseInReserve(fleet, event);
        return;
    }
  }

  // Stops the instance after its first or second reading of the clock within
  // one reservation, while another instance reclaims.
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

TEST_P(BudgetLedgerTest, HoldsAfterEveryStepOfAnyInterleaving) {
  const int instances = GetParam();
  const bool holds = rc::check([&] {
    const auto events = *Interleaving(instances);
    BudgetFleet fleet(instances, 2, policy_.get(), options_, 7);
    fleet.TopUp(0, 2'000, 0);
    fleet.TopUp(1, 500, 0);
    for (const Event& event : events) {
      Apply(fleet, event);
      const std::string wrong = fleet.Check();
      if (!wrong.empty()) RC_FAIL(wrong);
    }
    fleet.Quiesce();
    const std::string wrong = fleet.CheckQuiet();
    if (!wrong.empty()) RC_FAIL(wrong);
  });
  EXPECT_TRUE(holds);
}

INSTANTIATE_TEST_SUITE_P(Instances, BudgetLedgerTest,
                         testing::Values(2, 8, 64));

}  // namespace
}  // namespace wisteriareel
