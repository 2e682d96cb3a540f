#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "platform/message_codec.h"
#include "src/runtime/target_attempt.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

using ::testing::ElementsAre;
using Socket = boost::asio::ip::tcp::socket;

// Larger than what the buffers of a loopback connection hold.
constexpr std::size_t kUploadBytes = 64 << 20;

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nWisteriareel-Request-Id: q\r\n"
    "Content-Type: text/plain\r\n";

// Target that responds before it has read the upload, and then goes on as the
// test tells it to. Each step ends before the call returns.
class EarlyTarget {
 public:
  explicit EarlyTarget(std::string response)
      : acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
        thread_([this, response = std::move(response)] { Respond(response); }) {
  }
  ~EarlyTarget() {
    if (thread_.joinable()) thread_.join();
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  void EndResponse() {
    thread_.join();
    socket_.shutdown(Socket::shutdown_send);
  }

  // Closes the connection with the upload unread, which resets it.
  void Reset() {
    if (thread_.joinable()) thread_.join();
    socket_.close();
  }

  // Reads the rest of the upload in the background.
  void ReadUpload() {
    if (thread_.joinable()) thread_.join();
    thread_ = std::thread([this] {
      std::string buf(1 << 16, ' ');
      boost::system::error_code ec;
      while (!ec) socket_.read_some(boost::asio::buffer(buf), ec);
    });
  }

 private:
  void Respond(const std::string& response) {
    acceptor_.accept(socket_);
    char byte = 0;
    EXPECT_EQ(recv(socket_.native_handle(), &byte, 1, MSG_PEEK), 1);
    EXPECT_EQ(write(socket_.native_handle(), response.data(), response.size()),
              static_cast<ssize_t>(response.size()));
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Socket socket_{io_};
  std::thread thread_;
};

class RecordingObserver final : public TargetAttemptObserver {
 public:
  void OnTargetConnected(absl::Duration /*taken*/) override {}
  void OnTargetUnreachable() override { events.emplace_back("unreachable"); }
  void OnTargetResponseHead(const ResponseHead& head) override {
    events.push_back(absl::StrCat("head ", head.result_int()));
  }
  void OnTargetResponseBody(std::string_view bytes) override {
    events.emplace_back(bytes);
  }
  void OnTargetResponseEnd() override { events.emplace_back("end"); }
  void OnTargetConnectionFailed(BrokenCause /*cause*/) override {
    events.emplace_back("failed");
  }

  std::vector<std::string> events;
};

class EarlyResponseTest : public ::testing::Test {
 protected:
  // Sends a request with a long upload and reads the response up to `body`.
  void ReadUntil(std::uint16_t port, const std::string& body) {
    attempt_ = std::make_shared<TargetAttempt>(&io_, &connections_, &codec_,
                                               &observer_);
    attempt_->Start(
        {.address = {.host = "127.0.0.1", .port = port},
         .target = TargetId("t"),
         .id = RequestId("q"),
         .head = absl::StrCat(
             "POST / HTTP/1.1\r\nContent-Length: ", kUploadBytes, "\r\n\r\n"),
         .body = std::make_shared<const std::string>(kUploadBytes, 'x')});
    while (std::find(observer_.events.begin(), observer_.events.end(), body) ==
           observer_.events.end()) {
      ASSERT_GT(io_.run_one(), 0U);
    }
  }

  boost::asio::io_context io_;
  TargetConnectionPool connections_{SystemClock()};
  const platform::MessageCodec codec_{};
  RecordingObserver observer_;
  std::shared_ptr<TargetAttempt> attempt_;
};

// A socket reports its error once. The write got it, so that the read that
// followed saw the end of the stream.
TEST_F(EarlyResponseTest, AResetThatTheWriteReportsIsNotTheEndOfTheBody) {
  EarlyTarget target(absl::StrCat(kHead, "\r\n", "part"));
  ReadUntil(target.port(), "part");
  target.Reset();
  io_.run();
  EXPECT_THAT(observer_.events, ElementsAre("head 200", "part", "failed"));
}

// The end of the stream is read before the write fails.
TEST_F(EarlyResponseTest, AResetAfterTheEndOfTheStreamIsNotTheEndOfTheBody) {
  EarlyTarget target(absl::StrCat(kHead, "\r\n", "part"));
  ReadUntil(target.port(), "part");
  target.EndResponse();
  while (io_.poll() > 0) {
  }
  EXPECT_THAT(observer_.events, ElementsAre("head 200", "part"));
  target.Reset();
  io_.run();
  EXPECT_THAT(observer_.events, ElementsAre("head 200", "part", "failed"));
}

// The target ends its response early and reads on.
TEST_F(EarlyResponseTest, ABodyIsCompleteOnceTheUploadIsWritten) {
  EarlyTarget target(absl::StrCat(kHead, "\r\n", "whole"));
  ReadUntil(target.port(), "whole");
  target.EndResponse();
  while (io_.poll() > 0) {
  }
  EXPECT_THAT(observer_.events, ElementsAre("head 200", "whole"));
  target.ReadUpload();
  io_.run();
  EXPECT_THAT(observer_.events, ElementsAre("head 200", "whole", "end"));
}

TEST_F(EarlyResponseTest, ACallerThatLeavesEndsTheWaitForTheUpload) {
  EarlyTarget target(absl::StrCat(kHead, "\r\n", "whole"));
  ReadUntil(target.port(), "whole");
  target.EndResponse();
  while (io_.poll() > 0) {
  }
  attempt_->Cancel();
  io_.run();
  EXPECT_THAT(observer_.events, ElementsAre("head 200", "whole"));
}

// The length proves that the body is complete.
TEST_F(EarlyResponseTest, ABodyOfTheStatedLengthIsComplete) {
  EarlyTarget target(absl::StrCat(kHead, "Content-Length: 5\r\n\r\n", "whole"));
  ReadUntil(target.port(), "whole");
  target.Reset();
  io_.run();
  EXPECT_THAT(observer_.events, ElementsAre("head 200", "whole", "end"));
}

TEST_F(EarlyResponseTest, ABodyThatIsShorterThanItsLengthIsNotComplete) {
  EarlyTarget target(absl::StrCat(kHead, "Content-Length: 5\r\n\r\n", "part"));
  ReadUntil(target.port(), "part");
  target.Reset();
  io_.run();
  EXPECT_THAT(observer_.events, ElementsAre("head 200", "part", "failed"));
}

TEST_F(EarlyResponseTest, ChunksWithoutTheLastOneAreNotComplete) {
  EarlyTarget target(absl::StrCat(
      kHead, "Transfer-Encoding: chunked\r\n\r\n4\r\n", "part", "\r\n"));
  ReadUntil(target.port(), "part");
  target.Reset();
  io_.run();
  EXPECT_THAT(observer_.events, ElementsAre("head 200", "part", "failed"));
}

}  // namespace
}  // namespace wisteriareel
