#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/forward/target_pool.h"

namespace wisteriareel {
namespace {

using ::testing::IsEmpty;
using ::testing::SizeIs;

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

TargetEntry MakeTarget(int n, const std::string& zone = "a") {
  return {.id = TargetId(absl::StrCat("t", n)),
          .service = ServiceId("chat"),
          .address = {.host = "10.0.0.1",
                      .port = static_cast<std::uint16_t>(8000 + n)},
          .zone = ZoneId(zone),
          .slots = 64};
}

std::vector<TargetEntry> MakeTargets(int count) {
  std::vector<TargetEntry> targets;
  targets.reserve(static_cast<std::size_t>(count));
  for (int n = 0; n < count; ++n) targets.push_back(MakeTarget(n));
  return targets;
}

PlacementRequirements MakeRequirements(const std::string& key) {
  return {.service = ServiceId("chat"),
          .prefix_key = key,
          .prefix_tokens = Tokens(13000),
          .own_tokens = Tokens(3000),
          .engine = true};
}

TEST(TargetPoolTest, InstancesAgreeOnTheAffinityTargetWithoutMessages) {
  TargetPool a({.zone = ZoneId("a")});
  TargetPool b({.zone = ZoneId("a")});
  a.ApplyListing(MakeTargets(12), kStart);
  b.ApplyListing(MakeTargets(12), kStart);
  for (int n = 0; n < 50; ++n) {
    const PlacementRequirements requirements =
        MakeRequirements(absl::StrCat("part", n));
    const auto at_a = a.Choose(requirements, kStart);
    const auto at_b = b.Choose(requirements, kStart);
    ASSERT_TRUE(at_a.has_value() && at_b.has_value());
    EXPECT_EQ(at_a->target.id, at_b->target.id);
    a.Finish(*at_a, AttemptOutcome::kSucceeded, kStart);
    b.Finish(*at_b, AttemptOutcome::kSucceeded, kStart);
  }
}

TEST(TargetPoolTest, AffinityTargetsChangeOnlyForTheTargetThatLeft) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(12), kStart);
  std::vector<TargetId> before;
  for (int n = 0; n < 40; ++n) {
    const auto placement =
        pool.Choose(MakeRequirements(absl::StrCat("part", n)), kStart);
    before.push_back(placement->target.id);
    pool.Finish(*placement, AttemptOutcome::kSucceeded, kStart);
  }
  TargetPool smaller_pool({.zone = ZoneId("a")});
  smaller_pool.ApplyListing(MakeTargets(11), kStart);
  for (int n = 0; n < 40; ++n) {
    if (before[n] == TargetId("t11")) continue;
    const auto placement =
        smaller_pool.Choose(MakeRequirements(absl::StrCat("part", n)), kStart);
    EXPECT_EQ(placement->target.id, before[n]);
    smaller_pool.Finish(*placement, AttemptOutcome::kSucceeded, kStart);
  }
}

TEST(TargetPoolTest, AHotPrefixIsSpreadOverSeveralTargets) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(12), kStart);
  std::set<TargetId> used;
  for (int n = 0; n < 60; ++n) {
    used.insert(pool.Choose(MakeRequirements("hot"), kStart)->target.id);
  }
  EXPECT_GE(used.size(), 3U);
}

TEST(TargetPoolTest, OnlyTheLoadOfTheFirstTargetsInRankOrderIsQueried) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(12), kStart);
  const PlacementRequirements requirements = MakeRequirements("part");
  const std::vector<TargetEntry> queried =
      pool.TargetsToQuery(requirements, kStart);
  ASSERT_THAT(queried, SizeIs(2));
  for (const TargetEntry& target : queried) {
    pool.RecordLoad(target.id, TargetLoad{}, kStart);
  }
  EXPECT_THAT(
      pool.TargetsToQuery(requirements, kStart + absl::Milliseconds(50)),
      IsEmpty());
  EXPECT_THAT(pool.TargetsToQuery(requirements, kStart + absl::Seconds(1)),
              SizeIs(2));
  PlacementRequirements plain{.service = ServiceId("chat")};
  EXPECT_THAT(pool.TargetsToQuery(plain, kStart), IsEmpty());
}

constexpr Tokens kCacheTokens(400000);

