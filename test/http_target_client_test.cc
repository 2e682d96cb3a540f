#include "src/http/http_target_client.h"

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "standin/engine_text.h"
#include "standin/model_engine.h"
#include "standin/plain_service.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

// Number of responses that the service sends twice.
constexpr std::uint64_t kDuplicateCount = 10;

// Stores the received data and checks that positions are contiguous.
class RecordingSink final : public ResponseSink {
 public:
  void OnHead(int status, std::string_view) override { status_ = status; }
  bool OnData(std::uint64_t position, std::string_view bytes) override {
    if (next_ == UINT64_MAX) next_ = position;
    EXPECT_EQ(position, next_);
    const bool event = bytes.starts_with("data: ");
    next_ += event ? 1 : bytes.size();
    text_ += bytes;
    if (event) AppendContent(bytes.substr(sizeof("data: ") - 1));
    return next_ < stop_at_;
  }

  int status_ = 0;
  std::uint64_t next_ = UINT64_MAX;
  std::uint64_t stop_at_ = UINT64_MAX;
  std::string text_;
  // Concatenated content of the events' deltas.
  std::string content_;

 private:
  void AppendContent(std::string_view data) {
    const auto event = nlohmann::json::parse(data.begin(), data.end());
    content_ += event["choices"][0]["delta"].value("content", "");
  }
};

class HttpTargetClientTest : public testing::Test {
 protected:
  void SetUp() override {
    LastReason reason;
    ASSERT_TRUE(engine_->Start({"127.0.0.1", 0}, &reason)) << reason.detail();
    ASSERT_TRUE(service_->Start({"127.0.0.1", 0}, &reason)) << reason.detail();
  }

  TargetCall Call(int port) const {
    return {.request = RequestId("r1"),
            .endpoint = {"127.0.0.1", static_cast<std::uint16_t>(port)},
            .path = "/records/issue",
            .body = "{}",
            .connect_timeout = absl::Seconds(5),
            .progress_timeout = absl::Seconds(20)};
  }
  TargetCall ServiceCall() const { return Call(service_->port()); }
  TargetCall StreamCall() const {
    TargetCall call = Call(engine_->port());
    call.path = "/v1/chat/completions";
    call.body = R"({"model":"small","stream":true,"max_tokens":8,)"
                R"("messages":[{"role":"user","content":"hi"}]})";
    call.streamed = true;
    return call;
  }

  TargetOutcome Send(const TargetCall& call) {
    return client_.Send(call, &sink_, never_);
  }

  // Tokens of the complete response to StreamCall.
  static constexpr std::uint64_t kTokens = 8;
  // One event per token, and one with the usage.
  static constexpr std::uint64_t kEvents = kTokens + 1;
  const std::string expected_ = EngineText("hi").Prefix(kTokens);

  std::unique_ptr<ModelEngine> engine_ = std::make_unique<ModelEngine>(
      ModelEngineOptions{.token_interval = absl::Milliseconds(1)});
  std::unique_ptr<PlainService> service_ = std::make_unique<PlainService>();
  HttpTargetClient client_{HttpTargetClientOptions()};
  RecordingSink sink_;
  const std::atomic<bool> never_{false};
};

TEST_F(HttpTargetClientTest, ReceivesACompleteStream) {
  const TargetOutcome outcome = Send(StreamCall());
  EXPECT_EQ(outcome.verdict, Verdict::kRan);
  EXPECT_EQ(outcome.reason, Reason::kNone);
  EXPECT_TRUE(outcome.complete);
  EXPECT_EQ(outcome.delivered, kEvents);
  EXPECT_EQ(sink_.content_, expected_);
}

