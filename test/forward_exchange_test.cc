#include <functional>
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

// Records the calls of an exchange.
class FakeDelegate final : public ExchangeDelegate {
 public:
  void StartAttempt(const AttemptOptions& options) override {
    EXPECT_FALSE(open) << "two open attempts";
    open = true;
    attempts.push_back(options);
  }
  void QueryLoads(const std::vector<TargetEntry>& targets) override {
    queried = targets;
  }
  void CancelAttempt() override { open = false; }
  void SendHead(std::optional<std::size_t> content_length) override {
    EXPECT_FALSE(head_sent) << "two response heads";
    head_sent = true;
    sent_length = content_length;
  }
  void SendBody(std::string bytes) override { body += bytes; }
  void FinishResponse() override { finished = true; }
  void Refuse(const Refusal& refusal) override {
    EXPECT_FALSE(head_sent) << "a refusal after a response head";
    sent_refusal = refusal;
  }
  void AbortResponse() override { aborted = true; }
  void SetTimer(absl::Time when) override { timer = when; }

  bool open = false;
  std::vector<AttemptOptions> attempts;
  std::vector<TargetEntry> queried;
  bool head_sent = false;
  std::optional<std::size_t> sent_length;
  std::string body;
  bool finished = false;
  bool aborted = false;
  std::optional<Refusal> sent_refusal;
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
        .customers = {{.id = CustomerId("c"), .prepaid = prepaid_},
                      {.id = CustomerId("d"), .prepaid = prepaid_}}};
    ledger_.SetBudgets(config, kStart - absl::Minutes(1));
    ledger_.SetHomeCustomers([](const CustomerId&) { return true; });
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
                         .quarantine = &quarantine_,
                         .log = DiscardEvents(),
                         .counters = DiscardCounters()},
        &delegate_);
    exchange_->Start(kStart);
  }

  // Starts a request to one of three model engines.
  void StartAtEngine() {
    ListTargets(3);
    engine_ = EngineSpec{.slots = 64};
    Start();
  }

  void UseStreamingRoute(bool resumable) {
    route_.kind = RouteKind::kStreaming;
    route_.resumable = resumable;
  }

  // Fails the connection of the open attempt after the request was sent.
  void BreakConnection(absl::Time now) {
    delegate_.open = false;
    exchange_->OnBroken(BrokenCause::kClosed, now);
  }

  void SetPrompt() { info_.prompt_segments = {{.id = "dead"}, {.id = "own"}}; }

  // Quarantines the prompt by crashes at `at`.
  void QuarantinePrompt(absl::Time at) {
    SetPrompt();
    for (int n = 0; n < 3; ++n) {
      quarantine_.RecordCrash({.id = RequestId(absl::StrCat("c", n)),
                               .prompt_segments = info_.prompt_segments},
                              {.id = TargetId(absl::StrCat("crashed", n))},
                              /*response_begun=*/true, at);
    }
  }

  static std::string Event(int id) {
    return absl::StrCat("id: ", id, "\ndata: x\n\n");
  }

  TargetPool pool_;
  RetryLimiter retry_limiter_;
  PrepaidLedger ledger_;
  PromptQuarantine quarantine_;
  Route route_;
  RequestInfo info_{.id = RequestId("q"),
                    .host = "h",
                    .path = "/x",
                    .caller_timeout = absl::Seconds(3)};
  CustomerId customer_;
  std::optional<Tokens> prepaid_;
  std::optional<EngineSpec> engine_;
  FakeDelegate delegate_;
  std::unique_ptr<Exchange> exchange_;
};

TEST_F(ExchangeTest, AnEnginesLoadIsQueriedBeforeARequestIsSent) {
  StartAtEngine();
  EXPECT_THAT(delegate_.queried, SizeIs(2));
  EXPECT_THAT(delegate_.attempts, SizeIs(0));
  exchange_->OnLoads(kStart + absl::Milliseconds(2));
  EXPECT_THAT(delegate_.attempts, SizeIs(1));
}

