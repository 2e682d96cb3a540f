#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/forward/exchange.h"

namespace wisteriareel {
namespace {

using ::testing::IsEmpty;
using ::testing::Not;
using ::testing::SizeIs;

// Not at the start of a slot of the limits in these tests.
const absl::Time kStart =
    absl::UnixEpoch() + absl::Hours(1) + absl::Milliseconds(1300);
const ServiceId kService("s");

TargetEntry MakeTarget(int n) {
  return {.id = TargetId(absl::StrCat("t", n)),
          .service = kService,
          .zone = ZoneId("a"),
          .slots = 64};
}

PlacementRequirements MakeRequirements(const std::string& key) {
  return {.service = kService,
          .prefix_key = key,
          .prefix_tokens = Tokens(13000),
          .own_tokens = Tokens(3000),
          .engine = true};
}

// An instance that is alone, so that all shares are its own.
class LimitedTargetTest : public ::testing::Test {
 protected:
  LimitedTargetTest() : pool_({.zone = ZoneId("a")}, &limits_) {
    limits_.SetPlatformEpoch(absl::UnixEpoch());
    limits_.SetInstances({"i"}, /*confirmed=*/true, kStart - absl::Minutes(1));
  }

  void ListTargets(int count) {
    std::vector<TargetEntry> targets;
    targets.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) targets.push_back(MakeTarget(n));
    pool_.ApplyListing(targets, kStart);
  }

  void SetLimit(int target, std::optional<double> per_second, absl::Time now) {
    pool_.RecordRateLimit(MakeTarget(target), per_second, now, now);
  }

  // Returns the target of a placement that ends at once.
  std::optional<TargetId> ChooseOnce(const PlacementRequirements& requirements,
                                     absl::Time now) {
    const std::optional<Placement> placement = pool_.Choose(requirements, now);
    if (!placement.has_value()) return std::nullopt;
    pool_.Finish(*placement, AttemptOutcome::kSucceeded, now);
    return placement->target.id;
  }

  TargetRateLimits limits_{{.self = InstanceId("i")}};
  TargetPool pool_;
};

TEST_F(LimitedTargetTest, SharedPromptsMoveToTheSecondTargetInRankOrder) {
  ListTargets(5);
  const PlacementRequirements requirements = MakeRequirements("part");
  const std::vector<TargetEntry> ranked =
      pool_.TargetsToQuery(requirements, kStart);
  ASSERT_THAT(ranked, SizeIs(2));
  ASSERT_EQ(ChooseOnce(requirements, kStart), ranked[0].id);
  pool_.RecordRateLimit(ranked[0], 0, kStart, kStart);
  for (int n = 0; n < 10; ++n) {
    EXPECT_EQ(ChooseOnce(requirements, kStart + n * absl::Milliseconds(100)),
              ranked[1].id);
  }
  pool_.RecordRateLimit(ranked[0], std::nullopt, kStart + absl::Seconds(1),
                        kStart + absl::Seconds(1));
  EXPECT_EQ(ChooseOnce(requirements, kStart + absl::Seconds(2)), ranked[0].id);
}

TEST_F(LimitedTargetTest, TheLoadOfATargetWithoutAShareIsNotQueried) {
  ListTargets(4);
  const PlacementRequirements requirements = MakeRequirements("part");
  const TargetEntry limited =
      pool_.TargetsToQuery(requirements, kStart).front();
  pool_.RecordRateLimit(limited, 0, kStart, kStart);
  const std::vector<TargetEntry> queried =
      pool_.TargetsToQuery(requirements, kStart);
  ASSERT_THAT(queried, SizeIs(2));
  EXPECT_NE(queried[0].id, limited.id);
  EXPECT_NE(queried[1].id, limited.id);
}

TEST_F(LimitedTargetTest, EveryPlacementUsesAShare) {
  ListTargets(1);
  SetLimit(0, 2, kStart);
  const PlacementRequirements requirements{.service = kService};
  int placed = 0;
  for (int n = 0; n < 1000; ++n) {
    const absl::Time now = kStart + n * absl::Milliseconds(10);
    const std::optional<Placement> placement = pool_.Choose(requirements, now);
    if (!placement.has_value()) continue;
    ++placed;
    EXPECT_FALSE(placement->avoided_limit);
  }
  // 2 per second for 10 s.
  EXPECT_GE(placed, 16);
  EXPECT_LE(placed, 20);
}

TEST_F(LimitedTargetTest, ATargetWithoutAShareIsNotUsable) {
  ListTargets(2);
  SetLimit(0, 0, kStart);
  EXPECT_EQ(pool_.CountUsable(kService, kStart), 1);
  EXPECT_TRUE(pool_.HasUntriedTarget(kService, {}, kStart));
  EXPECT_FALSE(pool_.HasUntriedTarget(kService, {TargetId("t1")}, kStart));
  EXPECT_TRUE(
      pool_.Choose({.service = kService}, kStart).value().avoided_limit);
}

TEST_F(LimitedTargetTest, AServiceHasALimitIfAllItsTargetsHaveOne) {
  ListTargets(3);
  EXPECT_EQ(pool_.FindTotalRateLimit(kService, {}, kStart), std::nullopt);
  SetLimit(0, 1, kStart);
  SetLimit(1, 0.5, kStart);
  EXPECT_EQ(pool_.FindTotalRateLimit(kService, {}, kStart), std::nullopt);
  EXPECT_EQ(pool_.FindTotalRateLimit(kService, {TargetId("t2")}, kStart), 1.5);
  // A target that leaves accepts no requests at any rate.
  pool_.RecordNotice(MakeTarget(2), {.leaving = true}, kStart);
  EXPECT_EQ(pool_.FindTotalRateLimit(kService, {}, kStart), 1.5);
}

TEST_F(LimitedTargetTest, ANewLifetimeStartsWithoutALimit) {
  ListTargets(1);
  SetLimit(0, 0, kStart);
  ASSERT_EQ(ChooseOnce({.service = kService}, kStart), std::nullopt);
  TargetEntry restarted = MakeTarget(0);
  restarted.started_ms = 7;
  pool_.ApplyListing({restarted}, kStart);
  EXPECT_EQ(ChooseOnce({.service = kService}, kStart), restarted.id);
}

// Delegate that records attempts and the refusal.
class RecordingDelegate final : public ExchangeDelegate {
 public:
  void StartAttempt(const AttemptOptions& options) override {
    attempts.push_back(options);
  }
  void QueryLoads(const std::vector<TargetEntry>& /*targets*/) override {}
  void CancelAttempt() override {}
  void SendHead(std::optional<std::size_t> /*content_length*/) override {}
  void SendBody(std::string /*bytes*/) override {}
  void FinishResponse() override {}
  void Refuse(const Refusal& refusal) override { refusals.push_back(refusal); }
  void AbortResponse() override {}
  void SetTimer(absl::Time /*when*/) override {}

