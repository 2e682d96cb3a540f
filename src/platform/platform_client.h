#ifndef WISTERIAREEL_SRC_PLATFORM_PLATFORM_CLIENT_H_
#define WISTERIAREEL_SRC_PLATFORM_PLATFORM_CLIENT_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "src/http/client_connections.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct PlatformClientOptions {
  Endpoint endpoint;
  ClientConnections::Options connections;
  // Maximum time to connect, within the timeout of the call.
  absl::Duration connect_timeout = absl::Milliseconds(500);
};

// The result of one call of a platform service.
struct PlatformReply {
  enum class CallOutcome : std::uint8_t {
    // A complete response was received. Its body tells the outcome of a write.
    kReplied,
    // No byte of the request was sent.
    kNotSent,
    // The request was sent, but no complete response was received.
    kUnknown,
  };
  CallOutcome call_outcome = CallOutcome::kUnknown;
  int status = 0;
  std::string body;
  // kNone if the status reports success.
  Reason reason = Reason::kPlatformReplyLost;
};

// Calls the platform's services over reused connections. Thread-safe. A call
// blocks for up to its timeout.
class PlatformClient {
 public:
  explicit PlatformClient(PlatformClientOptions options);

  PlatformReply Call(const std::string& method, const std::string& path,
                     const std::string& body, const std::string& content_type,
                     absl::Duration timeout);

 private:
  const PlatformClientOptions options_;
  ClientConnections connections_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PLATFORM_PLATFORM_CLIENT_H_
