#include <chrono>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "gtest/gtest.h"
#include "src/peer/websocket_peer_transport.h"
#include "src/rpc/operator_server.h"
#include "src/rpc/tls_credentials.h"
#include "src/security/digest.h"
#include "test/tls_test_files.h"
#include "wisteriareel/v1/operator.grpc.pb.h"

namespace wisteriareel {
namespace {

// Only a failing test waits this long.
constexpr std::chrono::seconds kTestTimeout(30);
constexpr char kToken[] = "token";

class OperatorTlsTest : public testing::Test {
 protected:
  void Start(const TlsFiles& files) {
    server_ = std::make_unique<OperatorServer>(OperatorServerOptions{
        .listen = {"127.0.0.1", 0},
        .tls = files,
        .services = {
            .credentials = OperatorCredentials(
                {{"night", OperatorRole::kRead, Sha256Hex(kToken)}})}});
    LastReason reason;
    ASSERT_TRUE(server_->Start(&reason)) << reason.detail();
  }

  // Returns whether a call by a client with `files` succeeds.
  bool GetsResponse(const TlsFiles& files) {
    LastReason reason;
    const auto credentials = ChannelTlsCredentials(files, &reason);
    EXPECT_NE(credentials, nullptr) << reason.detail();
    const auto stub = v1::OperatorService::NewStub(grpc::CreateChannel(
        absl::StrCat("127.0.0.1:", server_->port()), credentials));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kTestTimeout);
    context.AddMetadata("authorization", absl::StrCat("Bearer ", kToken));
    v1::GetStatusResponse response;
    return stub->GetStatus(&context, {}, &response).ok();
  }

  std::unique_ptr<OperatorServer> server_;
  const TlsTestFiles ours_{"ours"};
  const TlsTestFiles others_{"others"};
};

TEST_F(OperatorTlsTest, ServesOnlyClientsThatTrustTheAuthority) {
  Start(ours_.listener());
  EXPECT_TRUE(GetsResponse(ours_.client()));
  EXPECT_FALSE(GetsResponse(others_.client()));
  EXPECT_FALSE(GetsResponse({}));
}

TEST_F(OperatorTlsTest, RequiresATrustedClientCertificateIfACaFileIsSet) {
  Start(ours_.mutual());
  EXPECT_TRUE(GetsResponse(ours_.mutual()));
  EXPECT_FALSE(GetsResponse(ours_.client()));
  TlsFiles foreign = others_.mutual();
  foreign.ca_file = ours_.mutual().ca_file;
  EXPECT_FALSE(GetsResponse(foreign));
}

TEST_F(OperatorTlsTest, ReloadsReplacedFilesWithoutARestart) {
  const TlsTestFiles before("rotated");
  Start(before.listener());
  ASSERT_TRUE(GetsResponse(before.client()));
  const TlsTestFiles after("rotated");
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  bool responded = false;
  while (!responded && std::chrono::steady_clock::now() < deadline) {
    responded = GetsResponse(after.client());
  }
  EXPECT_TRUE(responded);
}

TEST_F(OperatorTlsTest, ReportsThePathOfAMissingFile) {
  OperatorServer server({.listen = {"127.0.0.1", 0},
                         .tls = {.certificate_file = "/nonexistent.pem",
                                 .key_file = "/nonexistent.key"},
                         .services = {}});
  LastReason reason;
  EXPECT_FALSE(server.Start(&reason));
  EXPECT_EQ(reason.detail(), "can't read /nonexistent.pem");
}

class MessageWaiter final : public PeerReceiver {
 public:
  void OnPeerMessage(const InstanceId&, const PeerMessage&) override {
    if (!arrived_.HasBeenNotified()) arrived_.Notify();
  }
  bool WaitForMessage(absl::Duration timeout) {
    return arrived_.WaitForNotificationWithTimeout(timeout);
  }

 private:
  absl::Notification arrived_;
};

class PeerTlsTest : public testing::Test {
 protected:
  std::unique_ptr<WebsocketPeerTransport> Transport(const std::string& id,
                                                    const TlsFiles& tls,
                                                    PeerReceiver* receiver) {
    auto transport = std::make_unique<WebsocketPeerTransport>(
        WebsocketPeerTransportOptions{.self = InstanceId(id),
                                      .listen = {"127.0.0.1", 0},
                                      .secret = "shared by the fleet",
                                      .receive_timeout = absl::Seconds(20),
                                      .tls = tls,
                                      .random = random_.get()});
    LastReason reason;
    EXPECT_TRUE(transport->Start(receiver, &reason)) << reason.detail();
    return transport;
  }

  const TlsTestFiles ours_{"ours"};
  const TlsTestFiles others_{"others"};
  const std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);
};

TEST_F(PeerTlsTest, AcceptsMessagesOnlyFromInstancesWithATrustedCertificate) {
  MessageWaiter inbox;
  MessageWaiter unused;
  const auto b = Transport("b", ours_.mutual(), &inbox);
  const Endpoint to{"127.0.0.1", b->port()};
  const PeerMessage message{PeerMessageKind::kRevision, "x"};
  const auto plain = Transport("c", {}, &unused);
  const auto foreign = Transport("d", others_.mutual(), &unused);
  plain->Send(InstanceId("b"), to, message);
  foreign->Send(InstanceId("b"), to, message);
  EXPECT_FALSE(inbox.WaitForMessage(absl::Seconds(1)));
  const auto a = Transport("a", ours_.mutual(), &unused);
  a->Send(InstanceId("b"), to, message);
  EXPECT_TRUE(inbox.WaitForMessage(absl::FromChrono(kTestTimeout)));
}

}  // namespace
}  // namespace wisteriareel