  std::vector<AttemptOptions> attempts;
  std::vector<Refusal> refusals;
};

// Counts the events with an id.
class CountingLog final : public EventLog {
 public:
  explicit CountingLog(EventId id) : id_(id) {}

  void Write(EventId id, Severity /*severity*/, std::string_view /*text*/,
             const std::vector<EventField>& /*fields*/) override {
    if (id == id_) ++count;
  }

  int count = 0;

 private:
  const EventId id_;
};

class LimitedExchangeTest : public LimitedTargetTest {
 protected:
  // Starts a request to a route of `kind` at `now`.
  Exchange* Start(RouteKind kind, absl::Time now) {
    const RouteConfig config{.revision = Revision(1),
                             .routes = {{.name = "r",
                                         .host = "h",
                                         .prefix = "/",
                                         .kind = kind,
                                         .timeout = absl::Seconds(5),
                                         .objective = absl::Milliseconds(200),
                                         .attempts = 2,
                                         .services = {{.service = kService}}}}};
    const auto table = std::make_shared<const RouteTable>(config);
    exchanges_.push_back(std::make_unique<Exchange>(
        ExchangeRequest{
            .info = {.id = RequestId(absl::StrCat("q", exchanges_.size())),
                     .host = "h",
                     .path = "/x",
                     .caller_timeout = absl::Seconds(3)},
            .table = table,
            .route = &table->config().routes.front(),
            .service = kService,
            .customer_priority = customer_priority_,
            .arrived = now},
        ExchangeServices{.pool = &pool_,
                         .retry_limiter = &retry_limiter_,
                         .ledger = &ledger_,
                         .quarantine = &quarantine_,
                         .limited_returns = &limited_returns_,
                         .log = &log_,
                         .counters = DiscardCounters()},
        &delegate_));
    exchanges_.back()->Start(now);
    return exchanges_.back().get();
  }

