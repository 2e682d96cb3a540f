#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "standin/fakes/manual_clock.h"
#include "standin/fakes/memory_table.h"
#include "wisteriareel/config_immutable_snapshot.h"
#include "wisteriareel/config_published.h"
#include "wisteriareel/lease_manager.h"
#include "wisteriareel/pool_reconciler.h"

namespace wisteriareel {
namespace {

const PoolId kPool("chat");
// Targets of the pool in the property test.
constexpr int kTargets = 3;
constexpr absl::Duration kInFlight = PoolReconciler::kDefaultOrderTimeout;

// An order that a target has executed.
struct Effect {
  TargetId target;
  TargetOrder order;
  absl::Time sent;
  absl::Time executed;
};

// Targets that execute orders at once or, if order_delay is set, later and with
// a lost reply. Targets with an even number check fencing numbers.
class FakeTargets final : public TargetOrderClient {
 public:
  explicit FakeTargets(ManualClock* clock) : clock_(clock) {}

  std::optional<TargetEngineState> ReadState(const Target& target,
                                             absl::Duration /*timeout*/,
                                             LastReason* /*reason*/) override {
    clock_->Advance(read_duration);
    ExecuteDue();
    return states_[target.id];
  }

  bool Send(const Target& target, const TargetOrder& order,
            absl::Duration timeout, LastReason* reason) override {
    const absl::Time now = clock_->Now();
    const absl::Duration delay = std::min(order_delay, timeout) + send_pause;
    if (delay > absl::ZeroDuration()) {
      in_flight_.push_back({target.id, order, now, now + delay});
      checks_[target.id] = target.checks_fencing;
      reason->Set(Reason::kTargetUnreachable, "reply lost");
      return false;
    }
    checks_[target.id] = target.checks_fencing;
    if (Execute({target.id, order, now, now})) return true;
    reason->Set(Reason::kFencingNumberOld);
    return false;
  }

  // Executes the delayed orders that are due.
  void ExecuteDue() {
    std::erase_if(in_flight_, [&](const Effect& effect) {
      if (effect.executed > clock_->Now()) return false;
      Execute(effect);
      return true;
    });
  }

  const std::vector<Effect>& effects() const { return effects_; }
  TargetEngineState& state(const TargetId& id) { return states_[id]; }

  // Accepts orders but never executes them.
  TargetId stuck;
  absl::Duration read_duration;
  absl::Duration order_delay;
  // Pause of the sender between its last check of the lease and sending the
  // order.
  absl::Duration send_pause;

 private:
  bool Execute(const Effect& effect) {
    const TargetOrder& order = effect.order;
    FencingNumber& highest = highest_[effect.target];
    if (checks_[effect.target] && order.fencing < highest) return false;
    highest = std::max(highest, order.fencing);
    effects_.push_back(effect);
    if (effect.target == stuck) return true;
    TargetEngineState& state = states_[effect.target];
    switch (order.kind) {
      case TargetOrderKind::kUnloadModel:
        std::erase(state.models, ModelName(order.name));
        break;
      case TargetOrderKind::kUnloadAdapter:
        std::erase(state.adapters, order.name);
        break;
      case TargetOrderKind::kSetVersion:
        state.version = order.name;
        break;
      case TargetOrderKind::kLoadModel:
        std::erase(state.models, ModelName(order.name));
        state.models.emplace_back(order.name);
        break;
      case TargetOrderKind::kLoadAdapter:
        std::erase(state.adapters, order.name);
        state.adapters.push_back(order.name);
        break;
      case TargetOrderKind::kSetRole:
        state.role = order.name;
        break;
    }
    return true;
  }

