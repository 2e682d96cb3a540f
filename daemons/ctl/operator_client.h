#ifndef WISTERIAREEL_DAEMONS_CTL_OPERATOR_CLIENT_H_
#define WISTERIAREEL_DAEMONS_CTL_OPERATOR_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "grpcpp/grpcpp.h"
#include "src/security/tls_files.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/v1/operator.grpc.pb.h"

namespace wisteriareel::ctl {

// Timeout of a call, including all retries.
inline constexpr absl::Duration kDefaultCallTimeout = absl::Seconds(10);

struct OperatorClientOptions {
  // IP address and port of an instance, such as "127.0.0.1:8081".
  std::string server;
  // Bearer token of the operator.
  std::string token;
  TlsFiles tls;
  absl::Duration timeout = kDefaultCallTimeout;
};

// Client for the operator service of an instance. Thread-safe after Connect.
class OperatorClient {
 public:
  using Stub = v1::OperatorService::Stub;

  explicit OperatorClient(OperatorClientOptions options);

  // Creates the channel. Returns false and sets `*reason` if the TLS files
  // can't be read. Must succeed before Call.
  bool Connect(LastReason* reason);

  // Makes a call and retries it while the instance is unavailable and time is
  // left. Retries are safe, since every call is idempotent or has an order id.
  // `extra_time` extends the timeout for calls that wait on the server.
  template <typename Request, typename Response>
  grpc::Status Call(grpc::Status (Stub::*method)(grpc::ClientContext*,
                                                 const Request&, Response*),
                    const Request& request, Response* response,
                    absl::Duration extra_time = absl::ZeroDuration()) {
    return RetryWhileUnavailable(
        [&](grpc::ClientContext* context) {
          response->Clear();
          return (stub_.get()->*method)(context, request, response);
        },
        extra_time);
  }

 private:
  grpc::Status RetryWhileUnavailable(
      const std::function<grpc::Status(grpc::ClientContext*)>& call,
      absl::Duration extra_time);

  const OperatorClientOptions options_;
  std::unique_ptr<Stub> stub_;
};

}  // namespace wisteriareel::ctl

#endif  // WISTERIAREEL_DAEMONS_CTL_OPERATOR_CLIENT_H_
