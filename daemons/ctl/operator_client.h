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

// Longest wait for the answer to a call, over all tries.
inline constexpr absl::Duration kDefaultCallTimeout = absl::Seconds(10);

struct OperatorClientOptions {
  // IP number and port of an instance, "127.0.0.1:8081".
  std::string server;
  // The operator's token.
  std::string token;
  TlsFiles tls;
  absl::Duration timeout = kDefaultCallTimeout;
};

// Calls an instance as an operator. Thread-safe.
class OperatorClient {
 public:
  using Stub = v1::OperatorService::Stub;

  explicit OperatorClient(OperatorClientOptions options);

  // Returns false with a reason if the TLS files can't be read.
  bool Connect(LastReason* reason);

  // Makes a call, repeating it while the instance is unavailable and time is
  // left. Every call is idempotent or carries an order id.
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
