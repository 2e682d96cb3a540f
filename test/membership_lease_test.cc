#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "standin/fakes/manual_clock.h"
#include "standin/fakes/memory_table.h"
#include "test/held_commit_table.h"
#include "wisteriareel/lease_manager.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kSecond = absl::Seconds(1);

// A candidate with its own clock.
struct Candidate {
  Candidate(const std::string& name, TableService* table, RandomSource* random)
      : late(table),
        manager({.task = "task",
                 .self = InstanceId(name),
                 .clock = &clock,
                 .table = &late,
                 .random = random}) {}

  ManualClock clock;
  HeldCommitTable late;
  LeaseManager manager;
  // Rate of the clock relative to real time.
  double rate = 1;
  absl::Duration until_step;
  bool paused = false;
};

class LeaseManagerTest : public testing::Test {
 protected:
  void Advance(absl::Duration duration) {
    for (Candidate* candidate : {&a_, &b_}) candidate->clock.Advance(duration);
  }

  MemoryTable table_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);
  Candidate a_{"a", &table_, random_.get()};
  Candidate b_{"b", &table_, random_.get()};
};

TEST_F(LeaseManagerTest, GrantsTheLeaseToOneCandidate) {
  a_.manager.Step();
  b_.manager.Step();
  ASSERT_TRUE(a_.manager.Held());
  EXPECT_EQ(a_.manager.Held()->fencing, FencingNumber(1));
  EXPECT_FALSE(b_.manager.Held());
}

TEST_F(LeaseManagerTest, EndsAPausedHoldersLeaseBeforeASuccessorAcquiresIt) {
  a_.manager.Step();
  b_.manager.Step();
  Advance(LeaseManager::kDefaultDuration);
  EXPECT_FALSE(a_.manager.Held());
  b_.manager.Step();
  EXPECT_FALSE(b_.manager.Held());
  Advance(LeaseManager::kDefaultMargin);
  b_.manager.Step();
  ASSERT_TRUE(b_.manager.Held());
  EXPECT_EQ(b_.manager.Held()->fencing, FencingNumber(2));
  // The old holder resumes.
  a_.manager.Step();
  EXPECT_FALSE(a_.manager.Held());
}

TEST_F(LeaseManagerTest, KeepsTheLeaseAfterALostReply) {
  a_.manager.Step();
  Advance(5 * kSecond);
  table_.SetFaults({.lose_replies = 1});
  a_.manager.Step();
  Advance(5 * kSecond);
  a_.manager.Step();
  ASSERT_TRUE(a_.manager.Held());
  EXPECT_EQ(a_.manager.Held()->fencing, FencingNumber(1));
  EXPECT_GT(a_.manager.Held()->expires - a_.clock.Now(), 9 * kSecond);
}

TEST_F(LeaseManagerTest, FreesTheLeaseOnRelease) {
  a_.manager.Step();
  a_.manager.Release();
  EXPECT_FALSE(a_.manager.Held());
  b_.manager.Step();
  ASSERT_TRUE(b_.manager.Held());
  EXPECT_EQ(b_.manager.Held()->fencing, FencingNumber(2));
}

TEST_F(LeaseManagerTest, WaitsForItsOldLeaseToLapseAfterARestart) {
  a_.manager.Step();
  Candidate restarted("a", &table_, random_.get());
  restarted.manager.Step();
  EXPECT_FALSE(restarted.manager.Held());
}

// Three candidates, with clock rates that deviate by up to 2% from real time,
// are paused and resumed while the table loses, delays and refuses writes. At
// most one of them may hold the lease at any time, and each term must have a
// higher fencing number.
RC_GTEST_PROP(LeaseManagerProperty, HasAtMostOneHolder, ()) {
  MemoryTable table;
  const auto random = MakeSeededRandom(*rc::gen::arbitrary<std::uint64_t>());
  std::vector<std::unique_ptr<Candidate>> candidates;
  for (int i = 0; i < 3; ++i) {
    candidates.push_back(std::make_unique<Candidate>(absl::StrCat("c", i),
                                                     &table, random.get()));
    candidates.back()->rate = 1 + (*rc::gen::inRange(-20, 21)) / 1000.0;
  }
  InstanceId last_holder;
  FencingNumber highest;
  const int steps = *rc::gen::inRange(50, 300);
  for (int step = 0; step < steps; ++step) {
    const absl::Duration real = absl::Milliseconds(*rc::gen::inRange(50, 2500));
    for (auto& candidate : candidates) {
      candidate->clock.Advance(real * candidate->rate);
      candidate->until_step -= real;
    }
    Candidate& picked = *candidates[*rc::gen::inRange<std::size_t>(0, 3)];
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        picked.paused = !picked.paused;
        break;
      case 1:
        table.SetFaults({.outage = *rc::gen::arbitrary<bool>(),
                         .lose_replies = *rc::gen::inRange(0, 3)});
        break;
      case 2:
        picked.late.HoldCommits(*rc::gen::inRange(0, 3));
        break;
      case 3:
        picked.late.ReleaseCommit();
        break;
      case 4:
        if (!picked.paused && *rc::gen::inRange(0, 4) == 0) {
          picked.manager.Release();
        }
        break;
      default:
        break;
    }
    for (auto& candidate : candidates) {
      if (candidate->paused || candidate->until_step > absl::ZeroDuration()) {
        continue;
      }
      candidate->until_step = candidate->manager.Step();
    }
    int holders = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const auto held = candidates[i]->manager.Held();
      if (!held) continue;
      ++holders;
      const InstanceId id(absl::StrCat("c", i));
      RC_ASSERT(held->fencing >= highest);
      if (held->fencing == highest) RC_ASSERT(id == last_holder);
      highest = held->fencing;
      last_holder = id;
    }
    RC_ASSERT(holders <= 1);
  }
  RC_CLASSIFY(highest > FencingNumber(1), "more than one term");
}

}  // namespace
}  // namespace wisteriareel