TEST_F(HttpTargetClientTest, ResumesAStreamAtItsOffset) {
  ASSERT_TRUE(engine_->SetFaults({{"cuts", 1}, {"cut_after_events", 3}}));
  TargetCall call = StreamCall();
  const TargetOutcome cut = Send(call);
  EXPECT_FALSE(cut.complete);
  EXPECT_EQ(cut.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(cut.reason, Reason::kAnswerIncomplete);
  EXPECT_EQ(cut.delivered, 3u);
  call.resume_offset = cut.delivered;
  call.fresh_connection = true;
  const TargetOutcome rest = Send(call);
  EXPECT_TRUE(rest.complete);
  EXPECT_EQ(rest.delivered, kEvents - 3);
  EXPECT_EQ(sink_.content_, expected_);
}

TEST_F(HttpTargetClientTest, NeverReportsACutStreamComplete) {
  for (const char* fault : {"cuts_before_end", "garbles", "cuts"}) {
    SCOPED_TRACE(fault);
    ASSERT_TRUE(engine_->SetFaults({{fault, 1}}));
    const TargetOutcome outcome = Send(StreamCall());
    EXPECT_FALSE(outcome.complete);
    EXPECT_EQ(outcome.verdict, Verdict::kMayHaveRun);
    EXPECT_EQ(outcome.reason, Reason::kAnswerIncomplete);
    sink_ = RecordingSink();
  }
}

TEST_F(HttpTargetClientTest, StopsWaitingForAStalledStream) {
  ASSERT_TRUE(engine_->SetFaults({{"silences", 1}}));
  TargetCall call = StreamCall();
  call.progress_timeout = absl::Milliseconds(50);
  const TargetOutcome outcome = Send(call);
  EXPECT_FALSE(outcome.complete);
  EXPECT_EQ(outcome.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(outcome.reason, Reason::kStreamStalled);
  EXPECT_EQ(outcome.delivered, 3u);
}

TEST_F(HttpTargetClientTest, AppliesASeparateTimeoutToTheFirstByte) {
  ASSERT_TRUE(engine_->SetFaults({{"slow_ms", 200}}));
  TargetCall call = StreamCall();
  call.progress_timeout = absl::Milliseconds(100);
  EXPECT_EQ(Send(call).reason, Reason::kStreamStalled);
  call.first_byte_timeout = absl::Seconds(20);
  EXPECT_TRUE(Send(call).complete);
}

TEST_F(HttpTargetClientTest, IgnoresLateDuplicatesOfAStream) {
  ASSERT_TRUE(engine_->SetFaults({{"duplicates", 3}}));
  for (int i = 0; i < 6; ++i) {
    const TargetOutcome outcome = Send(StreamCall());
    EXPECT_TRUE(outcome.complete);
    EXPECT_EQ(outcome.delivered, kEvents);
    EXPECT_EQ(sink_.content_, expected_);
    sink_ = RecordingSink();
  }
}

TEST_F(HttpTargetClientTest, CancelsTheCallWhenTheSinkStops) {
  sink_.stop_at_ = 2;
  TargetCall call = StreamCall();
  call.body = R"({"model":"small","stream":true,)"
              R"("messages":[{"role":"user","content":"a long one"}]})";
  const TargetOutcome outcome = Send(call);
  EXPECT_EQ(outcome.reason, Reason::kCancelled);
  EXPECT_EQ(outcome.delivered, 2u);
  EXPECT_FALSE(outcome.complete);
}

TEST_F(HttpTargetClientTest, ObservesCancellationWhileTheTargetIsStalled) {
  ASSERT_TRUE(engine_->SetFaults({{"silences", 1}}));
  std::atomic<bool> cancelled{false};
  std::thread canceller([&] {
    while (engine_->started() == 0) std::this_thread::yield();
    cancelled = true;
  });
  const TargetOutcome outcome = client_.Send(StreamCall(), &sink_, cancelled);
  canceller.join();
  EXPECT_EQ(outcome.reason, Reason::kCancelled);
}

TEST_F(HttpTargetClientTest, FailsAtTheDeadline) {
  ASSERT_TRUE(engine_->SetFaults({{"silences", 1}}));
  TargetCall call = StreamCall();
  call.deadline = SystemClock()->Now() + absl::Milliseconds(50);
  EXPECT_EQ(Send(call).reason, Reason::kDeadlineExceeded);
}

TEST_F(HttpTargetClientTest, ReceivesACompletePlainResponse) {
  TargetCall call = ServiceCall();
  call.idempotency_key = IdempotencyKey("k");
  const TargetOutcome outcome = Send(call);
  EXPECT_EQ(outcome.verdict, Verdict::kRan);
  EXPECT_TRUE(outcome.complete);
  EXPECT_EQ(outcome.delivered, sink_.text_.size());
  EXPECT_EQ(service_->Executions("k"), 1u);
}

TEST_F(HttpTargetClientTest, ReportsMayHaveRunWhenTheResponseIsLost) {
  for (const char* fault : {"lose_replies", "lose_requests"}) {
    SCOPED_TRACE(fault);
    ASSERT_TRUE(service_->SetFaults({{fault, 1}}));
    const TargetOutcome outcome = Send(ServiceCall());
    EXPECT_EQ(outcome.verdict, Verdict::kMayHaveRun);
    EXPECT_FALSE(outcome.complete);
  }
  EXPECT_EQ(service_->executions(), 1u);
}

TEST_F(HttpTargetClientTest, NeverReportsAPlainResponseOneByteShortComplete) {
  ASSERT_TRUE(service_->SetFaults({{"cuts_before_end", 1}}));
  const TargetOutcome outcome = Send(ServiceCall());
  EXPECT_FALSE(outcome.complete);
  EXPECT_EQ(outcome.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(outcome.reason, Reason::kAnswerIncomplete);
}

TEST_F(HttpTargetClientTest, IgnoresALatePlainResponseToAnEarlierRequest) {
  ASSERT_TRUE(service_->SetFaults({{"late_duplicates", kDuplicateCount}}));
  for (std::uint64_t i = 1; i <= kDuplicateCount; ++i) {
    TargetCall call = ServiceCall();
    call.idempotency_key = IdempotencyKey(absl::StrCat("key-", i));
    const TargetOutcome outcome = Send(call);
    EXPECT_TRUE(outcome.complete);
    const auto response = nlohmann::json::parse(sink_.text_);
    EXPECT_EQ(response["key"], call.idempotency_key.value());
    sink_ = RecordingSink();
    while (service_->duplicates() < i) std::this_thread::yield();
  }
}

TEST_F(HttpTargetClientTest, RejectsAResponseWithAnotherRequestsId) {
  ASSERT_TRUE(service_->SetFaults({{"mixups", 1}}));
  const TargetOutcome outcome = Send(ServiceCall());
  EXPECT_FALSE(outcome.complete);
  EXPECT_EQ(outcome.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(sink_.text_, "");
}

TEST_F(HttpTargetClientTest, ReportsNotRunOnlyWithProof) {
  ASSERT_TRUE(service_->SetFaults({{"refusals", 1}}));
  const TargetOutcome refused = Send(ServiceCall());
  EXPECT_EQ(refused.verdict, Verdict::kNotRun);
  EXPECT_EQ(refused.status, 503);
  const TargetCall call = ServiceCall();
  service_.reset();
  const TargetOutcome unreachable = Send(call);
  EXPECT_EQ(unreachable.verdict, Verdict::kNotRun);
  EXPECT_EQ(unreachable.reason, Reason::kTargetUnreachable);
}

TEST_F(HttpTargetClientTest, ReportsACompleteErrorResponseAsRan) {
  ASSERT_TRUE(engine_->SetFaults({{"errors", 1}}));
  const TargetOutcome outcome = Send(StreamCall());
  EXPECT_EQ(outcome.status, 500);
  EXPECT_EQ(outcome.verdict, Verdict::kRan);
  EXPECT_EQ(outcome.reason, Reason::kTargetFailed);
  EXPECT_TRUE(outcome.complete);
}

}  // namespace
}  // namespace wisteriareel
