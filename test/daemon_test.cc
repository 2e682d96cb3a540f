#include "src/app/daemon.h"

#include <future>
#include <nlohmann/json.hpp>
#include <string>

#include "grpcpp/grpcpp.h"
#include "gtest/gtest.h"
#include "test/fleet_fixture.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

std::string ErrorField(const std::string& body, const char* field) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error")) return body;
  return parsed.at("error").at(field).get<std::string>();
}

class DaemonRequestTest : public FleetFixture {};

TEST_F(DaemonRequestTest, ReturnsUnaryAndStreamedResponsesInTwoZones) {
  Daemon* south = StartDaemon("south");
  Daemon* west = StartDaemon("west");
  Configure(south);

  const CallerResponse unary = Chat(*south, "label strength?", 8, false);
  ASSERT_EQ(unary.status, 200) << unary.body;
  EXPECT_EQ(
      json::parse(unary.body).at("choices").at(0).at("message").at("content"),
      ExpectedText("label strength?", 8));

  const CallerResponse streamed = Chat(*west, "duty on cider?", 8, true);
  ASSERT_EQ(streamed.status, 200) << streamed.body;
  EXPECT_EQ(StreamedText(streamed.body), ExpectedText("duty on cider?", 8));
}

TEST_F(DaemonRequestTest, FindsTheRecordOfARequestByItsId) {
  Daemon* south = StartDaemon("south");
  Configure(south);
  const CallerResponse response = Chat(*south, "label strength?", 4, false);
  ASSERT_EQ(response.status, 200) << response.body;

  const auto stub = OperatorStub(*south);
  v1::FindRequestResponse found;
  Await(
      [&] {
        grpc::ClientContext context;
        Authorize(&context);
        v1::FindRequestRequest request;
        request.set_request_id(response.request_id);
        return stub->FindRequest(&context, request, &found).ok();
      },
      "the record to be persisted");
  EXPECT_EQ(found.record().customer_id(), "brewers");
  EXPECT_EQ(found.record().verdict(), v1::VERDICT_RAN);
  EXPECT_EQ(found.record().output_tokens(), 4);
}

TEST_F(DaemonRequestTest, RefusesRequestsBeyondTheBudgetAsNotRun) {
  Daemon* south = StartDaemon("south");
  Configure(south, /*top_up_tokens=*/50);
  const CallerResponse response = Chat(*south, "label strength?", 4096, false);
  EXPECT_NE(response.status, 200);
  EXPECT_EQ(ErrorField(response.body, "verdict"), "not_run");
  EXPECT_EQ(engine_a_.started() + engine_b_.started(), 0u);
}

TEST_F(DaemonRequestTest, RefusesUnknownKeysBeforeAnythingRuns) {
  Daemon* south = StartDaemon("south");
  Configure(south);
  const CallerResponse response =
      Chat(*south, "hello", 4, false, "no-such-key");
  EXPECT_EQ(response.status, 401);
  EXPECT_EQ(ErrorField(response.body, "verdict"), "not_run");
  EXPECT_EQ(engine_a_.started() + engine_b_.started(), 0u);
}

class DaemonIdempotencyTest : public FleetFixture {};

TEST_F(DaemonIdempotencyTest, RunsARequestOnceWhenTheCallerRetriesElsewhere) {
  Daemon* south = StartDaemon("south");
  Daemon* west = StartDaemon("west");
  Configure(south);
  const CallerResponse first = SubmitReturn(*south, "return-11");
  const CallerResponse again = SubmitReturn(*west, "return-11");
  EXPECT_EQ(first.status, 200) << first.body;
  EXPECT_EQ(again.body, first.body);
  EXPECT_EQ(service_.Executions("return-11"), 1u);
}

TEST_F(DaemonIdempotencyTest, NeverRerunsARequestThatMayHaveRun) {
  Daemon* south = StartDaemon("south");
  Daemon* west = StartDaemon("west");
  Configure(south);
  ASSERT_TRUE(service_.SetFaults({{"lose_replies", 1}}));
  const CallerResponse first = SubmitReturn(*south, "return-12");
  EXPECT_EQ(ErrorField(first.body, "verdict"), "may_have_run") << first.body;
  const CallerResponse again = SubmitReturn(*west, "return-12");
  EXPECT_EQ(ErrorField(again.body, "verdict"), "may_have_run") << again.body;
  EXPECT_EQ(service_.Executions("return-12"), 1u);
}

