#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "gtest/gtest.h"
#include "src/http/http_target_client.h"
#include "src/http/http_target_order_client.h"
#include "src/platform/platform_client.h"
#include "test/broken_responses.h"
#include "test/scripted_target.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(5);
const std::string kOkLine = "HTTP/1.1 200 OK\r\n";

// Reads a request, so that closing its connection doesn't reset it.
void ReadWholeRequest(int fd) {
  const std::string head = ScriptedTarget::ReadHead(fd);
  const std::string field = "Content-Length: ";
  const std::size_t start = head.find(field);
  if (start == std::string::npos) return;
  std::string body(std::stoul(head.substr(start + field.size())), ' ');
  if (body.empty()) return;
  EXPECT_EQ(recv(fd, body.data(), body.size(), MSG_WAITALL),
            static_cast<ssize_t>(body.size()));
}

class TextSink final : public ResponseSink {
 public:
  void OnHead(int status, std::string_view) override { status_ = status; }
  bool OnData(std::uint64_t, std::string_view bytes) override {
    text_ += bytes;
    return true;
  }

  int status_ = 0;
  std::string text_;
};

// Responses that no reader may take for complete.
std::vector<std::string> BrokenResponses() {
  std::vector<std::string> responses;
  for (const std::string& status : InvalidStatuses()) {
    for (const BodyEnd end :
         {BodyEnd::kLength, BodyEnd::kChunks, BodyEnd::kConnection}) {
      responses.push_back(
          absl::StrCat("HTTP/1.1 ", status, " X\r\n", FrameBody(end, kBody)));
    }
  }
  for (const std::string& line : MalformedFields()) {
    responses.push_back(absl::StrCat(kOkLine, line, "\r\n",
                                     FrameBody(BodyEnd::kLength, kBody)));
  }
  responses.push_back(
      absl::StrCat(kOkLine, "X-A: x\r\n Content-Length: 2", "\r\n\r\n", kBody));
  for (const std::string& framing : AmbiguousFramings()) {
    responses.push_back(absl::StrCat(kOkLine, framing));
  }
  for (const std::string& chunks : MalformedChunks()) {
    responses.push_back(
        absl::StrCat(kOkLine, "Transfer-Encoding: chunked\r\n\r\n", chunks));
  }
  responses.push_back(absl::StrCat("HTTP/1.1 101 Switching Protocols\r\n\r\n",
                                   kOkLine,
                                   FrameBody(BodyEnd::kLength, kBody)));
  responses.push_back("HTTP/1.1 102 Processing\r\n\r\n");
  responses.push_back(absl::StrCat("HTTP/1.1 204 No Content\r\n",
                                   FrameBody(BodyEnd::kLength, kBody)));
  responses.push_back("");
  return responses;
}

class BrokenResponseTest : public ::testing::TestWithParam<std::string> {
 protected:
  Endpoint endpoint() const {
    return {.host = "127.0.0.1", .port = server_.port()};
  }

 private:
  const ScriptedTarget server_{[this](int fd) {
    ReadWholeRequest(fd);
    ScriptedTarget::Write(fd, GetParam());
  }};
};

TEST_P(BrokenResponseTest, ATargetsResponseIsNotComplete) {
  HttpTargetClient client{HttpTargetClientOptions()};
  for (const bool streamed : {false, true}) {
    TextSink sink;
    const std::atomic<bool> never{false};
    const TargetOutcome outcome = client.Send({.request = RequestId("r1"),
                                               .endpoint = endpoint(),
                                               .path = "/",
                                               .body = "{}",
                                               .streamed = streamed,
                                               .connect_timeout = kTimeout,
                                               .progress_timeout = kTimeout},
                                              &sink, never);
    EXPECT_FALSE(outcome.complete) << streamed;
    EXPECT_EQ(outcome.verdict, Verdict::kMayHaveRun) << streamed;
  }
}

TEST_P(BrokenResponseTest, APlatformReplyIsUnknown) {
  PlatformClient client({.endpoint = endpoint()});
  const PlatformReply reply = client.Call("GET", "/", "", "", kTimeout);
  EXPECT_EQ(reply.call_outcome, PlatformReply::CallOutcome::kUnknown);
  EXPECT_NE(reply.reason, Reason::kNone);
}

TEST_P(BrokenResponseTest, AnOrderIsNotAccepted) {
  const auto random = MakeSeededRandom(1);
  HttpTargetOrderClient client({}, random.get());
  LastReason reason;
  EXPECT_FALSE(client.Send({.id = TargetId("t"), .endpoint = endpoint()},
                           {.name = "m"}, kTimeout, &reason));
}

INSTANTIATE_TEST_SUITE_P(AllResponses, BrokenResponseTest,
                         ::testing::ValuesIn(BrokenResponses()));

// The server responds before it has read the upload, sends a part of a body
// without a length, and resets the connection.
TEST(EarlyResponseTest, AResetDuringTheUploadIsNotTheEndOfTheBody) {
  // Larger than what the buffers of a loopback connection hold.
  const std::string upload(24 << 20, 'x');
  for (const bool with_linger : {false, true}) {
    const ScriptedTarget server([with_linger](int fd) {
      ScriptedTarget::ReadHead(fd);
      ScriptedTarget::Write(fd, absl::StrCat(kOkLine, "\r\n", kBody));
      // Unread bytes make the close a reset.
      if (!with_linger) return;
      const linger now{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    });
    const Endpoint endpoint{.host = "127.0.0.1", .port = server.port()};
    HttpTargetClient client{HttpTargetClientOptions()};
    TextSink sink;
    const std::atomic<bool> never{false};
    const TargetOutcome outcome = client.Send({.request = RequestId("r1"),
                                               .endpoint = endpoint,
                                               .path = "/",
                                               .body = upload,
                                               .connect_timeout = kTimeout,
                                               .progress_timeout = kTimeout},
                                              &sink, never);
    EXPECT_FALSE(outcome.complete);
    EXPECT_EQ(outcome.verdict, Verdict::kMayHaveRun);
    PlatformClient platform({.endpoint = endpoint});
    EXPECT_EQ(
        platform.Call("PUT", "/", upload, "text/plain", kTimeout).call_outcome,
        PlatformReply::CallOutcome::kUnknown);
  }
}

}  // namespace
}  // namespace wisteriareel
