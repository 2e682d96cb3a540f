#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/forward/exchange.h"

namespace wisteriareel {
namespace {

using ::testing::SizeIs;

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const ServiceId kService("s");

// Records what an exchange does.
class RecordingHost final : public ExchangeDelegate {
 public:
  void StartAttempt(const AttemptOptions& options) override {
    EXPECT_FALSE(open) << "two attempts at once";
    open = true;
    attempts.push_back(options);
  }
  void QueryLoads(const std::vector<TargetEntry>& targets) override {
    asked = targets;
  }
  void CancelAttempt() override { open = false; }
  void SendHead(std::optional<std::size_t> content_length) override {
    EXPECT_FALSE(head_sent) << "two heads";
    head_sent = true;
    length = content_length;
  }
  void SendBody(std::string bytes) override { body += bytes; }
  void FinishResponse() override { finished = true; }
  void Refuse(const Refusal& refusal) override {
    EXPECT_FALSE(head_sent) << "a refusal behind a head";
    refused = refusal;
  }
  void AbortResponse() override { broken_off = true; }
  void SetTimer(absl::Time when) override { timer = when; }

  bool open = false;
  std::vector<AttemptOptions> attempts;
  std::vector<TargetEntry> asked;
  bool head_sent = false;
  std::optional<std::size_t> length;
  std::string body;
  bool finished = false;
  bool broken_off = false;
  std::optional<Refusal> refused;
  absl::Time timer = absl::InfiniteFuture();
};

class ExchangeTest : public ::testing::Test {
 protected:
  ExchangeTest()
      : pool_({.zone = ZoneId("a")}),
        retry_limiter_({.ratio = 1, .slack = 100}),
        ledger_({.instance = "i", .incarnation = "1"}) {
    route_ = {.name = "r",
              .host = "h",
              .prefix = "/",
              .kind = RouteKind::kIdempotent,
              .timeout = absl::Seconds(5),
              .objective = absl::Milliseconds(200),
              .pause_objective = absl::Milliseconds(250),
              .attempts = 2,
              .services = {{.service = kService}}};
  }

  void ListTargets(int count) {
    std::vector<TargetEntry> targets;
    targets.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
      targets.push_back({.id = TargetId(absl::StrCat("t", n)),
                         .service = kService,
                         .zone = ZoneId("a")});
    }
    pool_.ApplyListing(targets, kStart);
  }

  void Start() {
    RouteConfig config{
        .revision = Revision(1),
        .routes = {route_},
        .customers = {{.id = CustomerId("c"), .prepaid = prepaid_}}};
    ledger_.SetBudgets(config, kStart - absl::Minutes(1));
    const auto table = std::make_shared<const RouteTable>(config);
    exchange_ = std::make_unique<Exchange>(
        ExchangeRequest{.info = info_,
                        .table = table,
                        .route = &table->config().routes.front(),
                        .service = kService,
                        .customer = customer_,
                        .engine = engine_,
                        .arrived = kStart},
        ExchangeServices{.pool = &pool_,
                         .retry_limiter = &retry_limiter_,
                         .ledger = &ledger_,
                         .log = DiscardEvents(),
                         .counters = DiscardCounters()},
        &host_);
    exchange_->Start(kStart);
  }

  // Starts a request to one of three model engines.
  void StartAtEngine() {
    ListTargets(3);
    engine_ = EngineSpec{.slots = 64};
    Start();
  }

  void MakeStream(bool resumable) {
    route_.kind = RouteKind::kStreaming;
    route_.resumable = resumable;
  }

  // The connection of the open attempt ends without an answer.
  void Break(absl::Time now) {
    host_.open = false;
    exchange_->OnBroken(now);
  }

  static std::string Event(int id) {
    return absl::StrCat("id: ", id, "\ndata: x\n\n");
  }

