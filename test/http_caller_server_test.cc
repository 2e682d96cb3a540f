#include <atomic>
#include <future>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "test/caller_server_fixture.h"

namespace wisteriareel {
namespace {

using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

TEST_F(CallerServerTest, RefusesMethodsThatTargetsMayNotSupport) {
  Start();
  for (const char* method : {"HEAD", "OPTIONS", "TRACE"}) {
    EXPECT_THAT(
        Exchange(absl::StrCat(
            method, " /x HTTP/1.1\r\nAuthorization: Bearer good\r\n\r\n")),
        StartsWith("HTTP/1.1 4"));
  }
  EXPECT_EQ(handler_.calls, 0);
}

TEST_F(CallerServerTest, PassesAChatCallToTheHandler) {
  Start();
  const std::string response =
      Exchange(Chat(R"({"model":"m","max_tokens":7,"stream":true,)"
                    R"("messages":[{"role":"user","content":"hi"}]})",
                    "Idempotency-Key: k1\r\nX-Request-Priority: batch\r\n"));
  const CallerRequest call = handler_.Last();
  EXPECT_EQ(call.kind, CallKind::kChat);
  EXPECT_EQ(call.customer, CustomerId("c"));
  EXPECT_EQ(call.budget, BudgetId("b"));
  EXPECT_EQ(call.model, ModelName("m"));
  EXPECT_EQ(call.output_limit, 7u);
  EXPECT_TRUE(call.streamed);
  EXPECT_EQ(call.idempotency_key, IdempotencyKey("k1"));
  EXPECT_EQ(call.priority, Priority::kBatch);
  EXPECT_GE(call.max_prompt_tokens, Tokens(static_cast<int>(call.body.size())));
  EXPECT_THAT(response, HasSubstr("X-Request-Id: " + call.id.value()));
}

TEST_F(CallerServerTest, PassesAServiceCallUnchangedToTheHandler) {
  Start();
  const std::string body("\0a=b&c\xff", 7);
  const std::string response =
      Exchange(Post("/records/issue?x=1", body,
                    "Content-Type: application/x-www-form-urlencoded\r\n"));
  const CallerRequest call = handler_.Last();
  EXPECT_EQ(call.kind, CallKind::kService);
  EXPECT_EQ(call.path, "/records/issue?x=1");
  EXPECT_EQ(call.body, body);
  EXPECT_EQ(call.content_type, "application/x-www-form-urlencoded");
  EXPECT_THAT(response, HasSubstr("Content-Length: 14\r\n"));
  EXPECT_THAT(response, testing::EndsWith("{\"whole\":true}"));
}

TEST_F(CallerServerTest, ServesSeveralRequestsOnOneConnection) {
  Start();
  const std::string call = Chat(kChatBody);
  const std::string response = Exchange(absl::StrCat(call, call, call));
  EXPECT_EQ(handler_.calls, 3) << response;
}

TEST_F(CallerServerTest, StreamsEventsAndAppendsTheEndMarker) {
  handler_.respond = [](ResponseWriter* writer) {
    writer->WriteHead(200, "text/event-stream");
    writer->WriteData("data: a\n\n");
    writer->Finish();
    return CallResult{.verdict = Verdict::kRan};
  };
  Start();
  const std::string response = Exchange(Chat(kStreamBody));
  EXPECT_THAT(response, HasSubstr("Transfer-Encoding: chunked"));
  EXPECT_THAT(response,
              testing::EndsWith("\r\n\r\n9\r\ndata: a\n\n\r\ne\r\ndata: "
                                "[DONE]\n\n\r\n0\r\n\r\n"));
}

TEST_F(CallerServerTest, NeverMarksAnUnfinishedStreamComplete) {
  handler_.respond = [](ResponseWriter* writer) {
    writer->WriteHead(200, "text/event-stream");
    writer->WriteData("data: a\n\n");
    return CallResult{.verdict = Verdict::kMayHaveRun,
                      .reason = Reason::kAnswerIncomplete};
  };
  Start();
  const std::string response = Exchange(Chat(kStreamBody));
  EXPECT_THAT(response, HasSubstr("\"reason\":\"answer_incomplete\""));
  EXPECT_THAT(response, HasSubstr("\"verdict\":\"may_have_run\""));
  EXPECT_THAT(response, Not(HasSubstr("[DONE]")));
  EXPECT_THAT(response, Not(HasSubstr("\r\n0\r\n")));
}

TEST_F(CallerServerTest, ReplacesAnUnfinishedResponseByTheError) {
  handler_.respond = [](ResponseWriter* writer) {
    writer->WriteHead(200, "application/json");
    writer->WriteData("{\"half\":");
    return CallResult{.verdict = Verdict::kRan,
                      .reason = Reason::kTargetFailed};
  };
  Start();
  const std::string response = Exchange(Chat(kChatBody));
  EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
  EXPECT_THAT(response, HasSubstr("\"verdict\":\"ran\""));
  EXPECT_THAT(response, Not(HasSubstr("half")));
}

// curl -d, as in the README's example, sends a form content type.
TEST_F(CallerServerTest, ParsesTheBodyAsJsonDespiteAFormContentType) {
  Start();
  for (const char* type :
       {"", "Content-Type: application/x-www-form-urlencoded\r\n"}) {
    EXPECT_THAT(Exchange(Chat(kChatBody, type)), StartsWith("HTTP/1.1 200"));
  }
}

TEST_F(CallerServerTest, ReportsMayHaveRunWhenTheHandlerThrows) {
  handler_.respond = [](ResponseWriter*) -> CallResult {
    throw std::runtime_error("failed");
  };
  Start();
  const std::string response = Exchange(Chat(kChatBody));
  EXPECT_THAT(response, StartsWith("HTTP/1.1 500"));
  EXPECT_THAT(response, HasSubstr("\"verdict\":\"may_have_run\""));
  handler_.respond = [](ResponseWriter* writer) -> CallResult {
    writer->WriteHead(200, "text/event-stream");
    writer->WriteData("data: a\n\n");
    throw std::runtime_error("failed");
  };
  EXPECT_THAT(Exchange(Chat(kStreamBody)),
              testing::EndsWith("9\r\ndata: a\n\n\r\n"));
}

TEST_F(CallerServerTest, SetsRetryAfterRoundedUpToSeconds) {
  handler_.respond = [](ResponseWriter*) {
    return CallResult{.reason = Reason::kShedOverload,
                      .retry_after = absl::Milliseconds(1500)};
  };
  Start();
  const std::string response = Exchange(Chat(kChatBody));
  EXPECT_THAT(response, StartsWith("HTTP/1.1 429"));
  EXPECT_THAT(response, HasSubstr("Retry-After: 2\r\n"));
}

TEST_F(CallerServerTest, StopWaitsForStreamsInFlight) {
  std::promise<void> begun;
  std::promise<void> released;
  handler_.respond = [&](ResponseWriter* writer) {
    writer->WriteHead(200, "text/event-stream");
    writer->WriteData("data: a\n\n");
    begun.set_value();
    released.get_future().wait();
    writer->WriteData("data: b\n\n");
    writer->Finish();
    return CallResult{.verdict = Verdict::kRan};
  };
  Start();
  auto response = std::async(std::launch::async,
                             [this] { return Exchange(Chat(kStreamBody)); });
  begun.get_future().wait();
  auto cut = std::async(std::launch::async,
                        [this] { return server_->Stop(absl::Seconds(20)); });
  released.set_value();
  EXPECT_EQ(cut.get(), 0u);
  EXPECT_THAT(response.get(), testing::EndsWith("[DONE]\n\n\r\n0\r\n\r\n"));
  RawConnection late(server_->port());
  EXPECT_FALSE(late.connected());
}

TEST_F(CallerServerTest, TellsTheHandlerThatTheCallerDisconnected) {
  std::promise<void> begun;
  std::promise<bool> gone;
  handler_.respond = [&](ResponseWriter* writer) {
    begun.set_value();
    while (!writer->CallerDisconnected()) std::this_thread::yield();
    gone.set_value(true);
    return CallResult{.reason = Reason::kCallerGone};
  };
  Start();
  {
    RawConnection connection(server_->port());
    connection.Send(Chat(kChatBody));
    begun.get_future().wait();
  }
  EXPECT_TRUE(gone.get_future().get());
}

TEST_F(CallerServerTest, ServesMonitoringPagesWithoutAKey) {
  Start();
  const auto get = [this](const char* path) {
    return Exchange(absl::StrCat("GET ", path, " HTTP/1.1\r\n\r\n"));
  };
  EXPECT_THAT(get("/healthz"), StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(get("/readyz"), StartsWith("HTTP/1.1 200"));
  ready_ = false;
  EXPECT_THAT(get("/readyz"), StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(get("/metrics"), HasSubstr("m 1\n"));
}

TEST_F(CallerServerTest, RefusesAllRequestsUntilConfigurationIsLoaded) {
  PublishedConfig empty;
  server_ = std::make_unique<CallerServer>(
      options_,
      CallerServerDependencies{
          .config = &empty, .handler = &handler_, .random = random_.get()});
  LastReason reason;
  ASSERT_TRUE(server_->Start(&reason));
  EXPECT_THAT(Exchange(Chat(kChatBody)), StartsWith("HTTP/1.1 503"));
  EXPECT_EQ(handler_.calls, 0);
  server_.reset();
}

}  // namespace
}  // namespace wisteriareel
