#include "test/fleet_fixture.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "grpcpp/grpcpp.h"
#include "httplib.h"
#include "src/security/digest.h"
#include "standin/engine_text.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

constexpr char kOperatorToken[] = "night-shift-token";
constexpr char kPeerSecret[] = "a-peer-secret-of-32-characters-xx";
constexpr int kMaxWaitSeconds = 30;

Endpoint Loopback(int port) {
  return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

CallerResponse Post(int port, const std::string& path,
                    const httplib::Headers& headers, const std::string& body) {
  httplib::Client client("127.0.0.1", port);
  client.set_read_timeout(kMaxWaitSeconds);
  const auto result = client.Post(path, headers, body, "application/json");
  if (!result) return {};
  return {.status = result->status,
          .body = result->body,
          .request_id = result->get_header_value("X-Request-Id")};
}

void ExpectOk(const grpc::Status& status, const char* call) {
  EXPECT_TRUE(status.ok()) << call << ": " << status.error_message();
}

}  // namespace

// A bound socket that never listens. The kernel doesn't assign its port to
// others, but a daemon can listen on it by number.
class FleetFixture::PortReservation {
 public:
  PortReservation() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(socket_, generic, sizeof(address)), 0);
    socklen_t n = sizeof(address);
    EXPECT_EQ(getsockname(socket_, generic, &n), 0);
    port_ = ntohs(address.sin_port);
  }
  ~PortReservation() { close(socket_); }

  PortReservation(const PortReservation&) = delete;
  PortReservation& operator=(const PortReservation&) = delete;

  int port() const { return port_; }

 private:
  const int socket_;
  int port_ = 0;
};

FleetFixture::FleetFixture() = default;
FleetFixture::~FleetFixture() = default;

void FleetFixture::SetUp() {
  LastReason reason;
  ASSERT_TRUE(platform_.Start(Loopback(0), &reason)) << reason.detail();
  ASSERT_TRUE(engine_a_.Start(Loopback(0), &reason)) << reason.detail();
  ASSERT_TRUE(engine_b_.Start(Loopback(0), &reason)) << reason.detail();
  ASSERT_TRUE(service_.Start(Loopback(0), &reason)) << reason.detail();
}

void FleetFixture::TearDown() { daemons_.clear(); }

Settings FleetFixture::MakeSettings(const std::string& zone) {
  Settings settings;
  settings.instance = {.id = InstanceId(absl::StrCat("entry-", ++started_)),
                       .region = RegionId("iceland"),
                       .zone = ZoneId(zone)};
  settings.listen = {
      .callers = Loopback(0), .operators = Loopback(0), .peers = Loopback(0)};
  settings.platform.table = Loopback(platform_.port());
  settings.platform.object_store = Loopback(platform_.port());
  settings.platform.instance_list = Loopback(platform_.port());
  settings.peers.secret = kPeerSecret;
  settings.operators = {{.name = "night-shift",
                         .role = OperatorRole::kOperate,
                         .token_sha256 = Sha256Hex(kOperatorToken)}};
  settings.budgets.record_flush = absl::Milliseconds(100);
  settings.timeouts.balancer_notice = absl::Milliseconds(500);
  return settings;
}

Daemon* FleetFixture::StartDaemon(const std::string& zone) {
  const Settings settings = MakeSettings(zone);
  daemons_.push_back(std::make_unique<Daemon>(settings, DiscardEvents()));
  Daemon* daemon = daemons_.back().get();
  LastReason reason;
  EXPECT_TRUE(daemon->Start(&reason)) << reason.detail();
  platform_.UpsertInstance({.id = settings.instance.id.value(),
                            .role = InstanceRole::kEntry,
                            .region = settings.instance.region,
                            .zone = settings.instance.zone,
                            .endpoint = Loopback(daemon->peer_port())});
  Await([daemon] { return daemon->Ready(); }, "the daemon to be ready");
  return daemon;
}

void FleetFixture::Crash(Daemon* daemon) {
  const auto it = std::find_if(
      daemons_.begin(), daemons_.end(),
      [daemon](const auto& candidate) { return candidate.get() == daemon; });
  ASSERT_NE(it, daemons_.end());
  daemons_.erase(it);
}

std::unique_ptr<v1::OperatorService::Stub> FleetFixture::OperatorStub(
    const Daemon& daemon) {
  return v1::OperatorService::NewStub(
      grpc::CreateChannel(absl::StrCat("127.0.0.1:", daemon.operator_port()),
                          grpc::InsecureChannelCredentials()));
}

void FleetFixture::Authorize(grpc::ClientContext* context) {
  context->AddMetadata("authorization",
                       absl::StrCat("Bearer ", kOperatorToken));
}

void FleetFixture::AddTarget(v1::OperatorService::Stub* stub,
                             const std::string& id, const std::string& pool,
                             const std::string& zone, int port) {
  grpc::ClientContext context;
  Authorize(&context);
  v1::AddTargetRequest request;
  request.mutable_target()->set_id(id);
  request.mutable_target()->set_pool_id(pool);
  request.mutable_target()->set_region("iceland");
  request.mutable_target()->set_zone(zone);
  request.mutable_target()->set_host("127.0.0.1");
  request.mutable_target()->set_port(static_cast<std::uint32_t>(port));
  v1::ChangeResponse response;
  ExpectOk(stub->AddTarget(&context, request, &response), "AddTarget");
}