  TargetPool pool_;
  RetryLimiter retry_limiter_;
  PrepaidLedger ledger_;
  Route route_;
  RequestInfo info_{.id = RequestId("q"),
                    .host = "h",
                    .path = "/x",
                    .caller_timeout = absl::Seconds(3)};
  CustomerId customer_;
  std::optional<Tokens> prepaid_;
  std::optional<EngineSpec> engine_;
  RecordingHost host_;
  std::unique_ptr<Exchange> exchange_;
};

TEST_F(ExchangeTest, AnEnginesLoadIsAskedForBeforeARequestIsSent) {
  StartAtEngine();
  EXPECT_THAT(host_.asked, SizeIs(2));
  EXPECT_THAT(host_.attempts, SizeIs(0));
  exchange_->OnLoads(kStart + absl::Milliseconds(2));
  EXPECT_THAT(host_.attempts, SizeIs(1));
}

TEST_F(ExchangeTest, ALoadThatComesAfterTheCallerLeftStartsNothing) {
  StartAtEngine();
  exchange_->OnCallerDisconnected(kStart + absl::Milliseconds(1));
  exchange_->OnLoads(kStart + absl::Milliseconds(2));
  EXPECT_THAT(host_.attempts, SizeIs(0));
}

TEST_F(ExchangeTest, ARequestWhoseTimeEndsWhileLoadsAreAskedForIsRefused) {
  StartAtEngine();
  exchange_->OnTimer(host_.timer);
  ASSERT_TRUE(host_.refused.has_value());
  EXPECT_EQ(host_.refused->status, 504);
  exchange_->OnLoads(host_.timer);
  EXPECT_THAT(host_.attempts, SizeIs(0));
}

TEST_F(ExchangeTest, RequestsThatShareOnlyTheirFirstPartHaveDifferentHomes) {
  ListTargets(40);
  engine_ = EngineSpec{.slots = 64};
  std::set<TargetId> homes;
  for (int n = 0; n < 10; ++n) {
    // A long part that all share, and a shorter one of each subject.
    info_.prompt_segments = {
        {.id = "all", .tokens = Tokens(9000)},
        {.id = absl::StrCat("subject", n), .tokens = Tokens(3000)},
        {.id = "own", .tokens = Tokens(10)}};
    Start();
    homes.insert(host_.asked.front().id);
  }
  EXPECT_GT(homes.size(), 5U);
}

TEST_F(ExchangeTest, AWholeAnswerIsRelayedWithItsLength) {
  ListTargets(1);
  Start();
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody("abc", kStart);
  EXPECT_FALSE(host_.head_sent);
  exchange_->OnEnd(kStart);
  EXPECT_EQ(host_.length, 3U);
  EXPECT_EQ(host_.body, "abc");
  EXPECT_TRUE(host_.finished);
  EXPECT_TRUE(exchange_->done());
}

TEST_F(ExchangeTest, WithoutTargetsItIsRefusedAtOnceAsNotRun) {
  ListTargets(0);
  Start();
  ASSERT_TRUE(host_.refused.has_value());
  EXPECT_EQ(host_.refused->status, 503);
  EXPECT_EQ(host_.refused->verdict, Verdict::kNotRun);
  EXPECT_TRUE(host_.refused->retry_after.has_value());
}

TEST_F(ExchangeTest, ABrokenIdempotentRequestGoesToAnotherTarget) {
  ListTargets(2);
  Start();
  Break(kStart);
  ASSERT_THAT(host_.attempts, SizeIs(2));
  EXPECT_NE(host_.attempts[0].target.id, host_.attempts[1].target.id);
}

TEST_F(ExchangeTest, ABrokenNonIdempotentRequestIsNeverSentAgain) {
  route_.kind = RouteKind::kNonIdempotent;
  ListTargets(3);
  Start();
  EXPECT_TRUE(host_.attempts[0].fresh_connection);
  Break(kStart);
  EXPECT_THAT(host_.attempts, SizeIs(1));
  ASSERT_TRUE(host_.refused.has_value());
  EXPECT_EQ(host_.refused->status, 502);
  EXPECT_EQ(host_.refused->verdict, Verdict::kMayHaveRun);
}

TEST_F(ExchangeTest, ANonIdempotentRequestThatDidNotRunMayGoElsewhere) {
  route_.kind = RouteKind::kNonIdempotent;
  route_.attempts = 1;
  ListTargets(3);
  Start();
  exchange_->OnHead({.status = 503, .not_run = true}, kStart);
  EXPECT_THAT(host_.attempts, SizeIs(2));
  exchange_->OnHead({.status = 503, .not_run = true}, kStart);
  ASSERT_TRUE(host_.refused.has_value());
  EXPECT_EQ(host_.refused->status, 503);
  EXPECT_EQ(host_.refused->verdict, Verdict::kNotRun);
}

TEST_F(ExchangeTest, AfterAnAttemptThatMayHaveRunNothingIsSaidNotToHaveRun) {
  ListTargets(3);
  Start();
  Break(kStart);
  exchange_->OnHead({.status = 503, .not_run = true}, kStart);
  ASSERT_TRUE(host_.refused.has_value());
  EXPECT_EQ(host_.refused->status, 502);
}

TEST_F(ExchangeTest, UnreachableTargetsCostNoRepeats) {
  ListTargets(4);
  route_.kind = RouteKind::kNonIdempotent;
  route_.attempts = 1;
  Start();
  host_.open = false;
  exchange_->OnUnreachable(kStart);
  host_.open = false;
  exchange_->OnUnreachable(kStart);
  EXPECT_THAT(host_.attempts, SizeIs(3));
}

TEST_F(ExchangeTest, ATargetsOwnFailureIsRelayedWhenNoRepeatIsLeft) {
  route_.attempts = 1;
  ListTargets(2);
  Start();
  exchange_->OnHead({.status = 500}, kStart);
  exchange_->OnEnd(kStart);
  EXPECT_TRUE(host_.head_sent);
  EXPECT_TRUE(host_.finished);
}

TEST_F(ExchangeTest, AStreamGoesOnAtAnotherTargetAfterTheLastWholeEvent) {
  MakeStream(true);
  ListTargets(2);
  Start();
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(1) + Event(2) + "id: 3\nda", kStart);
  EXPECT_EQ(host_.body, Event(1) + Event(2));
  Break(kStart);
  ASSERT_THAT(host_.attempts, SizeIs(2));
  EXPECT_EQ(host_.attempts[1].resume_after, 2);
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(2) + Event(3), kStart);
  exchange_->OnEnd(kStart);
  EXPECT_EQ(host_.body, Event(1) + Event(2) + Event(3));
  EXPECT_TRUE(host_.finished);
}