TEST_F(ExchangeTest, ALoadReportAfterTheCallerDisconnectedStartsNoAttempt) {
  StartAtEngine();
  exchange_->OnCallerDisconnected(kStart + absl::Milliseconds(1));
  exchange_->OnLoads(kStart + absl::Milliseconds(2));
  EXPECT_THAT(delegate_.attempts, SizeIs(0));
}

TEST_F(ExchangeTest, ARequestWhoseDeadlinePassesDuringALoadQueryIsRefused) {
  StartAtEngine();
  exchange_->OnTimer(delegate_.timer);
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(delegate_.sent_refusal->status, 504);
  exchange_->OnLoads(delegate_.timer);
  EXPECT_THAT(delegate_.attempts, SizeIs(0));
}

TEST_F(ExchangeTest,
       RequestsThatShareOnlyTheirFirstSegmentHaveDifferentAffinityTargets) {
  ListTargets(40);
  engine_ = EngineSpec{.slots = 64};
  std::set<TargetId> affinity_targets;
  for (int n = 0; n < 10; ++n) {
    // A long segment that all requests share, and a shorter one per subject.
    info_.prompt_segments = {
        {.id = "all", .tokens = Tokens(9000)},
        {.id = absl::StrCat("subject", n), .tokens = Tokens(3000)},
        {.id = "own", .tokens = Tokens(10)}};
    Start();
    affinity_targets.insert(delegate_.queried.front().id);
  }
  EXPECT_GT(affinity_targets.size(), 5U);
}

TEST_F(ExchangeTest, ACompleteResponseIsRelayedWithItsLength) {
  ListTargets(1);
  Start();
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody("abc", kStart);
  EXPECT_FALSE(delegate_.head_sent);
  exchange_->OnEnd(kStart);
  EXPECT_EQ(delegate_.sent_length, 3U);
  EXPECT_EQ(delegate_.body, "abc");
  EXPECT_TRUE(delegate_.finished);
  EXPECT_TRUE(exchange_->done());
}

TEST_F(ExchangeTest, WithoutTargetsARequestIsRefusedImmediatelyAsNotRun) {
  ListTargets(0);
  Start();
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(delegate_.sent_refusal->status, 503);
  EXPECT_EQ(delegate_.sent_refusal->verdict, Verdict::kNotRun);
  EXPECT_TRUE(delegate_.sent_refusal->retry_after.has_value());
}

TEST_F(ExchangeTest, ABrokenIdempotentRequestIsRetriedAtAnotherTarget) {
  ListTargets(2);
  Start();
  BreakConnection(kStart);
  ASSERT_THAT(delegate_.attempts, SizeIs(2));
  EXPECT_NE(delegate_.attempts[0].target.id, delegate_.attempts[1].target.id);
}

TEST_F(ExchangeTest, ABrokenNonIdempotentRequestIsNeverRetried) {
  route_.kind = RouteKind::kNonIdempotent;
  ListTargets(3);
  Start();
  EXPECT_TRUE(delegate_.attempts[0].fresh_connection);
  BreakConnection(kStart);
  EXPECT_THAT(delegate_.attempts, SizeIs(1));
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(delegate_.sent_refusal->status, 502);
  EXPECT_EQ(delegate_.sent_refusal->verdict, Verdict::kMayHaveRun);
}

TEST_F(ExchangeTest, ANonIdempotentRequestThatDidNotRunIsRetried) {
  route_.kind = RouteKind::kNonIdempotent;
  route_.attempts = 1;
  ListTargets(3);
  Start();
  exchange_->OnHead({.status = 503, .not_run = true}, kStart);
  EXPECT_THAT(delegate_.attempts, SizeIs(2));
  exchange_->OnHead({.status = 503, .not_run = true}, kStart);
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(delegate_.sent_refusal->status, 503);
  EXPECT_EQ(delegate_.sent_refusal->verdict, Verdict::kNotRun);
}

