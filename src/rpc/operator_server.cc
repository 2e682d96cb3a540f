#include "src/rpc/operator_server.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "grpcpp/grpcpp.h"
#include "src/rpc/operator_service.h"
#include "src/rpc/tls_credentials.h"

namespace wisteriareel {
namespace {

// An idle connection is pinged after kKeepaliveTimeMs, and closed if it doesn't
// acknowledge the ping within kKeepaliveTimeoutMs.
constexpr int kKeepaliveTimeMs = 30'000;
constexpr int kKeepaliveTimeoutMs = 10'000;
// Limit on concurrent calls of one connection.
constexpr int kMaxConcurrentStreams = 64;
constexpr int kMaxServerThreads = 32;

std::string Address(const Endpoint& endpoint) {
  const bool v6 = endpoint.host.find(':') != std::string::npos;
  return absl::StrCat(v6 ? "[" : "", endpoint.host, v6 ? "]" : "", ":",
                      endpoint.port);
}

}  // namespace

class OperatorServer::Impl {
 public:
  explicit Impl(OperatorServerOptions options)
      : options_(std::move(options)), service_(options_.services) {}

  bool Start(LastReason* reason) {
    const auto credentials = ServerTlsCredentials(options_.tls, reason);
    if (credentials == nullptr) return false;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(Address(options_.listen), credentials, &port_);
    builder.RegisterService(&service_);
    builder.SetMaxReceiveMessageSize(kMaxOperatorMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveTimeMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                               kKeepaliveTimeoutMs);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS,
                               kMaxConcurrentStreams);
    // Without this, a second instance on the machine could bind the same port
    // and receive some of the connections.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    grpc::ResourceQuota quota("operators");
    quota.SetMaxThreads(kMaxServerThreads);
    builder.SetResourceQuota(quota);
    server_ = builder.BuildAndStart();
    if (server_ == nullptr || port_ == 0) {
      reason->Set(Reason::kUnavailable,
                  absl::StrCat("can't listen on ", Address(options_.listen)));
      return false;
    }
    options_.services.events->Write(
        EventId::kOperatorListening, Severity::kInfo,
        "operator server listening",
        {{"address", options_.listen.host},
         {"port", absl::StrCat(port_)},
         {"tls", options_.tls.enabled() ? "true" : "false"}});
    return true;
  }

  std::uint16_t port() const { return static_cast<std::uint16_t>(port_); }

  void Stop(absl::Duration grace) {
    if (server_ == nullptr) return;
    server_->Shutdown(absl::ToChronoTime(absl::Now() + grace));
    server_->Wait();
    server_.reset();
  }

 private:
  const OperatorServerOptions options_;
  OperatorService service_;
  std::unique_ptr<grpc::Server> server_;
  int port_ = 0;
};

OperatorServer::OperatorServer(OperatorServerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

OperatorServer::~OperatorServer() { Stop(absl::ZeroDuration()); }

bool OperatorServer::Start(LastReason* reason) { return impl_->Start(reason); }

std::uint16_t OperatorServer::port() const { return impl_->port(); }

void OperatorServer::Stop(absl::Duration grace) { impl_->Stop(grace); }

}  // namespace wisteriareel
