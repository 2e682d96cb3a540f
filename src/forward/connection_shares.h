#ifndef WISTERIAREEL_SRC_FORWARD_CONNECTION_SHARES_H_
#define WISTERIAREEL_SRC_FORWARD_CONNECTION_SHARES_H_

#include <cstddef>

#include "src/forward/connection_limiter.h"

namespace wisteriareel {

// Bytes that the kernel may keep of what the peer of a connection has sent and
// the process hasn't read, and of what the peer hasn't acknowledged.
inline constexpr std::size_t kReceiveBufferBytes = 32 << 10;
inline constexpr std::size_t kSendBufferBytes = 64 << 10;

// What the machine gives to the process.
struct MachineLimits {
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;

  friend bool operator==(const MachineLimits&, const MachineLimits&) = default;
};

// Limits on the connections of each listener of an instance.
struct ConnectionShares {
  ConnectionLimiterOptions callers;
  ConnectionLimiterOptions peers;
  ConnectionLimiterOptions ready;

  friend bool operator==(const ConnectionShares&,
                         const ConnectionShares&) = default;
};

// Divides a machine among the listeners of its instance. About a third of the
// memory and of the descriptors is left to all else: targets, the platform,
// prepaid tokens, logs and the program itself.
ConnectionShares DivideMachine(const MachineLimits& machine);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_CONNECTION_SHARES_H_