TEST_F(DaemonIdempotencyTest, RunsNothingWithoutAConfirmedClaim) {
  Daemon* south = StartDaemon("south");
  Configure(south);
  ASSERT_EQ(SubmitReturn(*south, "return-13").status, 200);
  ASSERT_TRUE(platform_.SetFaults({{"table_outage", 1}}));
  const CallerResponse refused = SubmitReturn(*south, "return-14");
  // The verdict is not "not_run": without the claim's row it is unknown whether
  // an earlier call with the same key has run.
  EXPECT_EQ(ErrorField(refused.body, "reason"), "claim_unconfirmed");
  EXPECT_EQ(service_.Executions("return-14"), 0u);
  ASSERT_TRUE(platform_.SetFaults({{"table_outage", 0}}));
  EXPECT_EQ(SubmitReturn(*south, "return-14").status, 200);
  EXPECT_EQ(service_.Executions("return-14"), 1u);
}

class DaemonFaultToleranceTest : public FleetFixture {};

TEST_F(DaemonFaultToleranceTest,
       ServesFromItsGrantWhileThePlatformIsUnavailable) {
  Daemon* south = StartDaemon("south");
  Configure(south);
  ASSERT_EQ(Chat(*south, "before", 4, true).status, 200);
  ASSERT_TRUE(platform_.SetFaults(
      {{"table_outage", 1}, {"objects_outage", 1}, {"instances_outage", 1}}));
  const CallerResponse response = Chat(*south, "during", 4, true);
  EXPECT_EQ(StreamedText(response.body), ExpectedText("during", 4));
}

TEST_F(DaemonFaultToleranceTest, ResumesAStreamThatBreaksOrStalls) {
  Daemon* south = StartDaemon("south");
  Configure(south);
  for (const char* fault : {"cuts", "silences", "cuts_before_end"}) {
    ASSERT_TRUE(engine_a_.SetFaults({{fault, 1}}));
    ASSERT_TRUE(engine_b_.SetFaults({{fault, 1}}));
    const CallerResponse response = Chat(*south, fault, 12, true);
    EXPECT_EQ(StreamedText(response.body), ExpectedText(fault, 12)) << fault;
    ASSERT_TRUE(engine_a_.SetFaults({{fault, 0}}));
    ASSERT_TRUE(engine_b_.SetFaults({{fault, 0}}));
  }
}

TEST_F(DaemonFaultToleranceTest, CallerRetriesElsewhereAfterACrash) {
  Daemon* south = StartDaemon("south");
  Daemon* west = StartDaemon("west");
  Configure(south);
  auto cut = std::async(std::launch::async,
                        [&] { return Chat(*south, "season", 100, true); });
  Await([&] { return engine_a_.started() + engine_b_.started() > 0; },
        "the stream to begin");
  Crash(south);
  const CallerResponse broken = cut.get();
  EXPECT_EQ(StreamedText(broken.body), "")
      << "a truncated response looked complete";
  const CallerResponse unary = Chat(*west, "season", 40, true);
  EXPECT_EQ(StreamedText(unary.body), ExpectedText("season", 40));
}

class DaemonDrainTest : public FleetFixture {};

TEST_F(DaemonDrainTest, ShutdownCompletesRequestsAndLeavesNothingOpen) {
  Daemon* south = StartDaemon("south");
  Configure(south);
  // Delays the first token until after the drain has started.
  ASSERT_TRUE(engine_a_.SetFaults({{"slow_ms", 5000}}));
  ASSERT_TRUE(engine_b_.SetFaults({{"slow_ms", 5000}}));
  auto stream = std::async(std::launch::async,
                           [&] { return Chat(*south, "season", 40, true); });
  Await([&] { return engine_a_.started() + engine_b_.started() > 0; },
        "the stream to begin");
  south->RequestDrain();
  EXPECT_FALSE(south->Ready());
  const ShutdownReport report = south->Shutdown();
  EXPECT_TRUE(report.clean())
      << "requests left " << report.requests_left << ", claims "
      << report.claims_left << ", records " << report.records_left
      << ", grants returned " << report.grants_returned;
  const CallerResponse response = stream.get();
  EXPECT_EQ(StreamedText(response.body), ExpectedText("season", 40))
      << "status " << response.status << ", body " << response.body;
}

}  // namespace
}  // namespace wisteriareel
