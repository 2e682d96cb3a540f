#ifndef WISTERIAREEL_SRC_HTTP_HTTP_TARGET_CLIENT_H_
#define WISTERIAREEL_SRC_HTTP_HTTP_TARGET_CLIENT_H_

#include <atomic>

#include "absl/time/time.h"
#include "src/http/client_connections.h"
#include "wisteriareel/target_client.h"

namespace wisteriareel {

// Headers exchanged between an instance and its targets.
inline constexpr char kRequestIdHeader[] = "X-Request-Id";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
inline constexpr char kAttemptHeader[] = "X-Attempt";
inline constexpr char kPriorityHeader[] = "X-Priority";
// Number of events of the stream that the caller already has.
inline constexpr char kResumeOffsetHeader[] = "X-Resume-Offset";
// Response header of a target that refused a call without executing any of it.
inline constexpr char kNotRunHeader[] = "X-Not-Run";

struct HttpTargetClientOptions {
  ClientConnections::Options connections;
  // Timeout of the cancel call.
  absl::Duration cancel_timeout = absl::Seconds(1);
  // Maximum size of a response that isn't a stream.
  std::uint64_t max_response_bytes = 256ull << 20;
};

// Sends calls to targets over HTTP. Thread-safe. A cancelled call closes its
// connection and sends DELETE /v1/requests/ID on another.
class HttpTargetClient final : public TargetClient {
 public:
  explicit HttpTargetClient(HttpTargetClientOptions options);

  TargetOutcome Send(const TargetCall& call, ResponseSink* sink,
                     const std::atomic<bool>& cancelled) override;
  void Cancel(const TargetCall& call) override;

 private:
  const HttpTargetClientOptions options_;
  ClientConnections connections_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_HTTP_TARGET_CLIENT_H_
