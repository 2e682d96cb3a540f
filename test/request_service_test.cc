#include "src/request/request_service.h"

#include "gtest/gtest.h"
#include "test/request_world.h"

namespace wisteriareel {
namespace {

class RequestServiceTest : public testing::Test {
 protected:
  RequestWorld world_;
};

TEST_F(RequestServiceTest, GivesAWholeStreamAndBillsItsUsage) {
  const CallResult result = world_.Call(RequestWorld::Chat("r", "m", true));
  EXPECT_EQ(result.verdict, Verdict::kRan);
  EXPECT_TRUE(world_.writer.whole());
  EXPECT_EQ(world_.writer.body(),
            world_.targets().Answer(RequestId("r"), true));
  ASSERT_EQ(world_.gate.records().size(), 1u);
  EXPECT_EQ(world_.gate.records()[0].billed, Tokens(10 + 8));
  EXPECT_EQ(world_.gate.balance(), Tokens(1'000'000 - 18));
}

TEST_F(RequestServiceTest, RefusesANonIdempotentServiceCallWithoutKey) {
  const CallResult result =
      world_.Call(RequestWorld::Service("r", "", "/records/issue"));
  EXPECT_EQ(result.verdict, Verdict::kNotRun);
  EXPECT_EQ(result.reason, Reason::kIdempotencyKeyMissing);
  EXPECT_EQ(world_.targets().sends(), 0);
  ASSERT_EQ(world_.gate.records().size(), 1u);
  EXPECT_EQ(world_.gate.records()[0].billed, Tokens(0));
}

TEST_F(RequestServiceTest, BillsOnlyTheEventsOfAnAnswerThatBreaks) {
  world_.targets().Script({AttemptFault::kCut, AttemptFault::kRestarted});
  const CallResult result = world_.Call(RequestWorld::Chat("r", "s", true));
  EXPECT_EQ(result.verdict, Verdict::kMayHaveRun);
  EXPECT_FALSE(world_.writer.whole());
  EXPECT_EQ(world_.gate.records()[0].billed, Tokens(4));
}

TEST_F(RequestServiceTest, CancelsAtTheTargetWhenTheCallerLeaves) {
  RecordingWriter writer;
  writer.LeaveAfter(10);
  const CallResult result =
      world_.service.Handle(RequestWorld::Chat("r", "m", true), &writer);
  EXPECT_EQ(result.reason, Reason::kCallerGone);
  EXPECT_EQ(world_.targets().cancels(), 1);
  EXPECT_EQ(world_.targets().sends(), 1);
}

TEST_F(RequestServiceTest, DrainWaitsForRequestsInFlightAndRefusesNewOnes) {
  RequestDrainReport first;
  world_.targets().OnSend([&](const TargetCall&) {
    first = world_.service.Drain(world_.clock.Now());
    RecordingWriter writer;
    const CallResult late =
        world_.service.Handle(RequestWorld::Chat("late", "m", false), &writer);
    EXPECT_EQ(late.reason, Reason::kDraining);
    EXPECT_EQ(late.verdict, Verdict::kNotRun);
  });
  EXPECT_EQ(world_.Call(RequestWorld::Chat("r", "m", false)).verdict,
            Verdict::kRan);
  EXPECT_EQ(first.in_flight_left, 1);
  EXPECT_EQ(world_.service.Drain(world_.clock.Now()).in_flight_left, 0);
}

}  // namespace
}  // namespace wisteriareel
