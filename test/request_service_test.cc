#include "src/request/request_service.h"

#include "gtest/gtest.h"
#include "test/request_fleet.h"

namespace wisteriareel {
namespace {

class RequestServiceTest : public testing::Test {
 protected:
  RequestFleet fleet_;
};

TEST_F(RequestServiceTest, GivesAWholeStreamAndBillsItsUsage) {
  const CallResult result = fleet_.Call(ChatCall("r", "m", true));
  EXPECT_EQ(result.verdict, Verdict::kRan);
  EXPECT_TRUE(fleet_.writer.whole());
  EXPECT_EQ(fleet_.writer.body(), fleet_.targets.Answer(RequestId("r"), true));
  ASSERT_EQ(fleet_.gate.records().size(), 1u);
  EXPECT_EQ(fleet_.gate.records()[0].billed, Tokens(10 + 8));
  EXPECT_EQ(fleet_.gate.balance(), Tokens(1'000'000 - 18));
}

TEST_F(RequestServiceTest, RefusesANonIdempotentServiceCallWithoutKey) {
  const CallResult result = fleet_.Call(ServiceCall("r", "", "/records/issue"));
  EXPECT_EQ(result.verdict, Verdict::kNotRun);
  EXPECT_EQ(result.reason, Reason::kIdempotencyKeyMissing);
  EXPECT_EQ(fleet_.targets.sends(), 0);
  ASSERT_EQ(fleet_.gate.records().size(), 1u);
  EXPECT_EQ(fleet_.gate.records()[0].billed, Tokens(0));
}

TEST_F(RequestServiceTest, BillsOnlyTheEventsOfAnAnswerThatBreaks) {
  fleet_.targets.Script({AttemptFault::kCut, AttemptFault::kRestarted});
  const CallResult result = fleet_.Call(ChatCall("r", "s", true));
  EXPECT_EQ(result.verdict, Verdict::kMayHaveRun);
  EXPECT_FALSE(fleet_.writer.whole());
  EXPECT_EQ(fleet_.gate.records()[0].billed, Tokens(4));
}

TEST_F(RequestServiceTest, CancelsAtTheTargetWhenTheCallerLeaves) {
  RecordingWriter writer;
  writer.LeaveAfter(10);
  const CallResult result =
      fleet_.service().Handle(ChatCall("r", "m", true), &writer);
  EXPECT_EQ(result.reason, Reason::kCallerGone);
  EXPECT_EQ(fleet_.targets.cancels(), 1);
  EXPECT_EQ(fleet_.targets.sends(), 1);
}

TEST_F(RequestServiceTest, DrainWaitsForRequestsInFlightAndRefusesNewOnes) {
  RequestDrainReport first;
  fleet_.targets.OnSend([&](const TargetCall&) {
    first = fleet_.service().Drain(fleet_.clock.Now());
    RecordingWriter writer;
    const CallResult late =
        fleet_.service().Handle(ChatCall("late", "m", false), &writer);
    EXPECT_EQ(late.reason, Reason::kDraining);
    EXPECT_EQ(late.verdict, Verdict::kNotRun);
  });
  EXPECT_EQ(fleet_.Call(ChatCall("r", "m", false)).verdict, Verdict::kRan);
  EXPECT_EQ(first.in_flight_left, 1);
  EXPECT_EQ(fleet_.service().Drain(fleet_.clock.Now()).in_flight_left, 0);
}

}  // namespace
}  // namespace wisteriareel