TEST_F(ExchangeTest, ARequestThatMayHaveRunIsNotReportedAsNotRun) {
  ListTargets(3);
  Start();
  BreakConnection(kStart);
  exchange_->OnHead({.status = 503, .not_run = true}, kStart);
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(delegate_.sent_refusal->status, 502);
}

// A 503 promises that the request hasn't run and never will.
TEST_F(ExchangeTest, ARequestThatMayHaveRunGetsNo503IfNoTargetIsLeft) {
  ListTargets(1);
  Start();
  BreakConnection(kStart);
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(delegate_.sent_refusal->status, 502);
  EXPECT_EQ(delegate_.sent_refusal->verdict, Verdict::kMayHaveRun);
}

TEST_F(ExchangeTest, UnreachableTargetsConsumeNoRetries) {
  ListTargets(4);
  route_.kind = RouteKind::kNonIdempotent;
  route_.attempts = 1;
  Start();
  delegate_.open = false;
  exchange_->OnUnreachable(kStart);
  delegate_.open = false;
  exchange_->OnUnreachable(kStart);
  EXPECT_THAT(delegate_.attempts, SizeIs(3));
}

// A target may say so in any response, also one that is replaced by a retry.
TEST_F(ExchangeTest, ATargetThatSaysItLeavesGetsNoFurtherRequest) {
  for (const ResponseInfo& info :
       {ResponseInfo{.status = 200, .leaving = true},
        ResponseInfo{.status = 404, .leaving = true},
        ResponseInfo{.status = 503, .not_run = true, .leaving = true}}) {
    pool_.ApplyListing({{.id = TargetId(absl::StrCat("t", info.status)),
                         .service = kService,
                         .zone = ZoneId("a")}},
                       kStart);
    delegate_ = FakeDelegate();
    Start();
    ASSERT_THAT(delegate_.attempts, SizeIs(1));
    exchange_->OnHead(info, kStart);
    EXPECT_EQ(pool_.CountUsable(kService, kStart), 0) << info.status;
    delegate_ = FakeDelegate();
    Start();
    EXPECT_THAT(delegate_.attempts, SizeIs(0));
  }
}

TEST_F(ExchangeTest, ATargetGetsNoRequestForTheTimeOfItsRefusal) {
  ListTargets(1);
  Start();
  exchange_->OnHead(
      {.status = 503, .not_run = true, .retry_after = absl::Milliseconds(2500)},
      kStart);
  delegate_ = FakeDelegate();
  Start();
  EXPECT_THAT(delegate_.attempts, SizeIs(0));
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(delegate_.sent_refusal->status, 503);
  EXPECT_EQ(delegate_.sent_refusal->verdict, Verdict::kNotRun);
  EXPECT_EQ(delegate_.sent_refusal->retry_after, absl::Milliseconds(2500));
  EXPECT_EQ(pool_.CountUsable(kService, kStart + absl::Milliseconds(2500)), 1);
}

TEST_F(ExchangeTest, ARetryAfterWithoutARefusalHasNoEffect) {
  ListTargets(1);
  Start();
  exchange_->OnHead({.status = 200, .retry_after = absl::Seconds(9)}, kStart);
  EXPECT_EQ(pool_.CountUsable(kService, kStart), 1);
}

TEST_F(ExchangeTest, ANoticeOfAnotherTargetAtTheAddressHasNoEffect) {
  ListTargets(1);
  Start();
  exchange_->OnHead({.status = 421, .wrong_target = true, .leaving = true},
                    kStart);
  EXPECT_EQ(pool_.CountUsable(kService, kStart + absl::Seconds(30)), 1);
}

// The prompt of a request that is refused isn't sent, and its caller is told
// when the quarantine ends.
TEST_F(ExchangeTest, AQuarantinedPromptIsRefusedAtOnceAsNotRun) {
  QuarantinePrompt(kStart - absl::Minutes(1));
  StartAtEngine();
  EXPECT_THAT(delegate_.queried, SizeIs(0));
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(delegate_.sent_refusal->status, 503);
  EXPECT_EQ(delegate_.sent_refusal->reason, Reason::kPromptQuarantined);
  EXPECT_EQ(delegate_.sent_refusal->verdict, Verdict::kNotRun);
  EXPECT_EQ(delegate_.sent_refusal->retry_after, absl::Minutes(9));
}

