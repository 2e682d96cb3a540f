// Crowds of callers that don't behave, against a router process. The bounds are
// those of the smallest machine.

#include <csignal>
#include <filesystem>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "gtest/gtest.h"
#include "nlohmann/json.hpp"
#include "test/crowd/caller_crowd.h"
#include "test/crowd/process_watch.h"
#include "test/soak/message_io.h"
#include "test/soak/router_process.h"
#include "test/soak/soak_store.h"

namespace wisteriareel::crowd {
namespace {

using nlohmann::json;

// Memory of the smallest machine.
constexpr int kMemoryMb = 88;
constexpr std::size_t kMaxBytes = 88'000'000;
// Descriptors of the process, and the part that callers may use at most, so
// that targets, the store and peers can be connected to.
constexpr int kDescriptors = 400;
constexpr std::size_t kMaxUsedDescriptors = 300;
constexpr std::size_t kMaxBodyBytes = 1 << 20;
constexpr int kReconnects = 2;
// An ordinary caller returns after a refusal.
constexpr absl::Duration kReturnDelay = absl::Milliseconds(200);
// Make a test fail instead of hang.
constexpr absl::Duration kPatience = absl::Seconds(20);
constexpr absl::Duration kResponsePatience = absl::Seconds(5);

std::string MakeConfig() {
  const json route = {{"name", "plain"},      {"host", "h.example"},
                      {"prefix", "/plain/"},  {"kind", "idempotent"},
                      {"timeout_ms", 10'000}, {"target_latency_ms", 1000},
                      {"priority", 2},        {"service", "records"},
                      {"attempts", 2},        {"public", false}};
  const json service = {{"name", "records"},
                        {"health_path", "/health"},
                        {"max_connections", 370},
                        {"protocol", "h1"},
                        {"tls", false}};
  const json config = {
      {"version", 1},
      {"routes", json::array({route})},
      {"services", json::array({service})},
      // Timeouts don't end the connections of a crowd.
      {"limits",
       {{"max_header_bytes", 16'384},
        {"max_body_bytes", kMaxBodyBytes},
        {"header_timeout_ms", 120'000},
        {"idle_timeout_ms", 120'000}}},
      {"tenants", json::array({{{"name", "customer"},
                                {"api_keys", json::array({"key"})},
                                {"prepaid", 1'000'000'000}}})}};
  return config.dump();
}

// Target whose path ends with the size of the response's body in bytes.
class SizedTarget final : public soak::ConnectionServer {
 public:
  explicit SizedTarget(soak::SoakStore* store) : store_(store) {}
  ~SizedTarget() override { StopServing(); }

  bool Start() {
    if (!StartServing()) return false;
    const json entry = {{"service", "records"},
                        {"address", absl::StrCat("127.0.0.1:", port())},
                        {"zone", "zone-a"},
                        {"version", "v1"},
                        {"slots", 64},
                        {"state", "ready"},
                        {"cold_remaining_ms", 0},
                        {"born", absl::ToUnixMillis(absl::Now())},
                        {"sequence", 1}};
    store_->Put("servers", "records-0", entry.dump());
    return true;
  }

 private:
  bool HandleRequest(const soak::HttpMessage& request, int fd) override {
    const std::string path = request.Word(1);
    std::size_t size = 0;
    if (!absl::SimpleAtoi(path.substr(path.rfind('/') + 1), &size)) size = 2;
    return soak::SendAll(
        fd, absl::StrCat("HTTP/1.1 200 OK\r\nWisteriareel-Request-Id: ",
                         request.Header("wisteriareel-request-id"),
                         "\r\nWisteriareel-Response-Seal: s\r\n"
                         "Wisteriareel-Instance-Id: records-0\r\n"
                         "Content-Length: ",
                         size, "\r\n\r\n", std::string(size, 'r')));
  }

  soak::SoakStore* const store_;
};

// Returns a head of a request, without the fields of its framing.
std::string Head(const std::string& path, const std::string& key) {
  return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h.example\r\n",
                      "X-Api-Key: ", key,
                      "\r\nWisteriareel-Request-Id: 9c41d07be2a35f68\r\n"
                      "Wisteriareel-Deadline-Ms: 60000\r\n");
}

std::string ChunkedHead(const std::string& path, const std::string& key) {
  return absl::StrCat(Head(path, key), "Transfer-Encoding: chunked\r\n\r\n");
}

std::string SizedHead(std::size_t size) {
  return absl::StrCat(Head("/plain/2", "key"), "Content-Length: ", size,
                      "\r\n\r\n");
}

enum class Listener { kCallers, kReady, kPeers };

struct CrowdCase {
  std::string name;
  CallerScript script;
  int callers = 0;
  Listener listener = Listener::kCallers;
};

void PrintTo(const CrowdCase& test, std::ostream* out) { *out << test.name; }

class RouterCrowdTest : public testing::TestWithParam<CrowdCase> {
 protected:
  void SetUp() override {
    folder_ = absl::StrCat(testing::TempDir(), "/router-crowd-",
                           absl::ToUnixMicros(absl::Now()));
    std::filesystem::create_directories(folder_);
    ASSERT_TRUE(store_.Start());
    store_.Put("op", "config", MakeConfig());
    ASSERT_TRUE(target_.Start());
    peer_port_ = soak::FindFreePort();
    router_ = std::make_unique<soak::RouterProcess>(
        soak::RouterProcessOptions{.program = WISTERIAREEL_ROUTER_PROGRAM,
                                   .name = "instance-0",
                                   .folder = folder_,
                                   .store_port = store_.port(),
                                   .peer_ports = {peer_port_},
                                   .peer_port = peer_port_,
                                   .max_descriptors = kDescriptors,
                                   .memory_mb = kMemoryMb});
    ASSERT_TRUE(router_->Start());
    const absl::Time until = absl::Now() + kPatience;
    while (!router_->IsReady() && absl::Now() < until) {
      absl::SleepFor(absl::Milliseconds(20));
    }
    ASSERT_TRUE(router_->IsReady());
  }

  void TearDown() override {
    router_.reset();
    if (!HasFailure()) std::filesystem::remove_all(folder_);
  }

  std::uint16_t PortOf(Listener listener) const {
    switch (listener) {
      case Listener::kReady:
        return router_->ready_port();
      case Listener::kPeers:
        return peer_port_;
      case Listener::kCallers:
        break;
    }
    return router_->callers_port();
  }

  std::unique_ptr<ProcessWatch> Watch() const {
    return std::make_unique<ProcessWatch>(
        router_->pid(),
        std::vector<std::uint16_t>{router_->callers_port(),
                                   router_->ready_port(), peer_port_});
  }

  // Sends one request and returns its status, or zero without a response.
  int SendOrdinaryRequest() const {
    const soak::FileDescriptor connection =
        soak::ConnectToLoopback(router_->callers_port());
    if (!connection.valid()) return 0;
    soak::SendAll(connection.get(), absl::StrCat(SizedHead(4), "body"));
    soak::HttpMessage response;
    const soak::ResponseEnd end =
        soak::HttpReader(connection.get())
            .Read(absl::Now() + kResponsePatience, &response);
    return end == soak::ResponseEnd::kComplete ? response.Status() : 0;
  }

  // Sends a request as an ordinary caller does, which returns after a refusal.
  int SendUntilAnswered() const {
    int status = 0;
    const absl::Time until = absl::Now() + kPatience;
    while (status != 200 && absl::Now() < until) {
      status = SendOrdinaryRequest();
      absl::SleepFor(kReturnDelay);
    }
    return status;
  }

  soak::SoakStore store_;
  SizedTarget target_{&store_};
  std::string folder_;
  std::uint16_t peer_port_ = 0;
  std::unique_ptr<soak::RouterProcess> router_;
};

TEST_P(RouterCrowdTest, StaysWithinItsMachineAndAnswersAfterwards) {
  const CrowdCase& test = GetParam();
  const auto watch = Watch();
  CallerCrowd crowd(PortOf(test.listener), test.script, test.callers);
  crowd.Run(kReconnects);
  ASSERT_TRUE(router_->IsRunning());
  EXPECT_EQ(SendUntilAnswered(), 200) << "while the crowd is connected";
  crowd.Leave();
  EXPECT_EQ(SendUntilAnswered(), 200) << "after the crowd has gone";
  EXPECT_TRUE(router_->IsRunning());
  EXPECT_LE(watch->peak_bytes(), kMaxBytes);
  EXPECT_LE(watch->peak_descriptors(), kMaxUsedDescriptors);
}

TEST_P(RouterCrowdTest, EndsOnSigtermBesideTheCrowd) {
  const CrowdCase& test = GetParam();
  CallerCrowd crowd(PortOf(test.listener), test.script, test.callers);
  crowd.Run(0);
  router_->Signal(SIGTERM);
  const absl::Time until = absl::Now() + kPatience;
  while (router_->IsRunning() && absl::Now() < until) {
    absl::SleepFor(absl::Milliseconds(20));
  }
  EXPECT_FALSE(router_->IsRunning());
}

const std::string kChunk = soak::EncodeChunk(std::string(16 << 10, 'x'));
const std::string kTinyChunk = soak::EncodeChunk("x");
constexpr std::size_t kChunksOfALargeBody = (kMaxBodyBytes >> 14) - 1;

INSTANTIATE_TEST_SUITE_P(
    Crowds, RouterCrowdTest,
    testing::Values(
        CrowdCase{.name = "ChunkedBodiesThatStop",
                  .script = {.begin = ChunkedHead("/plain/2", "key"),
                             .repeated = kChunk,
                             .times = kChunksOfALargeBody},
                  .callers = 200},
        CrowdCase{.name = "SizedBodiesThatStop",
                  .script = {.begin = SizedHead(kMaxBodyBytes),
                             .repeated = "x",
                             .times = kMaxBodyBytes - 1},
                  .callers = 200},
        CrowdCase{.name = "TinyChunks",
                  .script = {.begin = ChunkedHead("/plain/2", "key"),
                             .repeated = kTinyChunk,
                             .times = kMaxBodyBytes - 1},
                  .callers = 100},
        CrowdCase{.name = "BodiesWithoutEnd",
                  .script = {.begin = ChunkedHead("/plain/2", "key"),
                             .repeated = kChunk,
                             .times = 100 * kChunksOfALargeBody},
                  .callers = 100},
        CrowdCase{.name = "AnnouncedBeyondTheLimit",
                  .script = {.begin = SizedHead(64 << 20),
                             .repeated = "x",
                             .times = 8 << 20},
                  .callers = 100},
        CrowdCase{.name = "UnknownKey",
                  .script = {.begin = ChunkedHead("/plain/2", "unknown"),
                             .repeated = kChunk,
                             .times = kChunksOfALargeBody},
                  .callers = 200},
        CrowdCase{.name = "UnknownRoute",
                  .script = {.begin = ChunkedHead("/other/2", "key"),
                             .repeated = kChunk,
                             .times = kChunksOfALargeBody},
                  .callers = 200},
        CrowdCase{.name = "HeadsWithoutEnd",
                  .script = {.begin = Head("/plain/2", "key"),
                             .repeated = "X: x\r\n",
                             .times = 1 << 20},
                  .callers = 300},
        CrowdCase{
            .name = "ChunkExtensionsWithoutEnd",
            .script = {.begin = absl::StrCat(ChunkedHead("/plain/2", "key"),
                                             "1;"),
                       .repeated = "x",
                       .times = 8 << 20},
            .callers = 300},
        CrowdCase{
            .name = "TrailersWithoutEnd",
            .script = {.begin = absl::StrCat(ChunkedHead("/plain/2", "key"),
                                             "0\r\n"),
                       .repeated = "X: x\r\n",
                       .times = 1 << 20},
            .callers = 300},
        CrowdCase{.name = "SilentConnections", .script = {}, .callers = 600},
        CrowdCase{
            .name = "UnreadResponses",
            .script = {.begin = absl::StrCat(Head("/plain/4000000", "key"),
                                             "Content-Length: 0\r\n\r\n"),
                       .repeated = "",
                       .times = 0,
                       .reads_responses = false},
            .callers = 200},
        CrowdCase{
            .name = "PipelinedWithoutReading",
            .script = {.begin = "",
                       .repeated = absl::StrCat(Head("/plain/100000", "key"),
                                                "Content-Length: 0\r\n\r\n"),
                       .times = 10'000,
                       .reads_responses = false},
            .callers = 200},
        CrowdCase{.name = "BodiesAtThePeerListener",
                  .script = {.begin = SizedHead(kMaxBodyBytes),
                             .repeated = "x",
                             .times = kMaxBodyBytes - 1},
                  .callers = 200,
                  .listener = Listener::kPeers},
        CrowdCase{.name = "BodiesAtTheReadyListener",
                  .script = {.begin = ChunkedHead("/ready", "key"),
                             .repeated = kChunk,
                             .times = kChunksOfALargeBody},
                  .callers = 200,
                  .listener = Listener::kReady},
        CrowdCase{.name = "SilentAtThePeerListener",
                  .script = {},
                  .callers = 600,
                  .listener = Listener::kPeers},
        CrowdCase{.name = "UnreadMetrics",
                  .script = {.begin = "",
                             .repeated = "GET /metrics HTTP/1.1\r\n"
                                         "Host: x\r\n\r\n",
                             .times = 100'000,
                             .reads_responses = false},
                  .callers = 200,
                  .listener = Listener::kPeers}),
    [](const testing::TestParamInfo<CrowdCase>& it) { return it.param.name; });

}  // namespace
}  // namespace wisteriareel::crowd
