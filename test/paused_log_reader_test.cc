#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/observability/log4cxx_event_log.h"
#include "test/paused_standard_output.h"
#include "test/router_daemon_fixture.h"

namespace wisteriareel {
namespace {

using ::testing::HasSubstr;

// Far above the time that a line or a request takes, and below the time limits
// of the connections.
constexpr std::chrono::seconds kLimit(5);

// Reads what is written until `result` is there.
template <typename T>
void LetReaderGoOn(const PausedStandardOutput& output,
                   const std::future<T>& result) {
  while (result.wait_for(std::chrono::milliseconds(1)) !=
         std::future_status::ready) {
    output.ReadAvailable();
  }
}

// The write to the log blocked the thread until the reader went on.
TEST(EventLogTest, APausedReaderDoesNotBlockTheWriter) {
  auto output = std::make_unique<PausedStandardOutput>();
  std::future<void> written = std::async(std::launch::async, [] {
    Log4cxxEventLog log({.logger = "paused", .standard_output = true});
    for (int n = 0; n < 10'000; ++n) {
      log.Write(EventId::kRequestEnded, Severity::kInfo, "request ended",
                {{"request", absl::StrCat("q", n)}});
    }
  });
  const auto state = written.wait_for(kLimit);
  LetReaderGoOn(*output, written);
  output.reset();
  EXPECT_EQ(state, std::future_status::ready);
}

TEST(EventLogTest, CountsTheLinesThatItDrops) {
  auto output = std::make_unique<PausedStandardOutput>();
  std::string text;
  {
    Log4cxxEventLog log({.logger = "paused", .standard_output = true});
    for (int n = 0; n < 10'000; ++n) {
      log.Write(EventId::kRequestEnded, Severity::kInfo, "request ended", {});
    }
    // The next lines go out once those before were read.
    for (int n = 0; n < 1000 && text.find(" 1007 ") == std::string::npos; ++n) {
      absl::SleepFor(absl::Milliseconds(5));
      text += output->ReadAvailable();
      log.Write(EventId::kDaemonReady, Severity::kInfo, "ready", {});
    }
  }
  output.reset();
  EXPECT_THAT(text, HasSubstr("1007 lines of the log were dropped"));
}

// Requests got no response while the reader of the log paused, and during a
// shutdown their connections were closed when the process was killed.
TEST_F(RouterDaemonTest, APausedLogReaderDoesNotDelayRequests) {
  const ScriptedTarget target([](int fd) {
    ScriptedTarget::ReadRequest(fd);
    ScriptedTarget::Write(fd,
                          "HTTP/1.1 200 OK\r\nWisteriareel-Response-Seal: s\r\n"
                          "Connection: close\r\nContent-Length: 4\r\n\r\n"
                          "done");
  });
  Log4cxxEventLog log({.logger = "paused", .standard_output = true});
  log_ = &log;
  Start(target.port(), RouteKind::kIdempotent);
  auto output = std::make_unique<PausedStandardOutput>();
  std::future<std::string> responses = std::async(std::launch::async, [this] {
    std::string all;
    for (int n = 0; n < 3; ++n) {
      RawConnection caller(settings_.listen.callers.port);
      caller.Send(Request(absl::StrCat("q", n), "Connection: close\r\n"));
      all += caller.ReadAll();
    }
    return all;
  });
  const auto state = responses.wait_for(kLimit);
  LetReaderGoOn(*output, responses);
  output.reset();
  EXPECT_EQ(state, std::future_status::ready);
  const std::string all = responses.get();
  std::size_t count = 0;
  for (std::size_t at = all.find("done"); at != std::string::npos;
       at = all.find("done", at + 1)) {
    ++count;
  }
  EXPECT_EQ(count, 3) << all;
  TearDown();
}

}  // namespace
}  // namespace wisteriareel
