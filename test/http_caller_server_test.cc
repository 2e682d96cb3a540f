#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "src/http/caller_server.h"
#include "src/security/digest.h"
#include "test/raw_connection.h"
#include "wisteriareel/config_immutable_snapshot.h"
#include "wisteriareel/config_published.h"

namespace wisteriareel {
namespace {

using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

constexpr std::size_t kFloodBytes = 64 << 10;
constexpr char kChatBody[] =
    R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
constexpr char kStreamBody[] =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]})";

// Counts the requests that reach it and answers them as a test says.
class RecordingHandler final : public RequestHandler {
 public:
  CallResult Handle(const CallerRequest& request,
                    AnswerWriter* writer) override {
    ++calls;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      last_ = request;
    }
    return answer(writer);
  }

  CallerRequest Last() {
    std::lock_guard<std::mutex> lock(mutex_);
    return last_;
  }

  static CallResult AnswerWhole(AnswerWriter* writer) {
    writer->WriteHead(200, "application/json");
    writer->WriteData("{\"whole\":true}");
    writer->Finish();
    return {.verdict = Verdict::kRan};
  }

  std::atomic<int> calls{0};
  std::function<CallResult(AnswerWriter*)> answer = AnswerWhole;

 private:
  std::mutex mutex_;
  CallerRequest last_;
};

class CallerServerTest : public testing::Test {
 protected:
  CallerServerTest() {
    const auto key = [](const char* secret, const char* customer,
                        bool revoked) {
      return VersionedEntry{ApiKey{.hash = Sha256Hex(secret),
                                   .customer = CustomerId(customer),
                                   .budget = BudgetId("b"),
                                   .revoked = revoked},
                            Revision(1)};
    };
    config_.Publish(
        ImmutableConfigSnapshot::Build(
            Revision(1),
            {{Customer{.id = CustomerId("c")}, Revision(1)},
             {Customer{.id = CustomerId("s"), .suspended = true}, Revision(1)},
             key("good", "c", false),
             key("old", "c", true),
             key("idle", "s", false)}),
        ConfigOrigin::kPlatform);
    options_.listener.endpoint = {"127.0.0.1", 0};
  }

  void Start() {
    server_ = std::make_unique<CallerServer>(
        options_, CallerServerParts{.config = &config_,
                                    .handler = &handler_,
                                    .random = random_.get(),
                                    .ready = [this] { return ready_.load(); },
                                    .metrics = [] { return "m 1\n"; }});
    LastReason reason;
    ASSERT_TRUE(server_->Start(&reason)) << reason.detail();
  }

  static std::string Post(const std::string& path, const std::string& body,
                          const std::string& headers = "",
                          const std::string& key = "good") {
    return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\n",
                        "Authorization: Bearer ", key, "\r\n", headers,
                        "Content-Length: ", body.size(), "\r\n\r\n", body);
  }
  static std::string Chat(const std::string& body,
                          const std::string& headers = "") {
    return Post("/v1/chat/completions", body, headers);
  }

  // Returns all that the server sends back on a connection of its own.
  std::string Exchange(const std::string& request) {
    RawConnection connection(server_->port());
    EXPECT_TRUE(connection.connected());
    connection.Send(request);
    return connection.ReadAll();
  }

  CallerServerOptions options_ = [] {
    CallerServerOptions options;
    options.listener.limits.keep_alive = absl::Milliseconds(100);
    return options;
  }();
  PublishedConfig config_;
  RecordingHandler handler_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);
  std::atomic<bool> ready_{true};
  std::unique_ptr<CallerServer> server_;
};

struct HostileRequest {
  const char* name;
  std::string bytes;
  const char* status;
};

class HostileRequestTest : public CallerServerTest {
 protected:
  static std::string With(const std::string& member) {
    return absl::StrCat(
        R"({"model":"m","messages":[{"role":"user","content":"hi"}],)", member,
        "}");
  }

