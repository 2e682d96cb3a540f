#include "src/request/request_service.h"

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "src/request/billing.h"
#include "test/request_fleet.h"

namespace wisteriareel {
namespace {

class RequestServiceTest : public testing::Test {
 protected:
  RequestFleet fleet_;
};

TEST_F(RequestServiceTest, DeliversACompleteStreamAndBillsItsUsage) {
  const CallResult result = fleet_.Call(ChatCall("r", "m", true));
  EXPECT_EQ(result.verdict, Verdict::kRan);
  EXPECT_TRUE(fleet_.writer.complete());
  EXPECT_EQ(fleet_.writer.body(),
            fleet_.targets.ExpectedResponse(RequestId("r"), true));
  ASSERT_EQ(fleet_.budget.records().size(), 1u);
  EXPECT_EQ(fleet_.budget.records()[0].billed, Tokens(10 + 8));
  EXPECT_EQ(fleet_.budget.balance(), Tokens(1'000'000 - 18));
}

TEST_F(RequestServiceTest, RefusesANonIdempotentServiceCallWithoutKey) {
  const CallResult result = fleet_.Call(ServiceCall("r", "", "/records/issue"));
  EXPECT_EQ(result.verdict, Verdict::kNotRun);
  EXPECT_EQ(result.reason, Reason::kIdempotencyKeyMissing);
  EXPECT_EQ(fleet_.targets.sends(), 0);
  ASSERT_EQ(fleet_.budget.records().size(), 1u);
  EXPECT_EQ(fleet_.budget.records()[0].billed, Tokens(0));
}

TEST_F(RequestServiceTest, BillsOnlyDeliveredEventsOfAnIncompleteResponse) {
  fleet_.targets.ScriptFaults({AttemptFault::kCut, AttemptFault::kRestarted});
  const CallResult result = fleet_.Call(ChatCall("r", "s", true));
  EXPECT_EQ(result.verdict, Verdict::kMayHaveRun);
  EXPECT_FALSE(fleet_.writer.complete());
  EXPECT_EQ(fleet_.budget.records()[0].billed, Tokens(4));
}

TEST_F(RequestServiceTest, CancelsAtTheTargetWhenTheCallerDisconnects) {
  RecordingWriter writer;
  writer.DisconnectAfter(10);
  const CallResult result =
      fleet_.service().Handle(ChatCall("r", "m", true), &writer);
  EXPECT_EQ(result.reason, Reason::kCallerGone);
  EXPECT_EQ(fleet_.targets.cancels(), 1);
  EXPECT_EQ(fleet_.targets.sends(), 1);
}

TEST_F(RequestServiceTest, DrainWaitsForRequestsInFlightAndRefusesNewOnes) {
  RequestDrainReport drain_in_flight;
  fleet_.targets.SetSendHook([&](const TargetCall&) {
    drain_in_flight = fleet_.service().Drain(fleet_.clock.Now());
    RecordingWriter writer;
    const CallResult late =
        fleet_.service().Handle(ChatCall("late", "m", false), &writer);
    EXPECT_EQ(late.reason, Reason::kDraining);
    EXPECT_EQ(late.verdict, Verdict::kNotRun);
  });
  EXPECT_EQ(fleet_.Call(ChatCall("r", "m", false)).verdict, Verdict::kRan);
  EXPECT_EQ(drain_in_flight.in_flight_left, 1);
  EXPECT_EQ(fleet_.service().Drain(fleet_.clock.Now()).in_flight_left, 0);
}

// The price of a request never exceeds its reservation, and is zero if the
// request did not run.
RC_GTEST_PROP(PriceTest, StaysWithinTheReservation, ()) {
  FinishedRequest finished{
      .kind = *rc::gen::element(CallKind::kChat, CallKind::kService),
      .streamed = *rc::gen::arbitrary<bool>(),
      .verdict = *rc::gen::element(Verdict::kNotRun, Verdict::kRan,
                                   Verdict::kMayHaveRun),
      .reason = *rc::gen::element(Reason::kNone, Reason::kCallerGone),
      .complete = *rc::gen::arbitrary<bool>(),
      .status = *rc::gen::element(200, 404, 500),
      .output_events = *rc::gen::inRange<std::uint64_t>(0, 200),
      .max_prompt_tokens = Tokens(*rc::gen::inRange(0, 100)),
      .worst_case = Tokens(*rc::gen::inRange(0, 200))};
  if (*rc::gen::arbitrary<bool>()) {
    finished.usage = ChatUsage{.prompt = Tokens(*rc::gen::inRange(0, 100)),
                               .output = Tokens(*rc::gen::inRange(0, 200))};
  }
  const Tokens price = ComputePrice(finished);
  RC_ASSERT(price >= Tokens());
  RC_ASSERT(price <= finished.worst_case);
  if (finished.verdict == Verdict::kNotRun) RC_ASSERT(price == Tokens());
}

}  // namespace
}  // namespace wisteriareel