TEST_F(ExchangeTest, ARequestInProgressIsEndedWhenItsPromptIsQuarantined) {
  SetPrompt();
  StartAtEngine();
  exchange_->OnLoads(kStart);
  ASSERT_TRUE(delegate_.open);
  QuarantinePrompt(kStart);
  exchange_->OnPromptQuarantined(kStart);
  EXPECT_FALSE(delegate_.open);
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(delegate_.sent_refusal->status, 502);
  EXPECT_EQ(delegate_.sent_refusal->verdict, Verdict::kMayHaveRun);
}

TEST_F(ExchangeTest, AStreamThatHasEventsGoesOnWhenItsPromptIsQuarantined) {
  UseStreamingRoute(/*resumable=*/true);
  SetPrompt();
  StartAtEngine();
  exchange_->OnLoads(kStart);
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(1), kStart);
  QuarantinePrompt(kStart);
  exchange_->OnPromptQuarantined(kStart);
  EXPECT_TRUE(delegate_.open);
  exchange_->OnEnd(kStart);
  EXPECT_TRUE(delegate_.finished);
}

TEST_F(ExchangeTest, APromptWhoseTargetCrashedIsNotSentToAnother) {
  UseStreamingRoute(/*resumable=*/true);
  SetPrompt();
  StartAtEngine();
  exchange_->OnLoads(kStart);
  exchange_->OnHead({.status = 200}, kStart);
  BreakConnection(kStart);
  EXPECT_THAT(delegate_.attempts, SizeIs(1));
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(delegate_.sent_refusal->status, 502);
}

TEST_F(ExchangeTest, AServerErrorIsRelayedWhenNoRetryIsLeft) {
  route_.attempts = 1;
  ListTargets(2);
  Start();
  exchange_->OnHead({.status = 500}, kStart);
  exchange_->OnEnd(kStart);
  EXPECT_TRUE(delegate_.head_sent);
  EXPECT_TRUE(delegate_.finished);
}

TEST_F(ExchangeTest, AStreamIsResumedAtAnotherTargetAfterTheLastCompleteEvent) {
  UseStreamingRoute(true);
  ListTargets(2);
  Start();
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(1) + Event(2) + "id: 3\nda", kStart);
  EXPECT_EQ(delegate_.body, Event(1) + Event(2));
  BreakConnection(kStart);
  ASSERT_THAT(delegate_.attempts, SizeIs(2));
  EXPECT_EQ(delegate_.attempts[1].resume_after, 2);
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(2) + Event(3), kStart);
  exchange_->OnEnd(kStart);
  EXPECT_EQ(delegate_.body, Event(1) + Event(2) + Event(3));
  EXPECT_TRUE(delegate_.finished);
}

TEST_F(ExchangeTest, AStreamThatCannotBeResumedIsAborted) {
  UseStreamingRoute(false);
  ListTargets(2);
  Start();
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(1), kStart);
  BreakConnection(kStart);
  EXPECT_THAT(delegate_.attempts, SizeIs(1));
  EXPECT_TRUE(delegate_.aborted);
  EXPECT_FALSE(delegate_.finished);
}

TEST_F(ExchangeTest, AStreamThatEndsWithinAnEventIsAborted) {
  UseStreamingRoute(false);
  ListTargets(1);
  Start();
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(1) + "id: 2\n", kStart);
  exchange_->OnEnd(kStart);
  EXPECT_TRUE(delegate_.aborted);
  EXPECT_FALSE(delegate_.finished);
}

