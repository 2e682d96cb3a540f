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

// Only a failing test waits for this long.
constexpr std::chrono::seconds kPatience(30);
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

  // Returns whether a client with `files` gets an answer.
  bool Answered(const TlsFiles& files) {
    LastReason reason;
    const auto credentials = ChannelTlsCredentials(files, &reason);
    EXPECT_NE(credentials, nullptr) << reason.detail();
    const auto stub = v1::OperatorService::NewStub(grpc::CreateChannel(
        absl::StrCat("127.0.0.1:", server_->port()), credentials));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kPatience);
    context.AddMetadata("authorization", absl::StrCat("Bearer ", kToken));
    v1::GetStatusResponse response;
    return stub->GetStatus(&context, {}, &response).ok();
  }

  std::unique_ptr<OperatorServer> server_;
  const TlsTestFiles ours_{"ours"};
  const TlsTestFiles others_{"others"};
};

TEST_F(OperatorTlsTest, OnlyClientsThatTrustTheAuthorityAreServed) {
  Start(ours_.listener());
  EXPECT_TRUE(Answered(ours_.client()));
  EXPECT_FALSE(Answered(others_.client()));
  EXPECT_FALSE(Answered({}));
}

TEST_F(OperatorTlsTest, AListenerWithAnAuthorityDemandsItsCertificates) {
  Start(ours_.mutual());
  EXPECT_TRUE(Answered(ours_.mutual()));
  EXPECT_FALSE(Answered(ours_.client()));
  TlsFiles foreign = others_.mutual();
  foreign.ca_file = ours_.mutual().ca_file;
  EXPECT_FALSE(Answered(foreign));
}

TEST_F(OperatorTlsTest, ReplacedFilesAreTakenUpWithoutARestart) {
  const TlsTestFiles before("rotated");
  Start(before.listener());
  ASSERT_TRUE(Answered(before.client()));
  const TlsTestFiles after("rotated");
  const auto deadline = std::chrono::steady_clock::now() + kPatience;
  bool answered = false;
  while (!answered && std::chrono::steady_clock::now() < deadline) {
    answered = Answered(after.client());
  }
  EXPECT_TRUE(answered);
}

TEST_F(OperatorTlsTest, AMissingFileIsNamed) {
  OperatorServer server({.listen = {"127.0.0.1", 0},
                         .tls = {.certificate_file = "/nonexistent.pem",
                                 .key_file = "/nonexistent.key"},
                         .services = {}});
  LastReason reason;
  EXPECT_FALSE(server.Start(&reason));
  EXPECT_EQ(reason.detail(), "can't read /nonexistent.pem");
}

class Signal final : public PeerReceiver {
 public:
  void OnPeerMessage(const InstanceId&, const PeerMessage&) override {
    if (!arrived_.HasBeenNotified()) arrived_.Notify();
  }
  bool Await(absl::Duration patience) {
    return arrived_.WaitForNotificationWithTimeout(patience);
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

TEST_F(PeerTlsTest, OnlyInstancesWithACertificateGetThrough) {
  Signal inbox;
  Signal unused;
  const auto b = Transport("b", ours_.mutual(), &inbox);
  const Endpoint to{"127.0.0.1", b->port()};
  const PeerMessage message{PeerMessageKind::kRevision, "x"};
  const auto plain = Transport("c", {}, &unused);
  const auto foreign = Transport("d", others_.mutual(), &unused);
  plain->Send(InstanceId("b"), to, message);
  foreign->Send(InstanceId("b"), to, message);
  EXPECT_FALSE(inbox.Await(absl::Seconds(1)));
  const auto a = Transport("a", ours_.mutual(), &unused);
  a->Send(InstanceId("b"), to, message);
  EXPECT_TRUE(inbox.Await(absl::FromChrono(kPatience)));
}

}  // namespace
}  // namespace wisteriareel
