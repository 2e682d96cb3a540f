#include "gtest/gtest.h"
#include "src/forward/shutdown_plan.h"

namespace wisteriareel {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr ShutdownPlanOptions kOptions;
constexpr ShutdownProgress kBusy = {.has_requests = true, .has_tokens = true};
// Time after the start of the shutdown at which requests are ended.
const absl::Duration kRequestsEnd = kOptions.grace - kOptions.ending_time;

class ShutdownPlanTest : public ::testing::Test {
 protected:
  ShutdownPlanTest() { plan_.Begin(kStart); }

  // Returns true if a request that arrives `elapsed` after the start of the
  // shutdown and may last for `limit` is accepted.
  bool Accepts(absl::Duration elapsed, absl::Duration limit,
               bool is_retryable = false) const {
    return plan_.Accepts(
        {.deadline = kStart + elapsed + limit, .is_retryable = is_retryable},
        kStart + elapsed);
  }
  ShutdownStep NextStep(const ShutdownProgress& progress,
                        absl::Duration elapsed) const {
    return plan_.NextStep(progress, kStart + elapsed);
  }

  ShutdownPlan plan_{kOptions};
};

TEST(ShutdownPlanStartTest, AnInstanceThatDoesNotShutDownAcceptsAllRequests) {
  const ShutdownPlan plan(kOptions);
  EXPECT_FALSE(plan.IsDraining());
  EXPECT_FALSE(plan.IsClosing(kStart));
  EXPECT_TRUE(plan.Accepts({.deadline = kStart + absl::Hours(1)}, kStart));
}

// A request was accepted shortly before the balancer noticed the shutdown, and
// was cut off at its end.
TEST_F(ShutdownPlanTest, NoAcceptedRequestOutlastsTheProcess) {
  for (absl::Duration elapsed; elapsed <= kOptions.grace;
       elapsed += absl::Milliseconds(50)) {
    for (absl::Duration limit = absl::Milliseconds(50);
         limit <= absl::Seconds(20); limit += absl::Milliseconds(50)) {
      const bool is_late = elapsed >= kOptions.open_time;
      if (!Accepts(elapsed, limit, /*is_retryable=*/is_late)) continue;
      EXPECT_NE(NextStep(kBusy, elapsed + limit - absl::Milliseconds(1)),
                ShutdownStep::kEndRequests)
          << elapsed << " " << limit;
    }
  }
}

TEST_F(ShutdownPlanTest,
       ARequestThatEndsInTimeIsAcceptedUntilTheBalancerKnows) {
  EXPECT_TRUE(Accepts(absl::ZeroDuration(), kRequestsEnd));
  EXPECT_FALSE(
      Accepts(absl::ZeroDuration(), kRequestsEnd + absl::Milliseconds(1)));
  const absl::Duration last = kOptions.balancer_notice - absl::Milliseconds(1);
  EXPECT_TRUE(Accepts(last, absl::Seconds(1)));
  EXPECT_FALSE(Accepts(kOptions.balancer_notice, absl::Milliseconds(1)));
}

TEST_F(ShutdownPlanTest, AtTheStartRequestsThatMayBeRepeatedAreAccepted) {
  const absl::Duration limit = kOptions.grace;
  EXPECT_TRUE(Accepts(absl::ZeroDuration(), limit, /*is_retryable=*/true));
  EXPECT_FALSE(Accepts(absl::ZeroDuration(), limit));
  EXPECT_FALSE(Accepts(kOptions.open_time, limit, /*is_retryable=*/true));
}

TEST_F(ShutdownPlanTest, ASecondSignalDoesNotExtendTheShutdown) {
  plan_.Begin(kStart + absl::Seconds(3));
  EXPECT_TRUE(plan_.IsClosing(kStart + kOptions.balancer_notice));
  EXPECT_EQ(NextStep(kBusy, kRequestsEnd), ShutdownStep::kEndRequests);
}

TEST_F(ShutdownPlanTest, AnIdleInstanceWaitsForTheBalancer) {
  EXPECT_EQ(NextStep({}, kOptions.balancer_notice - absl::Milliseconds(1)),
            ShutdownStep::kServe);
  EXPECT_EQ(NextStep({}, kOptions.balancer_notice), ShutdownStep::kExitClean);
}

TEST_F(ShutdownPlanTest, TokensAreReturnedOnceNoRequestNeedsThem) {
  const absl::Duration notice = kOptions.balancer_notice;
  EXPECT_EQ(NextStep(kBusy, notice), ShutdownStep::kClose);
  EXPECT_EQ(NextStep({.has_tokens = true}, notice),
            ShutdownStep::kReturnTokens);
  EXPECT_EQ(NextStep(kBusy, kRequestsEnd - kOptions.token_return),
            ShutdownStep::kReturnTokens);
}

TEST_F(ShutdownPlanTest, TheProcessExitsBeforeItIsKilled) {
  EXPECT_EQ(NextStep(kBusy, kRequestsEnd), ShutdownStep::kEndRequests);
  EXPECT_EQ(NextStep({.has_output = true}, kRequestsEnd),
            ShutdownStep::kEndRequests);
  EXPECT_EQ(NextStep({.has_tokens = true}, kRequestsEnd), ShutdownStep::kExit);
  EXPECT_EQ(NextStep(kBusy, kOptions.grace - kOptions.kill_margin),
            ShutdownStep::kExit);
}

// With a short grace, requests were accepted after those in progress had been
// ended.
TEST(ShutdownPlanShortGraceTest, NoRequestIsAcceptedOnceRequestsAreEnded) {
  ShutdownPlan plan({.grace = absl::Seconds(1)});
  plan.Begin(kStart);
  const absl::Time end =
      kStart + absl::Seconds(1) - ShutdownPlanOptions().ending_time;
  EXPECT_FALSE(plan.IsClosing(end - absl::Milliseconds(1)));
  EXPECT_TRUE(plan.IsClosing(end));
  EXPECT_FALSE(plan.Accepts(
      {.deadline = end + absl::Hours(1), .is_retryable = true}, end));
}

TEST_F(ShutdownPlanTest, OutputThatIsNotReceivedDoesNotKeepTokens) {
  EXPECT_EQ(NextStep({.has_output = true, .has_tokens = true},
                     kOptions.balancer_notice),
            ShutdownStep::kReturnTokens);
  EXPECT_EQ(NextStep({.has_output = true}, kOptions.balancer_notice),
            ShutdownStep::kReturnTokens);
}

TEST_F(ShutdownPlanTest, AnIdleConnectionIsNotClosedWithUnreadBytes) {
  plan_.BeginExit(kStart + kOptions.balancer_notice);
  for (const bool has_served : {false, true}) {
    EXPECT_FALSE(
        plan_.ClosesIdle({.has_served = has_served, .has_unread = true},
                         kStart + kOptions.grace));
  }
}

TEST_F(ShutdownPlanTest, AConnectionThatServedARequestIsClosed) {
  const absl::Time notice = kStart + kOptions.balancer_notice;
  EXPECT_FALSE(
      plan_.ClosesIdle({.has_served = true}, notice - absl::Milliseconds(1)));
  EXPECT_TRUE(plan_.ClosesIdle({.has_served = true}, notice));
}

TEST_F(ShutdownPlanTest, ANewConnectionStaysOpenUntilTheExit) {
  EXPECT_FALSE(plan_.ClosesIdle({}, kStart + kOptions.grace));
  const absl::Time exit = kStart + absl::Seconds(5);
  plan_.BeginExit(exit);
  const absl::Time end = exit + kOptions.unread_time;
  EXPECT_FALSE(plan_.ClosesIdle({}, end - absl::Milliseconds(1)));
  EXPECT_TRUE(plan_.ClosesIdle({}, end));
}

TEST_F(ShutdownPlanTest, TheExitAnswersWhatIsQueued) {
  const absl::Time exit = kStart + absl::Seconds(5);
  plan_.BeginExit(exit);
  EXPECT_EQ(plan_.NextExitStep({}, exit), ExitStep::kRefuse);
  const absl::Time end = exit + kOptions.unread_time;
  EXPECT_EQ(plan_.NextExitStep({}, end - absl::Milliseconds(1)),
            ExitStep::kRefuse);
  EXPECT_EQ(plan_.NextExitStep({}, end), ExitStep::kEnd);
  EXPECT_EQ(plan_.NextExitStep({.has_requests = true}, end), ExitStep::kRefuse);
  EXPECT_EQ(plan_.NextExitStep({.has_output = true}, end), ExitStep::kRefuse);
}

TEST_F(ShutdownPlanTest, TheExitEndsBeforeTheProcessIsKilled) {
  const absl::Duration end = kOptions.grace - kOptions.kill_margin;
  EXPECT_EQ(NextStep(kBusy, end - kOptions.exit_time), ShutdownStep::kExit);
  EXPECT_LE(kOptions.unread_time, kOptions.exit_time);
  plan_.BeginExit(kStart + end - kOptions.exit_time);
  EXPECT_EQ(plan_.NextExitStep(kBusy, kStart + end - absl::Milliseconds(1)),
            ExitStep::kRefuse);
  EXPECT_EQ(plan_.NextExitStep(kBusy, kStart + end), ExitStep::kEnd);
}

}  // namespace
}  // namespace wisteriareel