// What a target answers to the continuation of a stream that has begun.
class ContinuedStreamTest : public ExchangeTest {
 protected:
  // Breaks the first target's stream after an event and starts a continuation.
  void BreakStream() {
    UseStreamingRoute(/*resumable=*/true);
    ListTargets(3);
    Start();
    exchange_->OnHead({.status = 200}, kStart);
    exchange_->OnBody(Event(1) + "id: 2\nda", kStart);
    BreakConnection(kStart);
    ASSERT_THAT(delegate_.attempts, SizeIs(2));
    ASSERT_EQ(delegate_.attempts.back().resume_after, 1);
  }

  // The caller has the first event and an end that doesn't look complete.
  void ExpectAborted() {
    EXPECT_EQ(delegate_.body, Event(1));
    EXPECT_TRUE(delegate_.aborted);
    EXPECT_FALSE(delegate_.finished);
  }
};

TEST_F(ContinuedStreamTest, AnErrorIsNotRelayedIntoTheStream) {
  for (const ResponseInfo& info :
       {ResponseInfo{.status = 500}, ResponseInfo{.status = 404},
        ResponseInfo{.status = 204}, ResponseInfo{.status = 206},
        ResponseInfo{.status = 302},
        ResponseInfo{.status = 503, .not_run = true},
        ResponseInfo{.status = 200, .is_other_content = true}}) {
    delegate_ = FakeDelegate();
    BreakStream();
    exchange_->OnHead(info, kStart);
    exchange_->OnBody("{\"error\":\"busy\"}\n\n", kStart);
    exchange_->OnEnd(kStart);
    ExpectAborted();
  }
}

TEST_F(ContinuedStreamTest, AHeadWithinTheBodyIsNotRelayed) {
  BreakStream();
  exchange_->OnHead({.status = 200, .ends_with_connection = true}, kStart);
  exchange_->OnBody("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy",
                    kStart);
  exchange_->OnEnd(kStart);
  ExpectAborted();
}

// The target crashed before its first event, and its connection was closed.
TEST_F(ContinuedStreamTest, AConnectionThatEndsWithoutAnEventIsNoEnd) {
  BreakStream();
  exchange_->OnHead({.status = 200, .ends_with_connection = true}, kStart);
  exchange_->OnEnd(kStart);
  ExpectAborted();
}

TEST_F(ContinuedStreamTest, AMarkedEndWithoutAnEventCompletesTheStream) {
  BreakStream();
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnEnd(kStart);
  EXPECT_EQ(delegate_.body, Event(1));
  EXPECT_TRUE(delegate_.finished);
}

// The head of a 503 was written into a stream that had begun.
TEST_F(ContinuedStreamTest, WithoutATargetLeftTheStreamIsBrokenOff) {
  route_.attempts = 5;
  BreakStream();
  BreakConnection(kStart);
  ASSERT_THAT(delegate_.attempts, SizeIs(3));
  BreakConnection(kStart);
  ExpectAborted();
  EXPECT_FALSE(delegate_.sent_refusal.has_value());
  EXPECT_TRUE(exchange_->done());
}

TEST_F(ContinuedStreamTest, NoFailureWritesARefusalIntoTheStream) {
  const std::vector<std::function<void()>> failures = {
      [this] { exchange_->OnTimer(kStart + absl::Seconds(3)); },
      [this] { exchange_->OnShutdown(kStart); },
      [this] {
        for (int n = 0; n < 4; ++n) {
          delegate_.open = false;
          exchange_->OnUnreachable(kStart);
        }
      },
      [this] {
        pool_.ApplyListing({}, kStart);
        pool_.ApplyListing({}, kStart + absl::Seconds(3));
        BreakConnection(kStart + absl::Seconds(2));
      },
      [this] {
        QuarantinePrompt(kStart);
        exchange_->OnPromptQuarantined(kStart);
      }};
  SetPrompt();
  for (const auto& fail : failures) {
    delegate_ = FakeDelegate();
    BreakStream();
    fail();
    ExpectAborted();
    EXPECT_FALSE(delegate_.sent_refusal.has_value());
    EXPECT_FALSE(delegate_.open);
    EXPECT_TRUE(exchange_->done());
  }
}

