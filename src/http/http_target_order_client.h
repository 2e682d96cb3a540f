#ifndef WISTERIAREEL_SRC_HTTP_HTTP_TARGET_ORDER_CLIENT_H_
#define WISTERIAREEL_SRC_HTTP_HTTP_TARGET_ORDER_CLIENT_H_

#include <optional>
#include <string>

#include "absl/time/time.h"
#include "src/http/client_connections.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/target_order_client.h"

namespace wisteriareel {

struct HttpTargetOrderClientOptions {
  ClientConnections::Options connections;
  absl::Duration connect_timeout = absl::Seconds(1);
};

// Sends target orders over HTTP and reads target state: POST /v1/orders and
// GET /v1/state, both in JSON. Thread-safe.
class HttpTargetOrderClient final : public TargetOrderClient {
 public:
  // `random` must outlive the client.
  HttpTargetOrderClient(HttpTargetOrderClientOptions options,
                        RandomSource* random);

  std::optional<TargetEngineState> ReadState(const Target& target,
                                             absl::Duration timeout,
                                             LastReason* reason) override;
  bool Send(const Target& target, const TargetOrder& order,
            absl::Duration timeout, LastReason* reason) override;

 private:
  // Returns the HTTP status, or nullopt with kTargetUnreachable.
  std::optional<int> Exchange(const Target& target, const std::string& method,
                              const std::string& path, const std::string& body,
                              absl::Duration timeout,
                              std::string* response_body, LastReason* reason);

  const HttpTargetOrderClientOptions options_;
  RandomSource* const random_;
  ClientConnections connections_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_HTTP_TARGET_ORDER_CLIENT_H_
