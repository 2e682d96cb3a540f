#include <atomic>
#include <string>
#include <thread>

#include "absl/time/clock.h"
#include "boost/asio/post.hpp"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "test/raw_connection.h"
#include "test/router_daemon_fixture.h"

namespace wisteriareel {
namespace {

using ::testing::HasSubstr;

constexpr absl::Duration kStandstill = absl::Seconds(1);

// The connection was closed while the response was being written: a timer had
// expired while the thread stood still, and its handler ran after the end of
// the request.
TEST_F(RouterDaemonTest, AStandstillDoesNotCutOffAResponse) {
  std::atomic<bool> stands_still = false;
  const ScriptedTarget target([&stands_still](int fd) {
    ScriptedTarget::ReadRequest(fd);
    ScriptedTarget::Write(
        fd,
        "HTTP/1.1 200 OK\r\nWisteriareel-Request-Id: q1\r\n"
        "Wisteriareel-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
    while (!stands_still) std::this_thread::yield();
    ScriptedTarget::Write(fd, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
  });
  RouteConfig config = MakeConfig(RouteKind::kStreaming);
  // The timer expires within the standstill.
  config.routes[0].pause_objective = absl::Milliseconds(1);
  config.routes[0].resumable = true;
  config.routes[0].attempts = 2;
  StartInstances(1, config, {MakeTarget("t", target.port())});
  RawConnection caller(settings_.listen.callers.port);
  caller.Send(Request("q1", "Connection: close\r\n"));
  EXPECT_THAT(caller.ReadUntil("data: a"), HasSubstr("200 OK"));
  boost::asio::post(io_, [&stands_still] {
    stands_still = true;
    absl::SleepFor(kStandstill);
  });
  EXPECT_THAT(caller.ReadAll(), HasSubstr("0\r\n\r\n"));
}

}  // namespace
}  // namespace wisteriareel