// Returns the rank of the target chosen for a request whose affinity target
// reports `affinity_load` while the second target in rank order is idle: 0 for
// the affinity target, 1 for the second one, 2 for any other.
int ChooseRank(const TargetLoad& affinity_load) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(12), kStart);
  const PlacementRequirements requirements = MakeRequirements("part");
  const std::vector<TargetEntry> queried =
      pool.TargetsToQuery(requirements, kStart);
  pool.RecordLoad(queried[0].id, affinity_load, kStart);
  pool.RecordLoad(queried[1].id, TargetLoad{.cache_total = kCacheTokens},
                  kStart);
  const TargetId chosen = pool.Choose(requirements, kStart)->target.id;
  if (chosen == queried[0].id) return 0;
  return chosen == queried[1].id ? 1 : 2;
}

TEST(TargetPoolTest, AnIdleAffinityTargetIsChosen) {
  EXPECT_EQ(ChooseRank({.cache_total = kCacheTokens}), 0);
}

TEST(TargetPoolTest, AnAffinityTargetWithALongQueueIsNotChosen) {
  EXPECT_EQ(ChooseRank({.queued = 40,
                        .running = 64,
                        .prefilling = 20,
                        .cache_total = kCacheTokens}),
            1);
}

TEST(TargetPoolTest, AnAffinityTargetWithAShortQueueIsChosen) {
  // The prefill of three prompts takes less time than that of the shared prefix
  // at another target.
  EXPECT_EQ(ChooseRank({.queued = 3, .cache_total = kCacheTokens}), 0);
}

TEST(TargetPoolTest, AnAffinityTargetWithoutMemoryForTheRequestIsNotChosen) {
  EXPECT_EQ(ChooseRank({.running = 3,
                        .cache_used = Tokens(390000),
                        .cache_total = kCacheTokens}),
            1);
}

TEST(TargetPoolTest, ATargetThatDoesNotRespondIsUsedLast) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(2), kStart);
  const PlacementRequirements requirements = MakeRequirements("part");
  const std::vector<TargetEntry> queried =
      pool.TargetsToQuery(requirements, kStart);
  pool.RecordLoad(queried[0].id, std::nullopt, kStart);
  EXPECT_EQ(pool.Choose(requirements, kStart)->target.id, queried[1].id);
  pool.RecordLoad(queried[1].id, std::nullopt, kStart);
  EXPECT_TRUE(pool.Choose(requirements, kStart).has_value());
}

// Many instances each see few of the requests, one subject gets a large share
// of the traffic, and load reports are delayed.
TEST(TargetPoolTest, ManyInstancesDoNotOverloadOneAffinityTarget) {
  constexpr int instances = 40;
  constexpr int targets = 20;
  constexpr int requests = 400;
  constexpr absl::Duration report_lag = absl::Milliseconds(100);
  constexpr absl::Duration request_interval = absl::Milliseconds(10);
  constexpr absl::Duration prefill_time = absl::Milliseconds(60);
  std::vector<TargetPool> pools;
  pools.reserve(instances);
  for (int n = 0; n < instances; ++n) {
    pools.emplace_back(TargetPoolOptions{.zone = ZoneId("a")});
    pools.back().ApplyListing(MakeTargets(targets), kStart);
  }
  struct Prefill {
    absl::Time arrived;
    absl::Time end;
  };
  std::map<TargetId, std::vector<Prefill>> prefills;
  absl::Duration max_response_time;
  for (int n = 0; n < requests; ++n) {
    const absl::Time now = kStart + n * request_interval;
    TargetPool& pool = pools[static_cast<std::size_t>(n * 7 % instances)];
    const PlacementRequirements requirements =
        MakeRequirements(n % 2 == 0 ? "hot" : absl::StrCat("part", n % 30));
    for (const TargetEntry& target : pool.TargetsToQuery(requirements, now)) {
      const std::vector<Prefill>& all = prefills[target.id];
      const auto open_prefills =
          std::count_if(all.begin(), all.end(), [&](const Prefill& prefill) {
            return prefill.arrived <= now - report_lag &&
                   prefill.end > now - report_lag;
          });
      pool.RecordLoad(target.id,
                      TargetLoad{.queued = static_cast<int>(open_prefills),
                                 .cache_total = kCacheTokens},
                      now);
    }
    const auto placement = pool.Choose(requirements, now);
    ASSERT_TRUE(placement.has_value());
    std::vector<Prefill>& all = prefills[placement->target.id];
    const absl::Time begin = all.empty() ? now : std::max(now, all.back().end);
    all.push_back({.arrived = now, .end = begin + prefill_time});
    max_response_time = std::max(max_response_time, all.back().end - now);
  }
  // Callers' objective for the first event.
  EXPECT_LT(max_response_time, absl::Milliseconds(600));
}

