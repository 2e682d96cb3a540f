#ifndef WISTERIAREEL_SRC_ROUTER_PEER_CLIENT_H_
#define WISTERIAREEL_SRC_ROUTER_PEER_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// The response of another instance.
struct PeerResponse {
  // False if the instance rejected the request.
  bool accepted = false;
  std::string body;

  friend bool operator==(const PeerResponse&, const PeerResponse&) = default;
};

// Sends requests to other instances without blocking. Not thread-safe.
class PeerClient {
 public:
  // Called with nullopt if there was no response in time.
  using Done = std::function<void(const std::optional<PeerResponse>&)>;

  virtual ~PeerClient() = default;

  // Sends `path` to `peer`. `done` runs once, never from within the call.
  virtual void Send(const Endpoint& peer, const std::string& path,
                    absl::Duration timeout, Done done) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_PEER_CLIENT_H_
