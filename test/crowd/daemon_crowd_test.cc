// Crowds of callers that don't behave, against a process of wisteriareeld. The
// bound on memory is that of docs/CAPACITY.md.

#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <ostream>
#include <regex>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "gtest/gtest.h"
#include "nlohmann/json.hpp"
#include "src/security/digest.h"
#include "test/crowd/caller_crowd.h"
#include "test/crowd/child_process.h"
#include "test/crowd/process_watch.h"
#include "test/soak/message_io.h"

namespace wisteriareel::crowd {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxBytes = 128'000'000;
constexpr int kDescriptors = 400;
constexpr std::size_t kMaxUsedDescriptors = 300;
constexpr std::size_t kMaxBodyBytes = 1 << 20;
constexpr int kReconnects = 2;
constexpr char kToken[] = "crowd-operator-token-0123456789abcdef";
constexpr char kChat[] =
    R"({"model":"small","messages":[{"role":"user","content":"hi"}]})";
constexpr absl::Duration kReturnDelay = absl::Milliseconds(200);
// Make a test fail instead of hang.
constexpr absl::Duration kPatience = absl::Seconds(20);
constexpr absl::Duration kResponsePatience = absl::Seconds(5);

enum class Listener { kCallers, kOperators, kPeers };

// What a crowd sends after a head with the key of a customer.
struct CrowdCase {
  std::string name;
  // Follows the head.
  std::string framing;
  std::string repeated;
  std::size_t times = 0;
  int callers = 0;
  Listener listener = Listener::kCallers;
};

void PrintTo(const CrowdCase& test, std::ostream* out) { *out << test.name; }

class DaemonCrowdTest : public testing::TestWithParam<CrowdCase> {
 protected:
  void SetUp() override {
    folder_ = absl::StrCat(testing::TempDir(), "/daemon-crowd-",
                           absl::ToUnixMicros(absl::Now()));
    std::filesystem::create_directories(folder_);
    const json instance = {{"id", "entry-1"},    {"role", "entry"},
                           {"state", "live"},    {"region", "muscat"},
                           {"zone", "muscat-a"}, {"host", "127.0.0.1"},
                           {"port", ports_[2]}};
    Write("instances.json",
          json{{"instances", json::array({instance})}}.dump());
    Write("token", kToken);
    Write("entry-1.json", MakeSettings().dump());
    standin_ = std::make_unique<ChildProcess>(ChildProcessOptions{
        .command = {WISTERIAREEL_STANDIN_PROGRAM,
                    absl::StrCat("--platform=", platform_port_),
                    absl::StrCat("--engines=", engine_port_),
                    absl::StrCat("--services=", service_port_),
                    absl::StrCat("--instances=", folder_, "/instances.json")},
        .log = folder_ + "/standin.log"});
    ASSERT_TRUE(AwaitSuccess(service_port_, "/faults"));
    daemon_ = std::make_unique<ChildProcess>(ChildProcessOptions{
        .command = {WISTERIAREEL_DAEMON_PROGRAM,
                    absl::StrCat("--settings=", folder_, "/entry-1.json")},
        .log = folder_ + "/entry-1.log",
        .max_descriptors = kDescriptors});
    ASSERT_TRUE(AwaitSuccess(ports_[0], "/readyz"));
    Configure();
  }

  void TearDown() override {
    daemon_.reset();
    standin_.reset();
    if (!HasFailure()) std::filesystem::remove_all(folder_);
  }

  json MakeSettings() const {
    const auto address = [](std::uint16_t port) {
      return json{{"host", "127.0.0.1"}, {"port", port}};
    };
    return {
        {"instance",
         {{"id", "entry-1"}, {"region", "muscat"}, {"zone", "muscat-a"}}},
        {"listen",
         {{"callers", address(ports_[0])},
          {"operators", address(ports_[1])},
          {"peers", address(ports_[2])}}},
        {"platform",
         {{"table", address(platform_port_)},
          {"object_store", address(platform_port_)},
          {"instance_list", address(platform_port_)}}},
        {"peers", {{"secret", "crowd-peer-secret-0123456789abcdef"}}},
        {"limits", {{"max_body_bytes", kMaxBodyBytes}}},
        {"operators", json::array({{{"name", "night-shift"},
                                    {"role", "operate"},
                                    {"token_sha256", Sha256Hex(kToken)}}})}};
  }

  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(absl::StrCat(folder_, "/", name)) << text;
  }

  // Runs an operator's command and returns what it prints.
  std::string Operate(std::vector<std::string> words) const {
    std::vector<std::string> command = {
        WISTERIAREEL_CTL_PROGRAM,
        absl::StrCat("--server=127.0.0.1:", ports_[1]),
        absl::StrCat("--token-file=", folder_, "/token")};
    command.insert(command.end(), words.begin(), words.end());
    const std::string log = folder_ + "/ctl.log";
    std::filesystem::remove(log);
    EXPECT_EQ(ChildProcess({.command = command, .log = log}).Wait(), 0);
    std::ifstream output(log);
    return {std::istreambuf_iterator<char>(output), {}};
  }