  static std::vector<HostileRequest> Requests() {
    const std::string deep(100, '[');
    const std::string head =
        "POST /x HTTP/1.1\r\nAuthorization: Bearer good\r\n";
    return {
        {"no key", "GET /x HTTP/1.1\r\n\r\n", "401"},
        {"wrong key", Post("/x", "", "", "wrong"), "401"},
        {"empty key", Post("/x", "", "", ""), "401"},
        {"huge key", Post("/x", "", "", std::string(4000, 'k')), "401"},
        {"revoked key", Post("/x", "", "", "old"), "401"},
        {"suspended", Post("/x", "", "", "idle"), "403"},
        {"two keys", Post("/x", "", "Authorization: Bearer bad\r\n"), "400"},
        {"two idempotency keys",
         Post("/x", "", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), "400"},
        {"long idempotency key",
         Post("/x", "", "Idempotency-Key: " + std::string(300, 'k') + "\r\n"),
         "400"},
        {"two lengths", Post("/x", "abc", "Content-Length: 1\r\n"), "400"},
        {"length and coding",
         Post("/x", "abc", "Transfer-Encoding: chunked\r\n"), "400"},
        {"unknown coding", head + "Transfer-Encoding: identity\r\n\r\n", "400"},
        {"negative length", head + "Content-Length: -1\r\n\r\n", "400"},
        {"no number", head + "Content-Length: 0x10\r\n\r\n", "400"},
        {"endless length",
         head + "Content-Length: 99999999999999999999\r\n\r\n", "400"},
        {"large length", head + "Content-Length: 999999999\r\n\r\n", "413"},
        {"compressed", Post("/x", "abc", "Content-Encoding: gzip\r\n"), "415"},
        {"bad timeout", Post("/x", "", "X-Request-Timeout-Ms: -5\r\n"), "400"},
        {"bad priority", Post("/x", "", "X-Request-Priority: top\r\n"), "400"},
        {"parent path", Post("/a/../b", ""), "400"},
        {"long path", Post("/" + std::string(4000, 'a'), ""), "414"},
        {"no request", "\x01\x02\x03\r\n\r\n", "400"},
        {"not POST",
         "GET /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer good\r\n"
         "\r\n",
         "405"},
        {"not JSON type", Chat(kChatBody, "Content-Type: text/plain\r\n"),
         "415"},
        {"no JSON", Chat("{"), "400"},
        {"no object", Chat("[]"), "400"},
        {"not UTF-8", Chat(With("\"x\":\"\xff\"")), "400"},
        {"deep", Chat(With("\"x\":" + deep + std::string(100, ']'))), "400"},
        {"deep and open", Chat(std::string(100'000, '[')), "400"},
        {"key twice", Chat(With(R"("max_tokens":1,"max_tokens":9)")), "400"},
        {"two limits",
         Chat(With(R"("max_tokens":1,"max_completion_tokens":9)")), "400"},
        {"limit too large", Chat(With(R"("max_tokens":1e30)")), "400"},
        {"limit over 64 bits",
         Chat(With(R"("max_tokens":99999999999999999999)")), "400"},
        {"negative limit", Chat(With(R"("max_tokens":-1)")), "400"},
        {"limit zero", Chat(With(R"("max_tokens":0)")), "400"},
        {"limit as text", Chat(With(R"("max_tokens":"5")")), "400"},
        {"many choices", Chat(With(R"("n":1000)")), "400"},
        {"stream as text", Chat(With(R"("stream":"yes")")), "400"},
        {"no model", Chat(R"({"messages":[{"role":"user"}]})"), "400"},
        {"no messages", Chat(R"({"model":"m","messages":[]})"), "400"},
        {"image",
         Chat(R"({"model":"m","messages":[{"role":"user","content":[)"
              R"({"type":"image_url"}]}]})"),
         "400"},
        {"large head",
         head + "X-Large: " + std::string(7000, 'x') +
             "\r\nX-Larger: " + std::string(40'000, 'x') + "\r\n\r\n",
         "431"},
    };
  }
};

TEST_F(HostileRequestTest, IsRefusedClearlyAndNeverHandled) {
  Start();
  for (const HostileRequest& request : Requests()) {
    SCOPED_TRACE(request.name);
    const std::string answer = Exchange(request.bytes);
    EXPECT_THAT(answer, StartsWith(absl::StrCat("HTTP/1.1 ", request.status)));
    EXPECT_THAT(answer, HasSubstr("X-Request-Id: "));
    EXPECT_THAT(answer, HasSubstr("\"verdict\":\"not_run\""));
    EXPECT_THAT(answer, HasSubstr("\"reason\":\""));
  }
  EXPECT_EQ(handler_.calls, 0);
}

// Returns a valid request with some bytes overwritten.
RC_GTEST_FIXTURE_PROP(HostileRequestTest, BrokenBytesNeverBreakTheServer, ()) {
  Start();
  std::string request = Chat(kChatBody, "Connection: close\r\n");
  const auto places = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, request.size()));
  for (const std::size_t place : places) {
    request[place] = *rc::gen::arbitrary<char>();
  }
  RawConnection connection(server_->port());
  connection.Send(request);
  shutdown(connection.fd(), SHUT_WR);
  const std::string answer = connection.ReadAll();
  const bool ran = handler_.calls > 0;
  RC_ASSERT(answer.empty() || answer.starts_with("HTTP/1.1 2") == ran);
  RC_ASSERT(!answer.starts_with("HTTP/1.1 5"));
}

TEST_F(CallerServerTest, DropsWhatFollowsABrokenRequest) {
  Start();
  const std::string call = Chat(kChatBody);
  for (const char* broken :
       {"GET /x HTTP/1.1\r\nno colon\r\n\r\n", "garbage\r\n\r\n",
        "POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\n"}) {
    SCOPED_TRACE(broken);
    EXPECT_THAT(Exchange(absl::StrCat(broken, call)), StartsWith("HTTP/1.1 4"));
  }
  EXPECT_EQ(handler_.calls, 0);
}

TEST_F(CallerServerTest, TakesNoMethodThatTargetsMayNotExpect) {
  Start();
  for (const char* method : {"HEAD", "OPTIONS", "TRACE"}) {
    EXPECT_THAT(
        Exchange(absl::StrCat(
            method, " /x HTTP/1.1\r\nAuthorization: Bearer good\r\n\r\n")),
        StartsWith("HTTP/1.1 4"));
  }
  EXPECT_EQ(handler_.calls, 0);
}

TEST_F(CallerServerTest, HandsOverAChatCall) {
  Start();
  const std::string answer =
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
  EXPECT_GE(call.prompt_bound, Tokens(static_cast<int>(call.body.size())));
  EXPECT_THAT(answer, HasSubstr("X-Request-Id: " + call.id.value()));
}

TEST_F(CallerServerTest, HandsOverAServiceCallAsItIs) {
  Start();
  const std::string body("\0a=b&c\xff", 7);
  const std::string answer =
      Exchange(Post("/records/issue?x=1", body,
                    "Content-Type: application/x-www-form-urlencoded\r\n"));
  const CallerRequest call = handler_.Last();
  EXPECT_EQ(call.kind, CallKind::kService);
  EXPECT_EQ(call.path, "/records/issue?x=1");
  EXPECT_EQ(call.body, body);
  EXPECT_EQ(call.content_type, "application/x-www-form-urlencoded");
  EXPECT_THAT(answer, HasSubstr("Content-Length: 14\r\n"));
  EXPECT_THAT(answer, testing::EndsWith("{\"whole\":true}"));
}

TEST_F(CallerServerTest, ServesSeveralRequestsOnOneConnection) {
  Start();
  const std::string call = Chat(kChatBody);
  const std::string answer = Exchange(absl::StrCat(call, call, call));
  EXPECT_EQ(handler_.calls, 3) << answer;
}

TEST_F(CallerServerTest, StreamsEventsAndEndsThemWithTheMarker) {
  handler_.answer = [](AnswerWriter* writer) {
    writer->WriteHead(200, "text/event-stream");
    writer->WriteData("data: a\n\n");
    writer->Finish();
    return CallResult{.verdict = Verdict::kRan};
  };
  Start();
  const std::string answer = Exchange(Chat(kStreamBody));
  EXPECT_THAT(answer, HasSubstr("Transfer-Encoding: chunked"));
  EXPECT_THAT(answer,
              testing::EndsWith("\r\n\r\n9\r\ndata: a\n\n\r\ne\r\ndata: "
                                "[DONE]\n\n\r\n0\r\n\r\n"));
}

TEST_F(CallerServerTest, NeverMakesAnUnfinishedStreamLookWhole) {
  handler_.answer = [](AnswerWriter* writer) {
    writer->WriteHead(200, "text/event-stream");
    writer->WriteData("data: a\n\n");
    return CallResult{.verdict = Verdict::kMayHaveRun,
                      .reason = Reason::kAnswerIncomplete};
  };
  Start();
  const std::string answer = Exchange(Chat(kStreamBody));
  EXPECT_THAT(answer, HasSubstr("\"reason\":\"answer_incomplete\""));
  EXPECT_THAT(answer, HasSubstr("\"verdict\":\"may_have_run\""));
  EXPECT_THAT(answer, Not(HasSubstr("[DONE]")));
  EXPECT_THAT(answer, Not(HasSubstr("\r\n0\r\n")));
}

TEST_F(CallerServerTest, TellsTheErrorInPlaceOfAnUnfinishedWholeAnswer) {
  handler_.answer = [](AnswerWriter* writer) {
    writer->WriteHead(200, "application/json");
    writer->WriteData("{\"half\":");
    return CallResult{.verdict = Verdict::kRan,
                      .reason = Reason::kTargetFailed};
  };
  Start();
  const std::string answer = Exchange(Chat(kChatBody));
  EXPECT_THAT(answer, StartsWith("HTTP/1.1 502"));
  EXPECT_THAT(answer, HasSubstr("\"verdict\":\"ran\""));
  EXPECT_THAT(answer, Not(HasSubstr("half")));
}

// The README's example as typed: curl states a form for what -d sends.
TEST_F(CallerServerTest, TakesTheBodyOfCommandLineToolsAsJson) {
  Start();
  for (const char* type :
       {"", "Content-Type: application/x-www-form-urlencoded\r\n"}) {
    EXPECT_THAT(Exchange(Chat(kChatBody, type)), StartsWith("HTTP/1.1 200"));
  }
}

TEST_F(CallerServerTest, LeavesDoubtWhenTheHandlerFails) {
  handler_.answer = [](AnswerWriter*) -> CallResult {
    throw std::runtime_error("failed");
  };
  Start();
  const std::string answer = Exchange(Chat(kChatBody));
  EXPECT_THAT(answer, StartsWith("HTTP/1.1 500"));
  EXPECT_THAT(answer, HasSubstr("\"verdict\":\"may_have_run\""));
  handler_.answer = [](AnswerWriter* writer) -> CallResult {
    writer->WriteHead(200, "text/event-stream");
    writer->WriteData("data: a\n\n");
    throw std::runtime_error("failed");
  };
  EXPECT_THAT(Exchange(Chat(kStreamBody)),
              testing::EndsWith("9\r\ndata: a\n\n\r\n"));
}

TEST_F(CallerServerTest, TellsHowLongToWait) {
  handler_.answer = [](AnswerWriter*) {
    return CallResult{.reason = Reason::kShedOverload,
                      .retry_after = absl::Milliseconds(1500)};
  };
  Start();
  const std::string answer = Exchange(Chat(kChatBody));
  EXPECT_THAT(answer, StartsWith("HTTP/1.1 429"));
  EXPECT_THAT(answer, HasSubstr("Retry-After: 2\r\n"));
}

TEST_F(CallerServerTest, CutsAClientThatNeverEndsItsHead) {
  options_.listener.limits.head_timeout = absl::Milliseconds(50);
  // So that time is what ends it.
  options_.listener.limits.max_head_bytes = UINT64_MAX;
  Start();
  // One client leaves the server waiting, the other never does.
  for (const std::size_t size : {std::size_t{1}, kFloodBytes}) {
    RawConnection connection(server_->port());
    const std::string bytes(size, 'G');
    while (connection.Send(bytes)) {
    }
  }
  EXPECT_EQ(handler_.calls, 0);
}

TEST_F(CallerServerTest, CutsAClientThatHoldsItsBodyBack) {
  options_.listener.limits.body_timeout = absl::Milliseconds(50);
  Start();
  const std::string request = Chat(kChatBody);
  const std::string answer = Exchange(request.substr(0, request.size() - 1));
  EXPECT_THAT(answer, Not(StartsWith("HTTP/1.1 200")));
  EXPECT_EQ(handler_.calls, 0);
}

TEST_F(CallerServerTest, RefusesConnectionsBeyondTheCapAndServesThemLater) {
  options_.listener.limits.max_connections = 2;
  options_.listener.limits.keep_alive = absl::Seconds(10);
  options_.listener.limits.keep_alive_share = 1.0;
  Start();
  auto first = std::make_unique<RawConnection>(server_->port());
  RawConnection second(server_->port());
  first->Send(Chat(kChatBody));
  second.Send(Chat(kChatBody));
  EXPECT_THAT(first->ReadUntil("true}"), StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(second.ReadUntil("true}"), StartsWith("HTTP/1.1 200"));
  const std::string refused = Exchange("");
  EXPECT_THAT(refused, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(refused, HasSubstr("\"reason\":\"connection_limit\""));
  first.reset();
  std::string answer;
  do {
    answer = Exchange(Chat(kChatBody, "Connection: close\r\n"));
  } while (answer.starts_with("HTTP/1.1 503"));
  EXPECT_THAT(answer, StartsWith("HTTP/1.1 200"));
}

TEST_F(CallerServerTest, IdleConnectionsGiveWayWhenMostAreBusy) {
  options_.listener.limits.max_connections = 4;
  options_.listener.limits.keep_alive = absl::Hours(1);
  options_.listener.limits.keep_alive_share = 0.5;
  Start();
  RawConnection first(server_->port());
  RawConnection second(server_->port());
  for (RawConnection* connection : {&first, &second}) {
    connection->Send(Chat(kChatBody));
    EXPECT_THAT(connection->ReadUntil("true}"), StartsWith("HTTP/1.1 200"));
  }
  RawConnection third(server_->port());
  EXPECT_EQ(first.ReadAll(), "");
  EXPECT_TRUE(first.ended());
  EXPECT_EQ(second.ReadAll(), "");
  EXPECT_TRUE(second.ended());
}

TEST_F(CallerServerTest, CutsNoStreamInFlightWhenItStops) {
  std::promise<void> begun;
  std::promise<void> released;
  handler_.answer = [&](AnswerWriter* writer) {
    writer->WriteHead(200, "text/event-stream");
    writer->WriteData("data: a\n\n");
    begun.set_value();
    released.get_future().wait();
    writer->WriteData("data: b\n\n");
    writer->Finish();
    return CallResult{.verdict = Verdict::kRan};
  };
  Start();
  auto answer = std::async(std::launch::async,
                           [this] { return Exchange(Chat(kStreamBody)); });
  begun.get_future().wait();
  auto cut = std::async(std::launch::async,
                        [this] { return server_->Stop(absl::Seconds(20)); });
  released.set_value();
  EXPECT_EQ(cut.get(), 0u);
  EXPECT_THAT(answer.get(), testing::EndsWith("[DONE]\n\n\r\n0\r\n\r\n"));
  RawConnection late(server_->port());
  EXPECT_FALSE(late.connected());
}

TEST_F(CallerServerTest, TellsTheHandlerThatTheCallerIsGone) {
  std::promise<void> begun;
  std::promise<bool> gone;
  handler_.answer = [&](AnswerWriter* writer) {
    begun.set_value();
    while (!writer->CallerGone()) std::this_thread::yield();
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

TEST_F(CallerServerTest, ServesItsPagesWithoutAKey) {
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

TEST_F(CallerServerTest, RefusesAllUntilAConfigurationWasRead) {
  PublishedConfig empty;
  server_ = std::make_unique<CallerServer>(
      options_,
      CallerServerParts{
          .config = &empty, .handler = &handler_, .random = random_.get()});
  LastReason reason;
  ASSERT_TRUE(server_->Start(&reason));
  EXPECT_THAT(Exchange(Chat(kChatBody)), StartsWith("HTTP/1.1 503"));
  EXPECT_EQ(handler_.calls, 0);
  server_.reset();
}

}  // namespace
}  // namespace wisteriareel
