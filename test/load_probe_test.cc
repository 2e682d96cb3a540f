#include "src/runtime/load_probe.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "platform/load_client.h"
#include "src/runtime/async_http_server.h"
#include "standin/fakes/manual_clock.h"

namespace wisteriareel {
namespace {

TargetEntry Target(int n) {
  return {.id = TargetId(absl::StrCat("t", n)),
          .service = ServiceId("s"),
          .zone = ZoneId("a")};
}

PlacementRequirements Need() {
  return {.service = ServiceId("s"),
          .prefix_key = "part",
          .prefix_tokens = Tokens(10000),
          .own_tokens = Tokens(1000),
          .engine = true};
}

// A source whose answers the test gives.
class ScriptedLoads final : public TargetLoadSource {
 public:
  void ReadLoad(const TargetEntry& target, absl::Duration /*timeout*/,
                Done done) override {
    open[target.id] = std::move(done);
  }

  std::map<TargetId, Done> open;
};

TEST(LoadProbeTest, TheRequestGoesOnWhenAllHaveAnsweredOrWereWaitedFor) {
  ManualClock clock;
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing({Target(0), Target(1)}, clock.Now());
  ScriptedLoads loads;
  LoadProbe probe(&loads, &pool, &clock);
  int done = 0;
  const std::vector<TargetEntry> asked =
      pool.TargetsToQuery(Need(), clock.Now());
  ASSERT_EQ(asked.size(), 2U);
  probe.QueryLoads(asked, [&done] { ++done; });
  ASSERT_EQ(loads.open.size(), 2U);
  loads.open[asked[1].id](TargetLoad{.cache_total = Tokens(400000)});
  EXPECT_EQ(done, 0);
  loads.open[asked[0].id](std::nullopt);
  EXPECT_EQ(done, 1);
  // The home, which didn't answer, is passed over.
  EXPECT_EQ(pool.Choose(Need(), clock.Now())->target.id, asked[1].id);
}

// Returns what a target on loopback that answers with `reply` reports.
std::optional<TargetLoad> ReadFrom(const HttpResponse& reply) {
  boost::asio::io_context io;
  std::string path;
  AsyncHttpServer server(&io, [&](const std::string&, const std::string& target,
                                  const std::string&) {
    path = target;
    return reply;
  });
  boost::asio::ip::tcp::acceptor free_port(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  TargetEntry target = Target(0);
  target.address = {.host = "127.0.0.1",
                    .port = free_port.local_endpoint().port()};
  free_port.close();
  LastReason reason;
  EXPECT_TRUE(server.Listen(target.address, &reason)) << reason.detail();
  platform::LoadClient client(&io);
  std::optional<TargetLoad> result;
  client.ReadLoad(target, absl::Seconds(5),
                  [&](const std::optional<TargetLoad>& load) {
                    result = load;
                    io.stop();
                  });
  io.run();
  EXPECT_EQ(path, "/report");
  return result;
}

TEST(LoadClientTest, ATargetsReportIsReadOverHttp) {
  EXPECT_EQ(ReadFrom({.status = 200,
                      .body = R"({"queued": 1, "running": 2, "kv_used": 3,
                                  "kv_total": 4, "runs": []})"}),
            (TargetLoad{.queued = 1,
                        .running = 2,
                        .cache_used = Tokens(3),
                        .cache_total = Tokens(4)}));
}

TEST(LoadClientTest, ARefusalIsNoReport) {
  EXPECT_EQ(ReadFrom({.status = 429, .body = "{}"}), std::nullopt);
  EXPECT_EQ(ReadFrom({.status = 200, .body = "no JSON"}), std::nullopt);
}

}  // namespace
}  // namespace wisteriareel