// A stalled stream was given up though every other target had been tried.
TEST_F(ExchangeTest, AStalledStreamGoesOnIfNoOtherTargetIsLeft) {
  UseStreamingRoute(/*resumable=*/true);
  route_.attempts = 3;
  ListTargets(2);
  Start();
  delegate_.open = false;
  exchange_->OnHead({.status = 503, .not_run = true}, kStart);
  ASSERT_THAT(delegate_.attempts, SizeIs(2));
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(1), kStart);
  const absl::Time stalled = delegate_.timer;
  ASSERT_LT(stalled, kStart + absl::Seconds(3));
  exchange_->OnTimer(stalled);
  EXPECT_TRUE(delegate_.open);
  exchange_->OnBody(Event(2), stalled);
  exchange_->OnEnd(stalled);
  EXPECT_EQ(delegate_.body, Event(1) + Event(2));
  EXPECT_TRUE(delegate_.finished);
}

TEST_F(ExchangeTest, AStreamMayEndWithItsConnection) {
  UseStreamingRoute(/*resumable=*/false);
  ListTargets(1);
  Start();
  exchange_->OnHead({.status = 200, .ends_with_connection = true}, kStart);
  exchange_->OnBody(Event(1) + Event(2), kStart);
  exchange_->OnEnd(kStart);
  EXPECT_EQ(delegate_.body, Event(1) + Event(2));
  EXPECT_TRUE(delegate_.finished);
}

TEST_F(ExchangeTest, BytesThatAreNoEventEndTheStream) {
  UseStreamingRoute(/*resumable=*/false);
  ListTargets(1);
  Start();
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(1) + "HTTP/1.1 200 OK\r\nX: y\r\n\r\n" + Event(2),
                    kStart);
  EXPECT_EQ(delegate_.body, Event(1));
  EXPECT_TRUE(delegate_.aborted);
}

TEST_F(ExchangeTest, AnAttemptGetsTheTimeLeftUntilTheDeadline) {
  ListTargets(2);
  Start();
  EXPECT_EQ(delegate_.attempts[0].time_left, absl::Seconds(3));
  BreakConnection(kStart + absl::Seconds(1));
  EXPECT_EQ(delegate_.attempts[1].time_left, absl::Seconds(2));
}

TEST_F(ExchangeTest, ARequestIsRefusedAtTheTimeoutOfItsRoute) {
  route_.timeout = absl::Seconds(1);
  route_.kind = RouteKind::kNonIdempotent;
  ListTargets(1);
  Start();
  EXPECT_EQ(delegate_.timer, kStart + absl::Seconds(1));
  exchange_->OnTimer(kStart + absl::Seconds(1));
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(delegate_.sent_refusal->status, 504);
  EXPECT_FALSE(delegate_.open);
}

TEST_F(ExchangeTest, ADisconnectedCallerCancelsTheAttempt) {
  ListTargets(1);
  Start();
  exchange_->OnCallerDisconnected(kStart);
  EXPECT_FALSE(delegate_.open);
  EXPECT_TRUE(exchange_->done());
}

// The response consisted of a part of one target's body and the whole body of
// another.
TEST_F(ExchangeTest, ABodyThatHasBegunIsNotContinuedByAnotherTarget) {
  const std::string part(300 << 10, 'x');
  for (const bool stalls : {false, true}) {
    delegate_ = FakeDelegate();
    ListTargets(3);
    Start();
    exchange_->OnHead({.status = 200}, kStart);
    exchange_->OnBody(part, kStart);
    if (stalls) {
      exchange_->OnTimer(delegate_.timer);
      EXPECT_TRUE(delegate_.open);
      exchange_->OnTimer(kStart + absl::Seconds(3));
    } else {
      BreakConnection(kStart);
    }
    EXPECT_THAT(delegate_.attempts, SizeIs(1));
    EXPECT_EQ(delegate_.body.size(), part.size());
    EXPECT_TRUE(delegate_.aborted);
    EXPECT_FALSE(delegate_.finished);
  }
}

