#include <string>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "test/router_daemon_fixture.h"

namespace wisteriareel {
namespace {

using ::testing::StartsWith;

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

}  // namespace
}  // namespace wisteriareel