  void Configure() {
    Operate({"customer", "create", "ofsa", "--name=Forestry"});
    Operate({"budget", "create", "ofsa-2026", "ofsa"});
    Operate({"budget", "topup", "ofsa-2026", "1000000"});
    Operate({"pool", "put", "chat", "--model=small"});
    Operate({"target", "add", "engine-1", "chat", "muscat", "muscat-a",
             "127.0.0.1", absl::StrCat(engine_port_)});
    // Two objects: the key, and when it is in force.
    const std::string output =
        Operate({"--wait", "--json", "key", "create", "ofsa", "ofsa-2026"});
    std::smatch secret;
    const std::regex field(R"re("secret": *"([^"]*)")re");
    ASSERT_TRUE(std::regex_search(output, secret, field)) << output;
    key_ = secret[1];
    ASSERT_EQ(SendUntilAnswered(), 200);
  }

  // Sends a request and returns the status, or zero without a response.
  static int Send(std::uint16_t port, const std::string& request) {
    const soak::FileDescriptor connection = soak::ConnectToLoopback(port);
    if (!connection.valid()) return 0;
    soak::SendAll(connection.get(), request);
    soak::HttpMessage response;
    const soak::ResponseEnd end =
        soak::HttpReader(connection.get())
            .Read(absl::Now() + kResponsePatience, &response);
    return end == soak::ResponseEnd::kComplete ? response.Status() : 0;
  }

  static bool AwaitSuccess(std::uint16_t port, const std::string& path) {
    const absl::Time until = absl::Now() + kPatience;
    while (absl::Now() < until) {
      if (Send(port, absl::StrCat("GET ", path,
                                  " HTTP/1.1\r\nHost: x\r\n\r\n")) == 200) {
        return true;
      }
      absl::SleepFor(absl::Milliseconds(50));
    }
    return false;
  }

  std::string Head() const {
    return absl::StrCat(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
        "Authorization: Bearer ",
        key_, "\r\n");
  }

  // Sends a request as an ordinary caller does, which returns after a refusal.
  int SendUntilAnswered() const {
    int status = 0;
    const absl::Time until = absl::Now() + kPatience;
    while (status != 200 && absl::Now() < until) {
      status = Send(ports_[0],
                    absl::StrCat(Head(), "Content-Length: ", sizeof(kChat) - 1,
                                 "\r\n\r\n", kChat));
      absl::SleepFor(kReturnDelay);
    }
    return status;
  }

  std::uint16_t PortOf(Listener listener) const {
    return ports_[static_cast<std::size_t>(listener)];
  }

  const std::vector<std::uint16_t> ports_ = {
      soak::FindFreePort(), soak::FindFreePort(), soak::FindFreePort()};
  const std::uint16_t platform_port_ = soak::FindFreePort();
  const std::uint16_t engine_port_ = soak::FindFreePort();
  const std::uint16_t service_port_ = soak::FindFreePort();
  std::string folder_;
  std::string key_;
  std::unique_ptr<ChildProcess> standin_;
  std::unique_ptr<ChildProcess> daemon_;
};

TEST_P(DaemonCrowdTest, StaysWithinItsMachineAndAnswersAfterwards) {
  const CrowdCase& test = GetParam();
  const ProcessWatch watch(daemon_->pid(), ports_);
  CallerCrowd crowd(
      PortOf(test.listener),
      {.begin = test.framing.empty() ? "" : absl::StrCat(Head(), test.framing),
       .repeated = test.repeated,
       .times = test.times},
      test.callers);
  crowd.Run(kReconnects);
  ASSERT_TRUE(daemon_->IsRunning());
  EXPECT_EQ(SendUntilAnswered(), 200) << "while the crowd is connected";
  crowd.Leave();
  EXPECT_EQ(SendUntilAnswered(), 200) << "after the crowd has gone";
  EXPECT_TRUE(daemon_->IsRunning());
  EXPECT_LE(watch.peak_bytes(), kMaxBytes);
  EXPECT_LE(watch.peak_descriptors(), kMaxUsedDescriptors);
}

const std::string kChunk = soak::EncodeChunk(std::string(16 << 10, 'x'));
constexpr std::size_t kChunksOfALargeBody = (kMaxBodyBytes >> 14) - 1;

INSTANTIATE_TEST_SUITE_P(
    Crowds, DaemonCrowdTest,
    testing::Values(CrowdCase{.name = "ChunkedBodiesThatStop",
                              .framing = "Transfer-Encoding: chunked\r\n\r\n",
                              .repeated = kChunk,
                              .times = kChunksOfALargeBody,
                              .callers = 200},
                    CrowdCase{
                        .name = "SizedBodiesThatStop",
                        .framing = absl::StrCat("Content-Length: ",
                                                kMaxBodyBytes, "\r\n\r\n"),
                        .repeated = "x",
                        .times = kMaxBodyBytes - 1,
                        .callers = 200},
                    CrowdCase{.name = "HeadsWithoutEnd",
                              .framing = "X: x\r\n",
                              .repeated = "X: x\r\n",
                              .times = 1 << 20,
                              .callers = 300},
                    CrowdCase{.name = "SilentConnections", .callers = 600},
                    CrowdCase{.name = "SilentAtTheOperators",
                              .callers = 600,
                              .listener = Listener::kOperators},
                    CrowdCase{.name = "SilentAtThePeers",
                              .callers = 600,
                              .listener = Listener::kPeers},
                    CrowdCase{.name = "BytesAtTheOperators",
                              .repeated = "x",
                              .times = 4 << 20,
                              .callers = 200,
                              .listener = Listener::kOperators},
                    CrowdCase{.name = "BytesAtThePeers",
                              .repeated = "x",
                              .times = 4 << 20,
                              .callers = 200,
                              .listener = Listener::kPeers}),
    [](const testing::TestParamInfo<CrowdCase>& it) { return it.param.name; });

}  // namespace
}  // namespace wisteriareel::crowd
