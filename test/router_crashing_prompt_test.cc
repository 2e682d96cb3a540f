#include <sys/socket.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "test/raw_connection.h"
#include "test/router_daemon_fixture.h"

namespace wisteriareel {
namespace {

using ::testing::HasSubstr;

constexpr int kInstances = 3;
constexpr int kTargets = 8;
// Crashes after which callers' requests with the segment may reach targets at
// most kMaxLateRequests times more.
constexpr int kMaxCrashes = 5;
constexpr int kMaxLateRequests = 3;

// Several instances in one process, and model engines that crash as soon as
// they begin to respond to a prompt with the segment "dead".
class CrashingPromptTest : public RouterDaemonTest {
 protected:
  CrashingPromptTest() {
    for (int n = 0; n < kTargets; ++n) {
      targets_.push_back(
          std::make_unique<ScriptedTarget>([this](int fd) { Serve(fd); }));
    }
  }

  void Serve(int fd) {
    const std::string head = ScriptedTarget::ReadHead(fd);
    char body[2];
    read(fd, body, sizeof(body));
    const std::string response_head =
        "HTTP/1.1 200 OK\r\nWisteriareel-Response-Seal: s\r\n"
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    if (!absl::StrContains(head, "dead:")) {
      ScriptedTarget::Write(fd, response_head + "id: 1\ndata: x\n\n");
      return;
    }
    ++crashes_;
    ScriptedTarget::Write(fd, response_head);
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }

  void StartFleet() {
    RouteConfig config = MakeConfig(RouteKind::kStreaming);
    config.services.front().engine = EngineSpec{.slots = 64};
    std::vector<TargetEntry> entries;
    entries.reserve(kTargets);
    for (int n = 0; n < kTargets; ++n) {
      entries.push_back(MakeTarget(absl::StrCat("t", n), targets_[n]->port()));
    }
    StartInstances(kInstances, config, entries);
  }

  // Sends a streamed request with `segments` to an instance and returns the
  // response.
  std::string Send(const std::string& id, int instance,
                   const std::string& segments) {
    RawConnection caller(CallerPort(instance));
    caller.Send(
        Request(id, absl::StrCat("Wisteriareel-Token-Counts: 30,10\r\n",
                                 "Wisteriareel-Prompt-Prefix: ", segments,
                                 "\r\nConnection: close\r\n")));
    return caller.ReadAll();
  }

  std::atomic<int> crashes_ = 0;
  std::vector<std::unique_ptr<ScriptedTarget>> targets_;
};

// One prompt segment crashed a target after the other, at all instances.
TEST_F(CrashingPromptTest, ASegmentThatCrashesTargetsReachesFewOfThem) {
  StartFleet();
  int served = 0;
  for (int n = 0; n < 40; ++n) {
    const int instance = n % kInstances;
    Send(absl::StrCat("d", n), instance,
         absl::StrCat("a:10,dead:10,d", n, ":10"));
    const std::string sound = Send(absl::StrCat("s", n), (n + 1) % kInstances,
                                   absl::StrCat("a:10,b:10,s", n, ":10"));
    if (absl::StartsWith(sound, "HTTP/1.1 200")) ++served;
  }
  EXPECT_LE(crashes_, kMaxCrashes + kMaxLateRequests);
  EXPECT_EQ(served, 40);
}

}  // namespace
}  // namespace wisteriareel
