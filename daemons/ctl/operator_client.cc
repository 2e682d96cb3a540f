#include "daemons/ctl/operator_client.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "src/rpc/tls_credentials.h"

namespace wisteriareel::ctl {
namespace {

constexpr int kMaxAttempts = 3;
constexpr absl::Duration kCallRetryDelay = absl::Milliseconds(300);

}  // namespace

OperatorClient::OperatorClient(OperatorClientOptions options)
    : options_(std::move(options)) {}

bool OperatorClient::Connect(LastReason* reason) {
  const auto credentials = ChannelTlsCredentials(options_.tls, reason);
  if (credentials == nullptr) return false;
  stub_ = v1::OperatorService::NewStub(
      grpc::CreateChannel(options_.server, credentials));
  return true;
}

grpc::Status OperatorClient::RetryWhileUnavailable(
    const std::function<grpc::Status(grpc::ClientContext*)>& call,
    absl::Duration extra_time) {
  const absl::Time deadline = absl::Now() + options_.timeout + extra_time;
  grpc::Status status;
  for (int n = 0; n < kMaxAttempts; ++n) {
    grpc::ClientContext context;
    context.set_deadline(absl::ToChronoTime(deadline));
    context.AddMetadata("authorization",
                        absl::StrCat("Bearer ", options_.token));
    status = call(&context);
    if (status.error_code() != grpc::StatusCode::UNAVAILABLE) break;
    if (absl::Now() + kCallRetryDelay >= deadline) break;
    absl::SleepFor(kCallRetryDelay);
  }
  return status;
}

}  // namespace wisteriareel::ctl
