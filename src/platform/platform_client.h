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
  // Longest wait for a connection, within the timeout of the call.
  absl::Duration connect_timeout = absl::Milliseconds(500);
};

// The answer to one call of a platform service.
struct PlatformReply {
  enum class CallOutcome : std::uint8_t {
    // A whole answer came; its body says what it means for a write.
    kReplied,
    // Nothing was sent.
    kNotSent,
    // Sent, and no whole answer came.
    kUnknown,
  };
  CallOutcome call_outcome = CallOutcome::kUnknown;
  int status = 0;
  std::string body;
  // kNone if the status says success.
  Reason reason = Reason::kPlatformReplyLost;
};

// Sends calls to the platform's services, over connections kept for reuse.
// Thread-safe; blocks up to the timeout of a call.
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