  RetryLimiter retry_limiter_{{.ratio = 1, .slack = 100}};
  PrepaidLedger ledger_{{.instance = "i", .incarnation = "1"}};
  PromptQuarantine quarantine_;
  LimitedReturnSchedule limited_returns_{{}};
  std::optional<int> customer_priority_;
  CountingLog log_{EventId::kTargetRateLimit};
  RecordingDelegate delegate_;
  std::vector<std::unique_ptr<Exchange>> exchanges_;
};

TEST_F(LimitedExchangeTest, EveryResponseHeadRecordsTheLimit) {
  ListTargets(1);
  Start(RouteKind::kIdempotent, kStart)
      ->OnHead({.status = 503, .not_run = true, .rate_limit = 0.0}, kStart);
  EXPECT_EQ(limits_.Limit(MakeTarget(0)), 0);
  EXPECT_EQ(log_.count, 1);
}

TEST_F(LimitedExchangeTest, OnlyAChangeOfTheLimitIsLogged) {
  ListTargets(1);
  std::vector<Exchange*> exchanges;
  exchanges.reserve(3);
  for (int n = 0; n < 3; ++n) {
    exchanges.push_back(Start(RouteKind::kIdempotent, kStart));
  }
  for (Exchange* exchange : exchanges) {
    exchange->OnHead({.status = 200, .rate_limit = 3.0},
                     kStart + absl::Milliseconds(1));
  }
  EXPECT_EQ(log_.count, 1);
}

TEST_F(LimitedExchangeTest, AWrongTargetOrAMalformedLimitChangesNothing) {
  ListTargets(1);
  SetLimit(0, 100, kStart);
  const absl::Time later = kStart + absl::Seconds(2);
  Start(RouteKind::kIdempotent, later)
      ->OnHead({.status = 200, .has_malformed_rate_limit = true}, later);
  EXPECT_EQ(limits_.Limit(MakeTarget(0)), 100);
  Start(RouteKind::kIdempotent, later)
      ->OnHead({.status = 421, .wrong_target = true, .rate_limit = 0.0}, later);
  EXPECT_EQ(limits_.Limit(MakeTarget(0)), 100);
  EXPECT_THAT(delegate_.attempts, Not(IsEmpty()));
}

TEST_F(LimitedExchangeTest, ARequestGoesToAnotherTargetAtOnce) {
  ListTargets(2);
  SetLimit(0, 0, kStart);
  for (int n = 0; n < 10; ++n) Start(RouteKind::kNonIdempotent, kStart);
  ASSERT_THAT(delegate_.attempts, SizeIs(10));
  for (const AttemptOptions& attempt : delegate_.attempts) {
    EXPECT_EQ(attempt.target.id, TargetId("t1"));
  }
}

TEST_F(LimitedExchangeTest, ARequestThatNoTargetMayGetIsRefusedAtOnce) {
  ListTargets(2);
  SetLimit(0, 0, kStart);
  SetLimit(1, 0, kStart);
  Start(RouteKind::kNonIdempotent, kStart);
  EXPECT_THAT(delegate_.attempts, IsEmpty());
  ASSERT_THAT(delegate_.refusals, SizeIs(1));
  EXPECT_EQ(delegate_.refusals[0].status, 503);
  EXPECT_EQ(delegate_.refusals[0].reason, Reason::kTargetLimited);
  EXPECT_EQ(delegate_.refusals[0].verdict, Verdict::kNotRun);
  EXPECT_TRUE(delegate_.refusals[0].retry_after.has_value());
}

TEST_F(LimitedExchangeTest, RefusedCallersReturnAtTheRateOfTheLimits) {
  ListTargets(2);
  SetLimit(0, 2, kStart);
  SetLimit(1, 3, kStart);
  for (int n = 0; n < 4; ++n) Start(RouteKind::kIdempotent, kStart);
  ASSERT_THAT(delegate_.refusals, SizeIs(4));
  for (int n = 0; n < 4; ++n) {
    EXPECT_EQ(delegate_.refusals[static_cast<std::size_t>(n)].retry_after,
              (n + 1) * absl::Milliseconds(200));
  }
}

TEST_F(LimitedExchangeTest, AShareIsLeftToAMoreUrgentCaller) {
  ListTargets(1);
  SetLimit(0, 2, kStart);
  customer_priority_ = 0;
  Start(RouteKind::kIdempotent, kStart);
  ASSERT_THAT(delegate_.refusals, SizeIs(1));
  const absl::Time returns = kStart + *delegate_.refusals[0].retry_after;
  customer_priority_ = 1;
  Start(RouteKind::kIdempotent, returns - absl::Milliseconds(1));
  EXPECT_THAT(delegate_.refusals, SizeIs(2));
  customer_priority_ = 0;
  Start(RouteKind::kIdempotent, returns);
  EXPECT_THAT(delegate_.refusals, SizeIs(2));
  EXPECT_THAT(delegate_.attempts, SizeIs(1));
}

TEST_F(LimitedExchangeTest, ARequestThatMayHaveRunIsNotRefusedAsNotRun) {
  ListTargets(2);
  SetLimit(1, 0, kStart);
  Start(RouteKind::kIdempotent, kStart)->OnBroken(BrokenCause::kOther, kStart);
  EXPECT_THAT(delegate_.attempts, SizeIs(1));
  ASSERT_THAT(delegate_.refusals, SizeIs(1));
  EXPECT_EQ(delegate_.refusals[0].status, 502);
  EXPECT_EQ(delegate_.refusals[0].verdict, Verdict::kMayHaveRun);
}

}  // namespace
}  // namespace wisteriareel