  ManualClock* const clock_;
  std::map<TargetId, TargetEngineState> states_;
  std::map<TargetId, bool> checks_;
  std::map<TargetId, FencingNumber> highest_;
  std::vector<Effect> in_flight_;
  std::vector<Effect> effects_;
};

// Returns the targets at which an order of a previous holder took effect too
// late: after an order of its successor was executed or, at targets that ignore
// fencing numbers, after it was sent.
std::vector<TargetId> LateEffects(const std::vector<Effect>& effects) {
  std::vector<TargetId> found;
  for (const Effect& previous : effects) {
    for (const Effect& next : effects) {
      if (previous.target != next.target) continue;
      if (previous.order.fencing >= next.order.fencing) continue;
      const bool checks = (previous.target.value().back() - '0') % 2 == 0;
      const absl::Time barrier = checks ? next.executed : next.sent;
      if (previous.executed > barrier) found.push_back(previous.target);
    }
  }
  return found;
}

PoolPlan MakePlan(int number) {
  return {.pool = kPool,
          .loaded_models = {ModelName(absl::StrCat("model-", number))},
          .loaded_adapters = {absl::StrCat("adapter-", number)},
          .version = absl::StrCat("v", number),
          .role = number % 2 == 0 ? "both" : "decode"};
}

std::shared_ptr<const ImmutableConfigSnapshot> MakeConfig(int number,
                                                          int targets,
                                                          int first = 0) {
  const Revision version(static_cast<std::uint64_t>(number) + 1);
  std::vector<VersionedEntry> entries = {{MakePlan(number), version}};
  for (int i = first; i < targets; ++i) {
    entries.push_back({Target{.id = TargetId(absl::StrCat("t", i)),
                              .pool = kPool,
                              .checks_fencing = i % 2 == 0},
                       version});
  }
  return ImmutableConfigSnapshot::Build(version, entries);
}

// A lease that is held at the first check in each step and lost at the next.
class LeaseLostWithinStep final : public LeaseView {
 public:
  std::optional<HeldLease> Held() const override {
    if (checked_) return std::nullopt;
    checked_ = true;
    return HeldLease{FencingNumber(1), absl::InfiniteFuture()};
  }

  void BeginStep() { checked_ = false; }

 private:
  mutable bool checked_ = false;
};

// An instance that competes for the lease of the pool.
struct Holder {
  Holder(const std::string& name, ManualClock* clock, TableService* table,
         RandomSource* random, FakeTargets* targets)
      : lease({.task = "pool/chat",
               .self = InstanceId(name),
               .clock = clock,
               .table = table,
               .random = random}),
        reconciler({.pool = kPool,
                    .clock = clock,
                    .config = &config,
                    .lease = &lease,
                    .client = targets}) {}

  // Runs a step of the lease and of the reconciler if they are due.
  void Run(absl::Time now) {
    if (now >= lease_due) lease_due = now + lease.Step();
    for (int i = 0; i < 20 && now >= reconcile_due; ++i) {
      reconcile_due = now + reconciler.Step();
    }
  }

  PublishedConfig config;
  LeaseManager lease;
  PoolReconciler reconciler;
  absl::Time lease_due = absl::InfinitePast();
  absl::Time reconcile_due = absl::InfinitePast();
  bool paused = false;
};

class PoolReconcilerTest : public testing::Test {
 protected:
  void Run(Holder* holder, absl::Duration duration) {
    const absl::Time end = clock_.Now() + duration;
    while (clock_.Now() < end) {
      targets_.ExecuteDue();
      holder->Run(clock_.Now());
      clock_.Advance(absl::Milliseconds(250));
    }
  }