TEST_F(ExchangeTest, AStreamThatCannotGoOnDoesNotLookComplete) {
  MakeStream(false);
  ListTargets(2);
  Start();
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(1), kStart);
  Break(kStart);
  EXPECT_THAT(host_.attempts, SizeIs(1));
  EXPECT_TRUE(host_.broken_off);
  EXPECT_FALSE(host_.finished);
}

TEST_F(ExchangeTest, AStreamCutWithinAnEventIsNotComplete) {
  MakeStream(false);
  ListTargets(1);
  Start();
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(1) + "id: 2\n", kStart);
  exchange_->OnEnd(kStart);
  EXPECT_TRUE(host_.broken_off);
  EXPECT_FALSE(host_.finished);
}

TEST_F(ExchangeTest, TheTargetIsToldWhatTimeIsLeft) {
  ListTargets(2);
  Start();
  EXPECT_EQ(host_.attempts[0].time_left, absl::Seconds(3));
  Break(kStart + absl::Seconds(1));
  EXPECT_EQ(host_.attempts[1].time_left, absl::Seconds(2));
}

TEST_F(ExchangeTest, AtTheRoutesTimeoutTheCallerIsAnswered) {
  route_.timeout = absl::Seconds(1);
  route_.kind = RouteKind::kNonIdempotent;
  ListTargets(1);
  Start();
  EXPECT_EQ(host_.timer, kStart + absl::Seconds(1));
  exchange_->OnTimer(kStart + absl::Seconds(1));
  ASSERT_TRUE(host_.refused.has_value());
  EXPECT_EQ(host_.refused->status, 504);
  EXPECT_FALSE(host_.open);
}

TEST_F(ExchangeTest, ACallerThatLeavesEndsTheWorkAtOnce) {
  ListTargets(1);
  Start();
  exchange_->OnCallerDisconnected(kStart);
  EXPECT_FALSE(host_.open);
  EXPECT_TRUE(exchange_->done());
}

TEST_F(ExchangeTest, ASilentTargetIsLeftForAnotherOneIfThatIsAllowed) {
  ListTargets(2);
  Start();
  ASSERT_LT(host_.timer, kStart + absl::Seconds(3));
  exchange_->OnTimer(host_.timer);
  EXPECT_THAT(host_.attempts, SizeIs(2));
}

TEST_F(ExchangeTest, OnlyWhatWasDeliveredIsSettled) {
  MakeStream(false);
  customer_ = CustomerId("c");
  prepaid_ = Tokens(10000);
  engine_ = EngineSpec{.tokens_per_event = 5};
  info_.prompt_tokens = Tokens(100);
  info_.max_output_tokens = Tokens(50);
  ListTargets(1);
  Start();
  EXPECT_THAT(host_.attempts, SizeIs(0));
  ASSERT_TRUE(exchange_->waits_for_tokens());
  for (const LedgerTransaction& order : ledger_.TakeTransactions(kStart)) {
    ledger_.CompleteTransaction(
        order.customer, {.outcome = CommitOutcome::kCommitted, .version = 1},
        kStart);
  }
  const Tokens before = ledger_.FreeTokens(customer_, kStart);
  exchange_->OnLedgerChanged(kStart);
  ASSERT_THAT(host_.attempts, SizeIs(1));
  EXPECT_EQ(ledger_.FreeTokens(customer_, kStart), before - Tokens(150));
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(1) + Event(2), kStart);
  exchange_->OnEnd(kStart);
  EXPECT_EQ(ledger_.FreeTokens(customer_, kStart), before - Tokens(110));
}

TEST_F(ExchangeTest, ARequestThatDidNotRunCostsNothing) {
  customer_ = CustomerId("c");
  prepaid_ = Tokens(10000);
  engine_ = EngineSpec{};
  info_.prompt_tokens = Tokens(100);
  ListTargets(1);
  Start();
  for (const LedgerTransaction& order : ledger_.TakeTransactions(kStart)) {
    ledger_.CompleteTransaction(
        order.customer, {.outcome = CommitOutcome::kCommitted, .version = 1},
        kStart);
  }
  const Tokens before = ledger_.FreeTokens(customer_, kStart);
  exchange_->OnLedgerChanged(kStart);
  exchange_->OnHead({.status = 503, .not_run = true}, kStart);
  ASSERT_TRUE(host_.refused.has_value());
  EXPECT_EQ(ledger_.FreeTokens(customer_, kStart), before);
}

}  // namespace
}  // namespace wisteriareel
