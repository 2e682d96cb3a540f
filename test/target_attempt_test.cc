#include "src/runtime/target_attempt.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "platform/message_codec.h"
#include "test/router_daemon_fixture.h"

namespace wisteriareel {
namespace {

using ::testing::ElementsAre;

// Longer than the time in which a connection must be established.
constexpr absl::Duration kStandstill = absl::Seconds(1);
constexpr std::chrono::milliseconds kResponseTime(50);

class RecordingObserver final : public TargetAttemptObserver {
 public:
  void OnTargetConnected(absl::Duration /*taken*/) override {
    events.emplace_back("connected");
  }
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

// The handler of the connect timer, which had expired while the thread stood
// still, closed the connection after the request had been sent on it.
TEST(TargetAttemptTest, AStandstillWhileConnectingDoesNotEndTheRequest) {
  const ScriptedTarget target([](int fd) {
    ScriptedTarget::ReadHead(fd);
    std::this_thread::sleep_for(kResponseTime);
    ScriptedTarget::Write(fd, CompleteResponse("q", "done"));
  });
  boost::asio::io_context io;
  TargetConnectionPool connections(SystemClock());
  const platform::MessageCodec codec;
  RecordingObserver observer;
  const auto attempt =
      std::make_shared<TargetAttempt>(&io, &connections, &codec, &observer);
  attempt->Start({.address = {.host = "127.0.0.1", .port = target.port()},
                  .target = TargetId("t"),
                  .id = RequestId("q"),
                  .head = "GET / HTTP/1.1\r\n\r\n",
                  .body = std::make_shared<const std::string>()});
  absl::SleepFor(kStandstill);
  io.run();
  EXPECT_THAT(observer.events,
              ElementsAre("connected", "head 200", "done", "end"));
}

}  // namespace
}  // namespace wisteriareel
