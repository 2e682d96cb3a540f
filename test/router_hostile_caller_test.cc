#include <unistd.h>

#include <algorithm>
#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "test/router_daemon_fixture.h"
#include "test/scripted_target.h"

namespace wisteriareel {
namespace {

using ::testing::HasSubstr;
using ::testing::StartsWith;

// Responds to a request with a body of a stated length.
void RespondToWholeRequest(int fd) {
  constexpr std::string_view length_field = "Content-Length: ";
  const std::string head = ScriptedTarget::ReadHead(fd);
  const std::size_t at = head.find(length_field);
  if (at == std::string::npos) return;
  std::size_t left = std::stoul(head.substr(at + length_field.size()));
  std::string buf(64 << 10, '\0');
  while (left > 0) {
    const ssize_t n = read(fd, buf.data(), std::min(left, buf.size()));
    if (n <= 0) return;
    left -= static_cast<std::size_t>(n);
  }
  const std::string response = CompleteResponse("q2", "done");
  EXPECT_EQ(write(fd, response.data(), response.size()),
            static_cast<ssize_t>(response.size()));
}

// The parser threw an exception, which ended the process and all its requests.
TEST_F(RouterDaemonTest, AHeaderThatExceedsTheParserIsRefused) {
  RouteConfig config = MakeConfig(RouteKind::kIdempotent);
  config.limits.max_header_bytes = 1 << 20;
  StartInstances(1, config, {});
  RawConnection caller(settings_.listen.callers.port);
  caller.Send(Request("q", absl::StrCat("X: ", std::string(65'600, 'x'),
                                        "\r\nConnection: close\r\n")));
  EXPECT_THAT(caller.ReadAll(), StartsWith("HTTP/1.1 431"));
}

// The body was read whole before the response, which kept it in memory for
// callers that never got in.
TEST_F(RouterDaemonTest, ABodyIsNotAwaitedBeforeARefusalThatItsHeadDecides) {
  ScriptedTarget target(RespondToWholeRequest);
  Start(target.port(), RouteKind::kIdempotent);
  RawConnection caller(settings_.listen.callers.port);
  const std::string framing = "Content-Length: 1000\r\n\r\n";
  caller.Send(absl::StrCat(
      "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: unknown\r\n"
      "Wisteriareel-Request-Id: q1\r\n",
      framing, std::string(10, 'x')));
  EXPECT_THAT(caller.ReadUntil("}"), StartsWith("HTTP/1.1 401"));
  // The connection goes on after the rest of the body.
  caller.Send(absl::StrCat(std::string(990, 'x'), Request("q2")));
  EXPECT_THAT(caller.ReadUntil("done"), StartsWith("HTTP/1.1 200"));
}

// The memory for connections is divided among all of them: an upload that
// stopped makes room for one that goes on.
TEST_F(RouterDaemonTest, AStoppedUploadIsRefusedAsNotRunInFavorOfAnother) {
  // 3.6 MB are for large requests.
  machine_.memory_mb = 16;
  ScriptedTarget target(RespondToWholeRequest);
  Start(target.port(), RouteKind::kIdempotent);
  const auto upload = [](const std::string& id, std::size_t sent) {
    return absl::StrCat(
        "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\n"
        "Wisteriareel-Request-Id: ",
        id, "\r\nContent-Length: 2000000\r\n\r\n", std::string(sent, 'x'));
  };
  RawConnection stopped(settings_.listen.callers.port);
  stopped.Send(upload("q1", 1'999'999));
  RawConnection complete(settings_.listen.callers.port);
  complete.Send(upload("q2", 2'000'000));
  EXPECT_THAT(complete.ReadUntil("done"), StartsWith("HTTP/1.1 200"));
  const std::string refusal = stopped.ReadAll();
  EXPECT_THAT(refusal, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(refusal, HasSubstr("Retry-After"));
  EXPECT_THAT(refusal, HasSubstr("not_run"));
}

}  // namespace
}  // namespace wisteriareel