TEST(TargetPoolTest, ADrainingTargetGetsNoRequestsAfterTheListing) {
  TargetPool pool({.zone = ZoneId("a")});
  std::vector<TargetEntry> targets = MakeTargets(2);
  pool.ApplyListing(targets, kStart);
  targets[0].draining = true;
  pool.ApplyListing(targets, kStart);
  for (int n = 0; n < 20; ++n) {
    EXPECT_EQ(pool.Choose(MakeRequirements(absl::StrCat(n)), kStart)->target.id,
              TargetId("t1"));
  }
}

TEST(TargetPoolTest,
     AMissingTargetIsRemovedImmediatelyWhileTheListIsAvailable) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(2), kStart);
  const auto changes =
      pool.ApplyListing(MakeTargets(1), kStart + absl::Seconds(1));
  EXPECT_THAT(changes, SizeIs(1));
  EXPECT_EQ(pool.CountUsable(ServiceId("chat"), kStart + absl::Seconds(1)), 1);
}

// Regression test: an instance was disconnected from the store for 8 s while a
// target left, and used the target for 3.4 s after it had announced its leave.
TEST(TargetPoolTest, AMissingTargetIsDroppedWithinTheGracePeriodAfterAnOutage) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(2), kStart);
  const absl::Time restored = kStart + absl::Seconds(8);
  pool.ApplyListing(MakeTargets(1), restored);
  EXPECT_EQ(pool.CountUsable(ServiceId("chat"), restored), 2);
  // The grace period ends without a further listing.
  EXPECT_EQ(pool.CountUsable(ServiceId("chat"), restored + absl::Seconds(2)),
            1);
}

TEST(TargetPoolTest, AnOutageOfTheListRemovesNoTargets) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(3), kStart);
  const absl::Time later = kStart + absl::Seconds(20);
  EXPECT_EQ(pool.CountUsable(ServiceId("chat"), later), 3);
  // Entries that expired during the outage return with the next heartbeats.
  pool.ApplyListing({}, later);
  EXPECT_EQ(pool.CountUsable(ServiceId("chat"), later), 3);
  pool.ApplyListing(MakeTargets(3), later + absl::Seconds(1));
  EXPECT_EQ(pool.CountUsable(ServiceId("chat"), later + absl::Seconds(5)), 3);
}

TEST(TargetPoolTest, ATargetThatFailsFastIsEjectedAndReinstated) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(4), kStart);
  const PlacementRequirements requirements = MakeRequirements("part");
  const auto first = pool.Choose(requirements, kStart);
  const TargetId failing = first->target.id;
  pool.Finish(*first, AttemptOutcome::kSucceeded, kStart);
  absl::Time now = kStart;
  int to_failing = 0;
  for (int n = 0; n < 200; ++n) {
    now += absl::Milliseconds(5);
    const auto placement = pool.Choose(requirements, now);
    const bool is_failing = placement->target.id == failing;
    to_failing += is_failing ? 1 : 0;
    pool.Finish(
        *placement,
        is_failing ? AttemptOutcome::kFailed : AttemptOutcome::kSucceeded, now);
  }
  EXPECT_LE(to_failing, 8);
  // The target has recovered and gets one request at a time as a probe.
  now += absl::Seconds(10);
  const auto trial = pool.Choose(requirements, now);
  ASSERT_EQ(trial->target.id, failing);
  EXPECT_NE(pool.Choose(requirements, now)->target.id, failing);
  const auto change = pool.Finish(*trial, AttemptOutcome::kSucceeded, now);
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->kind, TargetChange::Kind::kReinstated);
}

TEST(TargetPoolTest, EjectionNeverRemovesTheLastTarget) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(2), kStart);
  for (int n = 0; n < 50; ++n) {
    const auto placement = pool.Choose(MakeRequirements("part"), kStart);
    ASSERT_TRUE(placement.has_value());
    pool.Finish(*placement, AttemptOutcome::kUnreachable, kStart);
  }
}

TEST(TargetPoolTest, FailuresOfAllTargetsEjectNoTarget) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(6), kStart);
  for (int n = 0; n < 60; ++n) {
    const auto placement =
        pool.Choose(MakeRequirements(absl::StrCat("part", n)), kStart);
    pool.Finish(
        *placement,
        n % 7 == 0 ? AttemptOutcome::kFailed : AttemptOutcome::kSucceeded,
        kStart);
  }
  EXPECT_EQ(pool.CountUsable(ServiceId("chat"), kStart), 6);
}

