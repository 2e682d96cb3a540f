#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "daemons/ctl/arguments.h"
#include "daemons/ctl/commands.h"
#include "daemons/ctl/usage.h"
#include "gmock/gmock.h"
#include "google/protobuf/descriptor.h"
#include "google/protobuf/util/json_util.h"
#include "grpcpp/generic/generic_stub.h"
#include "grpcpp/grpcpp.h"
#include "grpcpp/impl/codegen/client_unary_call.h"
#include "gtest/gtest.h"
#include "src/observability/histogram_counters.h"
#include "src/rpc/operator_call.h"
#include "src/rpc/operator_server.h"
#include "src/security/digest.h"
#include "standin/fakes/manual_clock.h"
#include "test/rpc_fakes.h"
#include "wisteriareel/v1/operator.grpc.pb.h"

namespace wisteriareel {
namespace {

using testing::HasSubstr;
using testing::Not;

constexpr char kOperateToken[] = "operate-token";
constexpr char kReadToken[] = "read-token";
constexpr absl::Time kMidnight = absl::FromUnixSeconds(1'800'000'000);

RequestRecord Record(const std::string& request, const std::string& customer,
                     Verdict verdict, Reason reason, std::int64_t billed) {
  return RequestRecord{.request = RequestId(request),
                       .customer = CustomerId(customer),
                       .verdict = verdict,
                       .reason = reason,
                       .billed = Tokens(billed),
                       .attempts = 2,
                       .started = kMidnight - absl::Minutes(2),
                       .finished = kMidnight - absl::Minutes(1)};
}

// Exit code and output of a run of the command-line client.
struct CtlRun {
  int code = 0;
  std::string out;
  std::string error;
};

class OperatorServerTest : public testing::Test {
 protected:
  void SetUp() override { Start(AllServices()); }

  OperatorServices AllServices() {
    return {.config_store = &config_,
            .config_view = &config_,
            .budget_admin = &budgets_,
            .record_reader = &records_,
            .claim_admin = &claims_,
            .drain = &drain_,
            .clock = &clock_,
            .counters = &counters_,
            .instance = InstanceId("entry-1"),
            .zone = ZoneId("a"),
            .credentials = OperatorCredentials(
                {{"reader", OperatorRole::kRead, Sha256Hex(kReadToken)},
                 {"night", OperatorRole::kOperate, Sha256Hex(kOperateToken)}})};
  }

  void Start(const OperatorServices& services) {
    server_ = std::make_unique<OperatorServer>(OperatorServerOptions{
        .listen = {"127.0.0.1", 0}, .tls = {}, .services = services});
    LastReason reason;
    ASSERT_TRUE(server_->Start(&reason)) << reason.detail();
    ASSERT_NE(server_->port(), 0);
  }

  std::string Address() const {
    return absl::StrCat("127.0.0.1:", server_->port());
  }

  // Runs the client with the arguments `command`.
  CtlRun Ctl(const std::vector<std::string>& command,
             const std::string& token = kOperateToken) {
    const ctl::Arguments arguments(
        docopt::docopt_parse(ctl::kUsage, command, false, false));
    ctl::OperatorClient client(
        {.server = Address(), .token = token, .tls = {}});
    LastReason reason;
    EXPECT_TRUE(client.Connect(&reason));
    std::ostringstream out;
    std::ostringstream error;
    ctl::Session session(&client, &arguments, &out, &error);
    const int code = static_cast<int>(ctl::RunCommand(&session));
    return {code, out.str(), error.str()};
  }

  // Runs a command that must succeed and returns its standard output.
  std::string Ok(const std::vector<std::string>& command) {
    const CtlRun run = Ctl(command);
    EXPECT_EQ(run.code, 0) << absl::StrJoin(command, " ") << ": " << run.error;
    return run.out;
  }

  void CreateCustomerWithBudget() {
    Ok({"customer", "create", "osfa", "--name=Forestry"});
    Ok({"budget", "create", "exams", "osfa"});
  }

  ManualClock clock_{kMidnight};
  HistogramCounters counters_;
  FakeConfig config_;
  FakeBudgetAdmin budgets_;
  FakeRecordReader records_{
      {Record("r1", "osfa", Verdict::kRan, Reason::kNone, 70),
       Record("r2", "osfa", Verdict::kRan, Reason::kNone, 30),
       Record("r2", "osfa", Verdict::kRan, Reason::kNone, 30),
       Record("r3", "osfa", Verdict::kNotRun, Reason::kBudgetExhausted, 0),
       Record("r4", "brew", Verdict::kMayHaveRun, Reason::kTargetFailed, 5)}};
  FakeClaimAdmin claims_{{{.customer = CustomerId("osfa"),
                           .key = IdempotencyKey("k1"),
                           .state = ClaimState::kHeld,
                           .position = "1"},
                          {.customer = CustomerId("osfa"),
                           .key = IdempotencyKey("k2"),
                           .state = ClaimState::kInDoubt,
                           .position = "2"}}};
  FakeDrainControl drain_;
  std::unique_ptr<OperatorServer> server_;
};

TEST_F(OperatorServerTest, ConfiguresPoolsTargetsRulesAndPlans) {
  CreateCustomerWithBudget();
  EXPECT_THAT(Ok({"budget", "topup", "exams", "5000"}),
              HasSubstr("topped_up_tokens: 5000"));
  Ok({"pool", "put", "chat", "--model=small", "--model=large"});
  Ok({"pool", "put", "records", "--path=/records/", "--call-tokens=3"});
  Ok({"target", "add", "t1", "chat", "muscat", "a", "10.0.0.1", "9000"});
  Ok({"rule", "put", "lookup", "records", "GET", "/records/", "--idempotent"});
  Ok({"plan", "put", "chat", "--model=small", "--role=decode"});
  const auto snapshot = config_.Current();
  EXPECT_EQ(snapshot->FindPool(PoolId("records"))->service_call_tokens,
            Tokens(3));
  EXPECT_EQ(snapshot->FindPool(PoolId("chat"))->models.size(), 2u);
  EXPECT_EQ(snapshot->FindTarget(TargetId("t1"))->endpoint,
            (Endpoint{"10.0.0.1", 9000}));
  EXPECT_EQ(snapshot->FindPlan(PoolId("chat"))->role, "decode");
  EXPECT_THAT(Ok({"rule", "list", "records"}), HasSubstr("/records/"));
  Ok({"target", "drain", "t1"});
  EXPECT_TRUE(config_.Current()->FindTarget(TargetId("t1"))->draining);
  EXPECT_EQ(Ctl({"pool", "remove", "chat"}).code, 5);
  Ok({"target", "remove", "t1"});
  Ok({"pool", "remove", "chat"});
  EXPECT_EQ(config_.Current()->FindPool(PoolId("chat")), nullptr);
}

TEST_F(OperatorServerTest, StoresKeysAsHashesAndReturnsSecretsOnce) {
  CreateCustomerWithBudget();
  const std::string text = Ok({"key", "create", "osfa", "exams"});
  const std::size_t at = text.find("wr-");
  ASSERT_NE(at, std::string::npos) << text;
  const std::string secret = text.substr(at, 67);
  const std::string hash = Sha256Hex(secret);
  ASSERT_NE(config_.Current()->FindKeyByHash(hash), nullptr);
  EXPECT_THAT(Ok({"key", "list", "osfa"}), Not(HasSubstr(secret)));
  EXPECT_THAT(Ok({"key", "rotate", hash}), HasSubstr("wr-"));
  EXPECT_TRUE(config_.Current()->FindKeyByHash(hash)->revoked);
}

TEST_F(OperatorServerTest, RetriesUnderTheSameOrderIdAfterALostReply) {
  CreateCustomerWithBudget();
  config_.LoseReplies(1);
  const std::string text = Ok({"key", "create", "osfa", "exams"});
  const std::string secret = text.substr(text.find("wr-"), 67);
  EXPECT_NE(config_.Current()->FindKeyByHash(Sha256Hex(secret)), nullptr);
  EXPECT_THAT(text, HasSubstr("repeated: yes"));
}

TEST_F(OperatorServerTest, RepeatedOrderNeverReturnsASecretWithoutAKey) {
  CreateCustomerWithBudget();
  Ok({"key", "create", "osfa", "exams", "--order=o1"});
  const CtlRun again = Ctl({"key", "create", "osfa", "exams", "--order=o1"});
  EXPECT_EQ(again.code, 5) << again.error;
  EXPECT_THAT(again.out, Not(HasSubstr("wr-")));
}

TEST_F(OperatorServerTest, TopUpCountsOncePerOrder) {
  CreateCustomerWithBudget();
  Ok({"budget", "topup", "exams", "100", "--order=o1"});
  Ok({"budget", "topup", "exams", "100", "--order=o1"});
  EXPECT_THAT(Ok({"budget", "show", "exams"}),
              HasSubstr("topped_up_tokens: 100"));
  EXPECT_THAT(Ok({"budget", "history", "exams"}), HasSubstr("night"));
}

TEST_F(OperatorServerTest, VersionConflictReportsTheCurrentVersion) {
  Ok({"customer", "create", "osfa"});
  Ok({"customer", "suspend", "osfa", "--expect=1"});
  const CtlRun late = Ctl({"customer", "resume", "osfa", "--expect=1"});
  EXPECT_EQ(late.code, 5);
  EXPECT_THAT(late.error, HasSubstr("at version 2"));
  EXPECT_TRUE(config_.Current()->FindCustomer(CustomerId("osfa"))->suspended);
}

TEST_F(OperatorServerTest, InvalidOrdersChangeNothing) {
  CreateCustomerWithBudget();
  const Revision before = config_.Current()->revision();
  EXPECT_EQ(Ctl({"customer", "create", "a b"}).code, 7);
  EXPECT_EQ(Ctl({"customer", "create", "osfa"}).code, 5);
  EXPECT_EQ(Ctl({"budget", "create", "x", "nobody"}).code, 4);
  EXPECT_EQ(Ctl({"budget", "topup", "nothing", "5"}).code, 4);
  EXPECT_EQ(Ctl({"key", "create", "brew", "exams"}).code, 7);
  EXPECT_EQ(Ctl({"target", "add", "t", "none", "r", "z", "::1", "1"}).code, 4);
  EXPECT_EQ(Ctl({"pool", "put", "p", "--path=records/"}).code, 7);
  EXPECT_EQ(config_.Current()->revision(), before);
}

TEST_F(OperatorServerTest, ReturnsListsInPages) {
  for (int n = 0; n < 5; ++n) {
    Ok({"customer", "create", absl::StrCat("c", n)});
  }
  const auto stub = v1::OperatorService::NewStub(
      grpc::CreateChannel(Address(), grpc::InsecureChannelCredentials()));
  v1::ListCustomersRequest request;
  request.set_page_size(2);
  std::vector<std::string> pages;
  do {
    grpc::ClientContext context;
    context.AddMetadata("authorization", absl::StrCat("Bearer ", kReadToken));
    v1::ListCustomersResponse response;
    const auto status = stub->ListCustomers(&context, request, &response);
    ASSERT_TRUE(status.ok()) << status.error_message();
    std::string& page = pages.emplace_back();
    for (const auto& it : response.customers()) page += it.id();
    request.set_page_token(response.next_page_token());
  } while (!request.page_token().empty());
  EXPECT_THAT(pages, testing::ElementsAre("c0c1", "c2c3", "c4"));
}

TEST_F(OperatorServerTest, NightReportCountsEachRequestOnce) {
  const std::string text =
      Ok({"report", "--from=2027-01-14T00:00:00Z", "--json"});
  v1::GetNightReportResponse report;
  ASSERT_TRUE(google::protobuf::util::JsonStringToMessage(text, &report).ok());
  ASSERT_EQ(report.lines_size(), 3) << text;
  EXPECT_EQ(report.requests(), 4u);
  EXPECT_EQ(report.billed_tokens(), 105);
  EXPECT_EQ(report.lines(1).customer_id(), "osfa");
  EXPECT_EQ(report.lines(1).reason(), "budget_exhausted");
  EXPECT_EQ(report.lines(2).requests(), 2u);
  EXPECT_EQ(report.lines(2).billed_tokens(), 100);
  EXPECT_EQ(report.lines(2).retries(), 2u);
}

TEST_F(OperatorServerTest, FindsARequestOrReportsNotFound) {
  EXPECT_THAT(Ok({"request", "r3"}), HasSubstr("verdict: not_run"));
  EXPECT_EQ(Ctl({"request", "r9"}).code, 4);
}

TEST_F(OperatorServerTest, ListsAndResolvesClaimsInDoubt) {
  const std::string text = Ok({"claim", "list", "--in-doubt"});
  EXPECT_THAT(text, HasSubstr("k2"));
  EXPECT_THAT(text, Not(HasSubstr("k1")));
  EXPECT_EQ(Ctl({"claim", "resolve", "osfa", "k1", "ran"}).code, 5);
  Ok({"claim", "resolve", "osfa", "k2", "not-run"});
  EXPECT_EQ(claims_.resolved(), "night k2 2");
}

TEST_F(OperatorServerTest, RolloutWaitListsLaggingInstances) {
  EXPECT_EQ(Ctl({"rollout", "wait", "1"}).code, 0);
  const CtlRun lagging = Ctl({"rollout", "wait", "2"});
  EXPECT_EQ(lagging.code, 8);
  EXPECT_THAT(lagging.out, HasSubstr("entry-2"));
}

TEST_F(OperatorServerTest, DrainsOnlyTheNamedInstance) {
  EXPECT_EQ(Ctl({"drain", "entry-2"}).code, 7);
  EXPECT_FALSE(drain_.Progress().draining);
  Ok({"drain", "entry-1"});
  EXPECT_TRUE(drain_.Progress().draining);
  EXPECT_THAT(Ok({"status"}), HasSubstr("requests_in_flight: 3"));
}

TEST_F(OperatorServerTest, CallWithoutItsDependencyIsNotAvailable) {
  OperatorServices services = AllServices();
  services.claim_admin = nullptr;
  Start(services);
  const CtlRun run = Ctl({"claim", "list"});
  EXPECT_EQ(run.code, 1);
  EXPECT_THAT(run.error, HasSubstr("ListClaims is not available"));
}

// Calls every method of the schema, so that access checks cover new methods
// too.
class OperatorAccessTest : public OperatorServerTest {
 protected:
  // Calls `method` with an empty request.
  grpc::Status CallWithEmptyRequest(
      const google::protobuf::MethodDescriptor& method,
      const std::string& token) {
    const auto channel =
        grpc::CreateChannel(Address(), grpc::InsecureChannelCredentials());
    const std::string path =
        absl::StrCat("/", method.service()->full_name(), "/", method.name());
    grpc::ClientContext context;
    if (!token.empty()) {
      context.AddMetadata("authorization", absl::StrCat("Bearer ", token));
    }
    const v1::GetStatusRequest request;
    grpc::ByteBuffer reply;
    return grpc::internal::BlockingUnaryCall<
        v1::GetStatusRequest, grpc::ByteBuffer, google::protobuf::MessageLite,
        grpc::ByteBuffer>(
        channel.get(),
        grpc::internal::RpcMethod(path.c_str(),
                                  grpc::internal::RpcMethod::NORMAL_RPC),
        &context, request, &reply);
  }

  static std::vector<const google::protobuf::MethodDescriptor*> Methods() {
    const auto* service =
        v1::GetStatusRequest::descriptor()->file()->service(0);
    std::vector<const google::protobuf::MethodDescriptor*> methods;
    methods.reserve(static_cast<std::size_t>(service->method_count()));
    for (int n = 0; n < service->method_count(); ++n) {
      methods.push_back(service->method(n));
    }
    return methods;
  }
};

TEST_F(OperatorAccessTest, EveryMethodRefusesACallerWithoutAValidToken) {
  int refused = 0;
  for (const auto* method : Methods()) {
    for (const std::string& token :
         {std::string(), std::string("wrong"), Sha256Hex(kOperateToken)}) {
      EXPECT_EQ(CallWithEmptyRequest(*method, token).error_code(),
                grpc::StatusCode::UNAUTHENTICATED)
          << method->name() << " with token " << token;
      ++refused;
    }
  }
  EXPECT_GT(refused, 100);
  EXPECT_THAT(counters_.FormatMetrics(),
              HasSubstr(absl::StrCat("wisteriareel_callers_refused_total ",
                                     refused, "\n")));
}

TEST_F(OperatorAccessTest, EveryMethodRequiresTheRoleInItsSchema) {
  for (const auto* method : Methods()) {
    const v1::OperatorRole role =
        method->options().GetExtension(v1::required_role);
    ASSERT_NE(role, v1::OPERATOR_ROLE_UNSPECIFIED) << method->name();
    const bool forbidden =
        CallWithEmptyRequest(*method, kReadToken).error_code() ==
        grpc::StatusCode::PERMISSION_DENIED;
    EXPECT_EQ(forbidden, role == v1::OPERATOR_ROLE_OPERATE) << method->name();
  }
  EXPECT_FALSE(drain_.Progress().draining);
  EXPECT_EQ(config_.Current()->revision(), Revision());
}

}  // namespace
}  // namespace wisteriareel
