#include <algorithm>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "src/request/response_relay.h"
#include "test/request_fleet.h"

namespace wisteriareel {
namespace {

constexpr std::int64_t kPromptTokens = 10;
constexpr std::int64_t kEvents = 8;

// Makes one call under the faults. Checks that a response is complete or
// reported as an error, and checks the billed tokens and the number of
// executions. Returns a description of the violation, or an empty string.
std::string CheckCall(const CallerRequest& request, bool idempotent,
                      const std::vector<AttemptFault>& faults) {
  RequestFleet fleet;
  fleet.targets.ScriptFaults(faults);
  const CallResult result = fleet.Call(request);
  const std::string expected =
      fleet.targets.ExpectedResponse(request.id, request.streamed);
  const std::string& body = fleet.writer.body();
  const bool complete = fleet.writer.complete();
  if (complete && fleet.writer.status() == 200 && body != expected) {
    return "wrong complete response: " + body;
  }
  if (!complete && !expected.starts_with(body)) {
    return "not a prefix of the response: " + body;
  }
  if (complete != (result.reason == Reason::kNone)) {
    return "the reason does not match the response";
  }
  const int executions = fleet.targets.Executions(request.id);
  if (result.verdict == Verdict::kNotRun && executions > 0) {
    return "reported as not run, but ran";
  }
  if (!idempotent && executions > 1) return "ran more than once";
  const auto records = fleet.budget.records();
  if (records.size() != 1) return "not exactly one record";
  const Tokens billed = records[0].billed;
  if (fleet.budget.balance() + billed != RequestFleet::kBalance) {
    return "the balance does not match the billed tokens";
  }
  if (fleet.budget.open() != 0) return "a reservation was not released";
  const std::int64_t events = std::count(body.begin(), body.end(), '{') / 3;
  if (!complete && request.streamed && billed != Tokens(events)) {
    return "billed tokens differ from the delivered events";
  }
  if (!complete && body.empty() && billed > Tokens()) {
    return "billed without a response";
  }
  if (complete && fleet.writer.status() == 200 && request.streamed &&
      billed < Tokens(kPromptTokens + kEvents)) {
    return "billed too little";
  }
  if (request.streamed && billed > Tokens(50 + kEvents)) {
    return "billed twice";
  }
  return "";
}

struct CallShape {
  const char* model;
  bool streamed;
  bool idempotent;
};
constexpr CallShape kShapes[] = {{"m", true, true},
                                 {"m", false, true},
                                 {"s", true, false},
                                 {"s", false, false}};

TEST(StreamTest, IsCompleteOrAnErrorUnderEveryTripleOfFaults) {
  for (const CallShape& shape : kShapes) {
    for (int a = 0; a < kAttemptFaultCount; ++a) {
      for (int b = 0; b < kAttemptFaultCount; ++b) {
        for (int c = 0; c < kAttemptFaultCount; ++c) {
          EXPECT_EQ(
              CheckCall(
                  ChatCall("r", shape.model, shape.streamed), shape.idempotent,
                  {static_cast<AttemptFault>(a), static_cast<AttemptFault>(b),
                   static_cast<AttemptFault>(c)}),
              "")
              << shape.model << shape.streamed << ": " << a << ", " << b << ", "
              << c;
        }
      }
    }
  }
}

class StreamRecoveryTest : public testing::Test {
 protected:
  RequestFleet fleet_;
};

TEST_F(StreamRecoveryTest, ResumesAStalledStreamWithinTwoSeconds) {
  fleet_.targets.ScriptFaults({AttemptFault::kStalled});
  const absl::Time started = fleet_.clock.Now();
  std::vector<TargetCall> calls;
  fleet_.targets.SetSendHook(
      [&](const TargetCall& call) { calls.push_back(call); });
  EXPECT_EQ(fleet_.Call(ChatCall("r", "s", true)).reason, Reason::kNone);
  ASSERT_EQ(calls.size(), 2u);
  EXPECT_EQ(calls[1].target, calls[0].target);
  EXPECT_EQ(calls[1].resume_offset, 4 - ResponseRelay::kResumeOverlap);
  EXPECT_TRUE(calls[1].fresh_connection);
  EXPECT_EQ(fleet_.targets.cancels(), 0) << "the run is still needed";
  EXPECT_EQ(fleet_.targets.Executions(RequestId("r")), 1);
  const absl::Duration streaming = absl::Milliseconds(20) * (kEvents + 1);
  EXPECT_LT(fleet_.clock.Now() - started, streaming + absl::Seconds(2));
}

TEST_F(StreamRecoveryTest, RunsADeterministicStreamAgainAtAnotherTarget) {
  fleet_.targets.ScriptFaults({AttemptFault::kCut, AttemptFault::kUnreachable,
                               AttemptFault::kUnreachable});
  EXPECT_EQ(fleet_.Call(ChatCall("r", "m", true)).reason, Reason::kNone);
  EXPECT_EQ(fleet_.targets.Executions(RequestId("r")), 2);
  EXPECT_EQ(fleet_.budget.records()[0].billed, Tokens(kPromptTokens + kEvents));
}

// An event that arrives at the relay in any order, from one of two runs.
struct ArrivingEvent {
  // Relative to the next event that the caller needs.
  int offset = 0;
  bool other_run = false;
};

RC_GTEST_PROP(ResponseRelayTest, ForwardsEachEventOnceAndInOrder, ()) {
  const auto arriving_events = *rc::gen::container<std::vector<ArrivingEvent>>(
      rc::gen::build<ArrivingEvent>(
          rc::gen::set(&ArrivingEvent::offset,
                       rc::gen::weightedElement<int>(
                           {{8, 0}, {2, -1}, {2, -2}, {1, 1}})),
          rc::gen::set(
              &ArrivingEvent::other_run,
              rc::gen::weightedElement<bool>({{8, false}, {1, true}}))));
  RecordingWriter writer;
  SteppingClock clock;
  ResponseRelay relay({.chat = true,
                       .streamed = true,
                       .compare_retries = true,
                       .clock = &clock},
                      &writer);
  std::string expected;
  bool failed = false;
  ResponseSink* sink = relay.BeginAttempt();
  sink->OnHead(200, "text/event-stream");
  for (const ArrivingEvent& arriving : arriving_events) {
    const std::uint64_t next = relay.delivered();
    if (arriving.offset < 0 && next < 2) continue;
    const std::uint64_t position = next + arriving.offset;
    const std::string event =
        absl::StrCat("data: {\"choices\":[{\"delta\":{\"content\":\"", position,
                     arriving.other_run ? "b" : "a", "\"}}]}\n\n");
    const bool accepted = sink->OnData(position, event);
    const bool differs =
        position < next && expected.find(event) == std::string::npos;
    failed = failed || position > next || differs;
    RC_ASSERT(accepted == !failed);
    if (accepted && position == next) expected += event;
  }
  RC_ASSERT(writer.body() == expected);
  RC_ASSERT(relay.EndAttempt({.complete = true}) == !failed);
  RC_ASSERT(!sink->OnData(relay.delivered(), "data: late\n\n"));
  RC_ASSERT(writer.body() == expected);
}

TEST(ProvenVerdictTest, DoesNotAcceptNotRunAfterAResponseHasStarted) {
  const TargetOutcome refused{.verdict = Verdict::kNotRun, .status = 200};
  EXPECT_EQ(ProvenVerdict(refused, true, false), Verdict::kMayHaveRun);
  EXPECT_EQ(ProvenVerdict(refused, false, false), Verdict::kNotRun);
  const TargetOutcome busy{.verdict = Verdict::kNotRun, .status = 503};
  EXPECT_EQ(ProvenVerdict(busy, true, true), Verdict::kNotRun);
  const TargetOutcome truncated{.verdict = Verdict::kRan, .status = 200};
  EXPECT_EQ(ProvenVerdict(truncated, true, false), Verdict::kMayHaveRun);
}

}  // namespace
}  // namespace wisteriareel