TEST(TargetPoolTest, ATargetThatSaysItLeavesGetsNoRequests) {
  TargetPool pool({.zone = ZoneId("a")});
  const std::vector<TargetEntry> targets = MakeTargets(1);
  pool.ApplyListing(targets, kStart);
  EXPECT_TRUE(pool.RecordNotice(targets[0], {.leaving = true}, kStart));
  EXPECT_FALSE(pool.RecordNotice(targets[0], {.leaving = true}, kStart));
  const PlacementRequirements requirements = MakeRequirements("p");
  EXPECT_EQ(pool.Choose(requirements, kStart + absl::Hours(2)), std::nullopt);
  EXPECT_THAT(pool.TargetsToQuery(requirements, kStart), IsEmpty());
  EXPECT_EQ(pool.CountUsable(ServiceId("chat"), kStart), 0);
  EXPECT_EQ(pool.TimeUntilAccepted(ServiceId("chat"), kStart), std::nullopt);
}

// The list loses the target during an outage of the platform and has it again.
TEST(TargetPoolTest, ALeavingTargetThatIsListedAgainGetsNoRequests) {
  TargetPool pool({.zone = ZoneId("a")});
  const std::vector<TargetEntry> targets = MakeTargets(1);
  pool.ApplyListing(targets, kStart);
  pool.RecordNotice(targets[0], {.leaving = true}, kStart);
  pool.ApplyListing({}, kStart + absl::Seconds(1));
  pool.ApplyListing(targets, kStart + absl::Seconds(2));
  EXPECT_EQ(pool.Choose(MakeRequirements("p"), kStart + absl::Seconds(2)),
            std::nullopt);
}

TEST(TargetPoolTest, ATargetThatLeftAndStartsAgainGetsRequests) {
  TargetPool pool({.zone = ZoneId("a")});
  std::vector<TargetEntry> targets = MakeTargets(1);
  targets[0].started_ms = 1;
  pool.ApplyListing(targets, kStart);
  pool.RecordNotice(targets[0], {.leaving = true}, kStart);
  targets[0].started_ms = 2;
  pool.ApplyListing(targets, kStart + absl::Seconds(2));
  EXPECT_TRUE(pool.Choose(MakeRequirements("p"), kStart + absl::Seconds(2))
                  .has_value());
}

TEST(TargetPoolTest, ATargetGetsNoRequestsForTheTimeThatItAsksFor) {
  TargetPool pool({.zone = ZoneId("a")});
  const std::vector<TargetEntry> targets = MakeTargets(2);
  pool.ApplyListing(targets, kStart);
  const absl::Time until = kStart + absl::Seconds(7);
  for (const TargetEntry& target : targets) {
    pool.RecordNotice(target, {.no_requests_until = until}, kStart);
  }
  // A shorter time that comes later doesn't replace it.
  pool.RecordNotice(targets[0], {.no_requests_until = kStart}, kStart);
  pool.ApplyListing({}, kStart + absl::Seconds(1));
  pool.ApplyListing(targets, kStart + absl::Seconds(2));
  const PlacementRequirements requirements = MakeRequirements("p");
  EXPECT_EQ(pool.Choose(requirements, until - absl::Milliseconds(1)),
            std::nullopt);
  EXPECT_EQ(pool.TimeUntilAccepted(ServiceId("chat"), kStart),
            absl::Seconds(7));
  EXPECT_TRUE(pool.Choose(requirements, until).has_value());
  EXPECT_EQ(pool.TimeUntilAccepted(ServiceId("chat"), until), std::nullopt);
}

TEST(TargetPoolTest, ARestartUnderTheSameIdIsReported) {
  TargetPool pool({.zone = ZoneId("a")});
  std::vector<TargetEntry> targets = MakeTargets(2);
  pool.ApplyListing(targets, kStart);
  targets[0].started_ms = 17;
  const auto changes = pool.ApplyListing(targets, kStart);
  ASSERT_THAT(changes, SizeIs(1));
  EXPECT_EQ(changes[0].kind, TargetChange::Kind::kRestarted);
}

TEST(TargetPoolTest, TriedTargetsAreNotChosenAgain) {
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing(MakeTargets(1), kStart);
  PlacementRequirements requirements = MakeRequirements("part");
  requirements.tried = {TargetId("t0")};
  EXPECT_EQ(pool.Choose(requirements, kStart), std::nullopt);
}

TEST(TargetPoolTest, TheOwnZoneIsPreferredWithoutModelEngines) {
  TargetPool pool({.zone = ZoneId("b")});
  std::vector<TargetEntry> targets = {MakeTarget(0, "a"), MakeTarget(1, "b")};
  pool.ApplyListing(targets, kStart);
  const PlacementRequirements requirements{.service = ServiceId("chat")};
  EXPECT_EQ(pool.Choose(requirements, kStart)->target.id, TargetId("t1"));
}

}  // namespace
}  // namespace wisteriareel
