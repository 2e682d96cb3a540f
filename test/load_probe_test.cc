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

PlacementRequirements Requirements() {
  return {.service = ServiceId("s"),
          .prefix_key = "part",
          .prefix_tokens = Tokens(10000),
          .own_tokens = Tokens(1000),
          .engine = true};
}

// Source whose callbacks the test invokes.
class ScriptedLoadSource final : public TargetLoadSource {
 public:
  void ReadLoad(const TargetEntry& target, absl::Duration /*timeout*/,
                Done done) override {
    callbacks[target.id] = std::move(done);
  }

  std::map<TargetId, Done> callbacks;
};

TEST(LoadProbeTest, CompletesWhenEveryTargetHasRespondedOrTimedOut) {
  ManualClock clock;
  TargetPool pool({.zone = ZoneId("a")});
  pool.ApplyListing({Target(0), Target(1)}, clock.Now());
  ScriptedLoadSource source;
  LoadProbe probe(&source, &pool, &clock);
  int done = 0;
  const std::vector<TargetEntry> queried =
      pool.TargetsToQuery(Requirements(), clock.Now());
  ASSERT_EQ(queried.size(), 2U);
  probe.QueryLoads(queried, [&done] { ++done; });
  ASSERT_EQ(source.callbacks.size(), 2U);
  source.callbacks[queried[1].id](TargetLoad{.cache_total = Tokens(400000)});
  EXPECT_EQ(done, 0);
  source.callbacks[queried[0].id](std::nullopt);
  EXPECT_EQ(done, 1);
  // The affinity target, which didn't respond, isn't chosen.
  EXPECT_EQ(pool.Choose(Requirements(), clock.Now())->target.id, queried[1].id);
}

// Returns the load read from a loopback target that responds with `reply`.
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

TEST(LoadClientTest, ReadsALoadReportOverHttp) {
  EXPECT_EQ(ReadFrom({.status = 200,
                      .body = R"({"queued": 1, "running": 2, "kv_used": 3,
                                  "kv_total": 4, "runs": []})"}),
            (TargetLoad{.queued = 1,
                        .running = 2,
                        .cache_used = Tokens(3),
                        .cache_total = Tokens(4)}));
}

TEST(LoadClientTest, ReturnsNothingForARefusalOrAMalformedReport) {
  EXPECT_EQ(ReadFrom({.status = 429, .body = "{}"}), std::nullopt);
  EXPECT_EQ(ReadFrom({.status = 200, .body = "no JSON"}), std::nullopt);
}

// More than the clients that are kept.
constexpr int kEngines = 300;

// Guards against requests that never end: when the number of clients reached
// its maximum, all of them were destroyed with the requests in progress, and
// the exchanges that waited for a report went on waiting.
TEST(LoadClientTest, EveryQueryEndsWhenThereAreMoreEnginesThanClients) {
  boost::asio::io_context io;
  // Accepts connections into its backlog and never responds.
  boost::asio::ip::tcp::acceptor silent(
      io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
  platform::LoadClient loads(&io);
  int ended = 0;
  for (int n = 0; n < kEngines; ++n) {
    TargetEntry engine = Target(n);
    engine.address = {.host = absl::StrCat("127.0.", n / 250, ".", n % 250 + 1),
                      .port = silent.local_endpoint().port()};
    loads.ReadLoad(engine, absl::Milliseconds(40),
                   [&ended](const std::optional<TargetLoad>&) { ++ended; });
  }
  io.run();
  EXPECT_EQ(ended, kEngines);
}

}  // namespace
}  // namespace wisteriareel