  ManualClock clock_;
  MemoryTable table_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);
  FakeTargets targets_{&clock_};
  Holder a_{"a", &clock_, &table_, random_.get(), &targets_};
  Holder b_{"b", &clock_, &table_, random_.get(), &targets_};
};

TEST_F(PoolReconcilerTest, BringsAllTargetsToThePlan) {
  targets_.state(TargetId("t1")).models = {ModelName("old")};
  a_.config.Publish(MakeConfig(1, 4), ConfigOrigin::kPlatform);
  Run(&a_, absl::Minutes(2));
  EXPECT_TRUE(a_.reconciler.converged());
  const PoolPlan plan = MakePlan(1);
  for (int i = 0; i < 4; ++i) {
    const auto& state = targets_.state(TargetId(absl::StrCat("t", i)));
    EXPECT_EQ(state.models, plan.loaded_models) << i;
    EXPECT_EQ(state.adapters, plan.loaded_adapters) << i;
    EXPECT_EQ(state.version, plan.version) << i;
    EXPECT_EQ(state.role, plan.role) << i;
  }
}

TEST_F(PoolReconcilerTest, LimitsTheRateOfLoads) {
  a_.config.Publish(MakeConfig(1, 8), ConfigOrigin::kPlatform);
  Run(&a_, absl::Minutes(2));
  absl::Time last = absl::InfinitePast();
  int loads = 0;
  for (const Effect& effect : targets_.effects()) {
    if (!ReadsWeights(effect.order.kind)) continue;
    ++loads;
    EXPECT_GE(effect.sent - last, absl::Milliseconds(500));
    last = effect.sent;
  }
  EXPECT_EQ(loads, 8 * 3);
}

TEST_F(PoolReconcilerTest, ChangesOtherTargetsDespiteAStuckTarget) {
  a_.config.Publish(MakeConfig(1, 4), ConfigOrigin::kPlatform);
  targets_.stuck = TargetId("t0");
  Run(&a_, absl::Minutes(12));
  for (int i = 1; i < 4; ++i) {
    EXPECT_EQ(targets_.state(TargetId(absl::StrCat("t", i))).version, "v1")
        << i;
  }
  EXPECT_FALSE(a_.reconciler.converged());
}

TEST_F(PoolReconcilerTest, SendsNoOrderAfterTheLeaseExpiredDuringARead) {
  a_.config.Publish(MakeConfig(1, 1), ConfigOrigin::kPlatform);
  a_.lease.Step();
  targets_.read_duration = absl::Seconds(30);
  for (int i = 0; i < 5; ++i) a_.reconciler.Step();
  EXPECT_TRUE(targets_.effects().empty());
}

TEST_F(PoolReconcilerTest, ChecksTheLeaseAgainBeforeSendingAnOrder) {
  LeaseLostWithinStep lease;
  a_.config.Publish(MakeConfig(1, 2), ConfigOrigin::kPlatform);
  PoolReconciler reconciler({.pool = kPool,
                             .clock = &clock_,
                             .config = &a_.config,
                             .lease = &lease,
                             .client = &targets_});
  for (int i = 0; i < 50; ++i) {
    lease.BeginStep();
    reconciler.Step();
    clock_.Advance(absl::Seconds(1));
  }
  EXPECT_TRUE(targets_.effects().empty());
}

TEST_F(PoolReconcilerTest, StopsWhenATargetReportsANewerHolder) {
  a_.config.Publish(MakeConfig(1, 8), ConfigOrigin::kPlatform);
  Target target{.id = TargetId("t0"), .checks_fencing = true};
  LastReason reason;
  targets_.Send(target, {.name = "x", .fencing = FencingNumber(9)}, kInFlight,
                &reason);
  Run(&a_, absl::Seconds(30));
  EXPECT_EQ(targets_.effects().size(), 1u);
}

// The previous holder sends its last order at the latest allowed time, is
// paused for almost 8 s before it does, and the order takes its whole timeout.
// The successor starts at the earliest allowed time.
TEST(PoolReconcilerSuccessionTest, WaitsForTheLastOrderOfThePreviousHolder) {
  for (const double offset : {6.1, 8.0, 8.9, 9.1, 12.0, 14.9}) {
    ManualClock clock;
    MemoryTable table;
    FakeTargets targets(&clock);
    const auto random = MakeSeededRandom(1);
    Holder a("a", &clock, &table, random.get(), &targets);
    Holder b("b", &clock, &table, random.get(), &targets);
    // One target, which ignores fencing numbers, is in the planned state when
    // the term of the previous holder begins.
    const PoolPlan plan = MakePlan(0);
    targets.state(TargetId("t1")) = {plan.loaded_models, plan.loaded_adapters,
                                     plan.version, plan.role};
    a.config.Publish(MakeConfig(0, 2, 1), ConfigOrigin::kPlatform);
    b.config.Publish(MakeConfig(2, 2, 1), ConfigOrigin::kPlatform);
    a.lease.Step();
    b.lease.Step();
    a.reconciler.Step();
    clock.Advance(absl::Seconds(offset));
    a.config.Publish(MakeConfig(1, 2, 1), ConfigOrigin::kPlatform);
    targets.order_delay = kInFlight;
    targets.send_pause = absl::Seconds(7.9);
    for (int i = 0; i < 20; ++i) a.reconciler.Step();
    targets.order_delay = absl::ZeroDuration();
    targets.send_pause = absl::ZeroDuration();
    clock.Advance(LeaseManager::kDefaultDuration +
                  LeaseManager::kDefaultMargin - absl::Seconds(offset));
    for (int i = 0; i < 400; ++i) {
      targets.ExecuteDue();
      if (!b.lease.Held()) b.lease.Step();
      b.Run(clock.Now());
      clock.Advance(absl::Milliseconds(100));
    }
    EXPECT_TRUE(LateEffects(targets.effects()).empty()) << offset;
    const bool in_time = offset < 9;
    EXPECT_EQ(targets.effects().front().order.fencing.value(), in_time ? 1 : 2)
        << offset;
    EXPECT_EQ(targets.state(TargetId("t1")).version, "v2") << offset;
  }
}

// Two instances, one of which may have an older plan, are paused at any time,
// including up to 7.9 s between the last check of the lease and sending the
// order; orders are delayed and their replies lost. A new holder sends no
// earlier than 6 s + 1 s + 6 s after that check, and an order is in flight for
// up to 5 s, so longer pauses would make the test fail. No order of a previous
// holder takes effect after one of its successor: targets that check fencing
// numbers refuse it, and to other targets the successor sends nothing earlier.
// In the end, the pool reaches the newest plan.
RC_GTEST_PROP(PoolReconcilerPropertyTest, PreventsLateOrdersOfAPreviousHolder,
              ()) {
  ManualClock clock;
  MemoryTable table;
  FakeTargets targets(&clock);
  const auto random = MakeSeededRandom(*rc::gen::arbitrary<std::uint64_t>());
  Holder a("a", &clock, &table, random.get(), &targets);
  Holder b("b", &clock, &table, random.get(), &targets);
  Holder* holders[] = {&a, &b};
  int newest = 0;
  for (Holder* holder : holders) {
    holder->config.Publish(MakeConfig(0, kTargets), ConfigOrigin::kPlatform);
  }
  const int steps = *rc::gen::inRange(40, 200);
  for (int step = 0; step < steps; ++step) {
    clock.Advance(absl::Milliseconds(*rc::gen::inRange(100, 3000)));
    Holder& picked = *holders[*rc::gen::inRange(0, 2)];
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
        picked.paused = !picked.paused;
        break;
      case 1:
        targets.order_delay = absl::Milliseconds(*rc::gen::inRange(0, 5001));
        targets.send_pause = absl::Milliseconds(*rc::gen::inRange(0, 7900));
        break;
      case 2:
        targets.order_delay = absl::ZeroDuration();
        targets.send_pause = absl::ZeroDuration();
        break;
      case 3:
        picked.config.Publish(MakeConfig(++newest, kTargets),
                              ConfigOrigin::kPlatform);
        break;
      case 4:
        table.SetFaults({.lose_replies = *rc::gen::inRange(0, 3)});
        break;
      default:
        break;
    }
    targets.ExecuteDue();
    for (Holder* holder : holders) {
      if (!holder->paused) holder->Run(clock.Now());
    }
  }
  for (Holder* holder : holders) {
    holder->paused = false;
    holder->config.Publish(MakeConfig(newest, kTargets),
                           ConfigOrigin::kPlatform);
  }
  targets.order_delay = absl::ZeroDuration();
  targets.send_pause = absl::ZeroDuration();
  table.SetFaults({});
  for (int n = 0; n < 1200; ++n) {
    clock.Advance(absl::Milliseconds(500));
    targets.ExecuteDue();
    for (Holder* holder : holders) holder->Run(clock.Now());
  }
  FencingNumber highest;
  for (const Effect& effect : targets.effects()) {
    highest = std::max(highest, effect.order.fencing);
  }
  RC_ASSERT(LateEffects(targets.effects()).empty());
  const PoolPlan plan = MakePlan(newest);
  for (int i = 0; i < kTargets; ++i) {
    const auto& state = targets.state(TargetId(absl::StrCat("t", i)));
    RC_ASSERT(state.models == plan.loaded_models);
    RC_ASSERT(state.adapters == plan.loaded_adapters);
    RC_ASSERT(state.version == plan.version);
    RC_ASSERT(state.role == plan.role);
  }
  RC_CLASSIFY(highest > FencingNumber(1), "the lease changed its holder");
}

}  // namespace
}  // namespace wisteriareel