void FleetFixture::Configure(Daemon* daemon, int top_up_tokens) {
  const auto stub = OperatorStub(*daemon);
  v1::ChangeResponse change;
  {
    grpc::ClientContext context;
    Authorize(&context);
    v1::CreateCustomerRequest request;
    request.mutable_customer()->set_id("brewers");
    request.mutable_customer()->set_weight(1);
    ExpectOk(stub->CreateCustomer(&context, request, &change),
             "CreateCustomer");
  }
  {
    grpc::ClientContext context;
    Authorize(&context);
    v1::CreateBudgetRequest request;
    request.mutable_budget()->set_id("dues");
    request.mutable_budget()->set_customer_id("brewers");
    ExpectOk(stub->CreateBudget(&context, request, &change), "CreateBudget");
  }
  {
    grpc::ClientContext context;
    Authorize(&context);
    v1::TopUpBudgetRequest request;
    request.set_budget_id("dues");
    request.set_tokens(top_up_tokens);
    v1::TopUpBudgetResponse response;
    ExpectOk(stub->TopUpBudget(&context, request, &response), "TopUpBudget");
  }
  {
    grpc::ClientContext context;
    Authorize(&context);
    v1::PutPoolRequest request;
    request.mutable_pool()->set_id("advice");
    request.mutable_pool()->set_kind(v1::POOL_KIND_MODEL);
    request.mutable_pool()->add_models("small");
    request.mutable_pool()->set_max_in_flight_per_target(64);
    request.mutable_pool()->set_default_output_limit_tokens(64);
    ExpectOk(stub->PutPool(&context, request, &change), "PutPool advice");
  }
  {
    grpc::ClientContext context;
    Authorize(&context);
    v1::PutPoolRequest request;
    request.mutable_pool()->set_id("returns");
    request.mutable_pool()->set_kind(v1::POOL_KIND_SERVICE);
    request.mutable_pool()->set_path_prefix("/returns/");
    request.mutable_pool()->set_max_in_flight_per_target(64);
    request.mutable_pool()->set_service_call_tokens(1);
    request.mutable_pool()->set_default_output_limit_tokens(64);
    ExpectOk(stub->PutPool(&context, request, &change), "PutPool returns");
  }
  AddTarget(stub.get(), "engine-a", "advice", "south", engine_a_.port());
  AddTarget(stub.get(), "engine-b", "advice", "west", engine_b_.port());
  AddTarget(stub.get(), "returns-1", "returns", "south", service_.port());
  grpc::ClientContext context;
  Authorize(&context);
  v1::CreateKeyRequest request;
  request.set_customer_id("brewers");
  request.set_budget_id("dues");
  v1::CreateKeyResponse created;
  ExpectOk(stub->CreateKey(&context, request, &created), "CreateKey");
  key_ = created.secret();
  const std::uint64_t revision = created.change().revision();
  Await(
      [&] {
        return std::all_of(daemons_.begin(), daemons_.end(),
                           [revision](const auto& candidate) {
                             return candidate->revision().value() >= revision;
                           });
      },
      "the configuration to be in force");
}

CallerResponse FleetFixture::Chat(const Daemon& daemon,
                                  const std::string& prompt, int max_tokens,
                                  bool streamed, const std::string& key) {
  const json body = {{"model", "small"},
                     {"max_tokens", max_tokens},
                     {"stream", streamed},
                     {"messages", {{{"role", "user"}, {"content", prompt}}}}};
  return Post(
      daemon.caller_port(), "/v1/chat/completions",
      {{"Authorization", absl::StrCat("Bearer ", key.empty() ? key_ : key)}},
      body.dump());
}

CallerResponse FleetFixture::SubmitReturn(const Daemon& daemon,
                                          const std::string& idempotency_key) {
  return Post(daemon.caller_port(), "/returns/submit",
              {{"Authorization", absl::StrCat("Bearer ", key_)},
               {"Idempotency-Key", idempotency_key}},
              R"({"month": 11})");
}

std::string FleetFixture::StreamedText(const std::string& body) {
  std::string text;
  for (const auto line : absl::StrSplit(body, '\n')) {
    if (line == "data: [DONE]") return text;
    if (line.substr(0, 6) != "data: ") continue;
    const json event = json::parse(line.begin() + 6, line.end());
    const json& delta = event.at("choices").at(0).at("delta");
    if (delta.contains("content")) {
      text += delta.at("content").get<std::string>();
    }
  }
  return "";
}

std::string FleetFixture::ExpectedText(const std::string& prompt, int tokens) {
  return EngineText(prompt).Prefix(static_cast<std::uint64_t>(tokens));
}

void FleetFixture::Await(const std::function<bool()>& condition,
                         const char* what) {
  const auto give_up =
      std::chrono::steady_clock::now() + std::chrono::seconds(kMaxWaitSeconds);
  while (!condition()) {
    ASSERT_LT(std::chrono::steady_clock::now(), give_up)
        << "timed out waiting for " << what;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

}  // namespace wisteriareel