TEST_F(ExchangeTest, AnIdempotentRequestIsRetriedAfterTheIdleTimeout) {
  ListTargets(2);
  Start();
  ASSERT_LT(delegate_.timer, kStart + absl::Seconds(3));
  exchange_->OnTimer(delegate_.timer);
  EXPECT_THAT(delegate_.attempts, SizeIs(2));
}

// Regression test: tokens of streams that broke off kept a customer who had
// none left from being told so.
TEST_F(ExchangeTest, TokensOfABrokenStreamCountAsDelivered) {
  for (const bool has_event : {false, true}) {
    UseStreamingRoute(false);
    customer_ = CustomerId(has_event ? "c" : "d");
    prepaid_ = Tokens(200);
    engine_ = EngineSpec{.tokens_per_event = 5};
    info_.prompt_tokens = Tokens(100);
    info_.max_output_tokens = Tokens(50);
    ListTargets(1);
    delegate_ = FakeDelegate();
    Start();
    for (const LedgerTransaction& transaction :
         ledger_.TakeTransactions(kStart)) {
      ledger_.CompleteTransaction(
          transaction.customer,
          {.outcome = CommitOutcome::kCommitted, .version = 1}, kStart);
    }
    exchange_->OnLedgerChanged(kStart);
    ASSERT_THAT(delegate_.attempts, SizeIs(1));
    exchange_->OnHead({.status = 200}, kStart);
    if (has_event) exchange_->OnBody(Event(1), kStart);
    BreakConnection(kStart);
    EXPECT_EQ(ledger_.Reserve(customer_, Tokens(150), kStart) ==
                  ReserveResult::kExhausted,
              has_event);
  }
}

TEST_F(ExchangeTest, OnlyDeliveredTokensAreSettled) {
  UseStreamingRoute(false);
  customer_ = CustomerId("c");
  prepaid_ = Tokens(10000);
  engine_ = EngineSpec{.tokens_per_event = 5};
  info_.prompt_tokens = Tokens(100);
  info_.max_output_tokens = Tokens(50);
  ListTargets(1);
  Start();
  EXPECT_THAT(delegate_.attempts, SizeIs(0));
  ASSERT_TRUE(exchange_->waits_for_tokens());
  for (const LedgerTransaction& transaction :
       ledger_.TakeTransactions(kStart)) {
    ledger_.CompleteTransaction(
        transaction.customer,
        {.outcome = CommitOutcome::kCommitted, .version = 1}, kStart);
  }
  const Tokens before = ledger_.FreeTokens(customer_, kStart);
  exchange_->OnLedgerChanged(kStart);
  ASSERT_THAT(delegate_.attempts, SizeIs(1));
  EXPECT_EQ(ledger_.FreeTokens(customer_, kStart), before - Tokens(150));
  exchange_->OnHead({.status = 200}, kStart);
  exchange_->OnBody(Event(1) + Event(2), kStart);
  exchange_->OnEnd(kStart);
  EXPECT_EQ(ledger_.FreeTokens(customer_, kStart), before - Tokens(110));
}

TEST_F(ExchangeTest, ARequestThatDidNotRunConsumesNoTokens) {
  customer_ = CustomerId("c");
  prepaid_ = Tokens(10000);
  engine_ = EngineSpec{};
  info_.prompt_tokens = Tokens(100);
  ListTargets(1);
  Start();
  for (const LedgerTransaction& transaction :
       ledger_.TakeTransactions(kStart)) {
    ledger_.CompleteTransaction(
        transaction.customer,
        {.outcome = CommitOutcome::kCommitted, .version = 1}, kStart);
  }
  const Tokens before = ledger_.FreeTokens(customer_, kStart);
  exchange_->OnLedgerChanged(kStart);
  exchange_->OnHead({.status = 503, .not_run = true}, kStart);
  ASSERT_TRUE(delegate_.sent_refusal.has_value());
  EXPECT_EQ(ledger_.FreeTokens(customer_, kStart), before);
}

}  // namespace
}  // namespace wisteriareel
