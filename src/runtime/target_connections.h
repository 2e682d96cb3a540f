#ifndef WISTERIAREEL_SRC_RUNTIME_TARGET_CONNECTIONS_H_
#define WISTERIAREEL_SRC_RUNTIME_TARGET_CONNECTIONS_H_

#include <list>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "boost/asio/ip/tcp.hpp"
#include "wisteriareel/clock.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Idle connections to targets, kept for the next request. A connection on
// which anything arrives while it is idle is closed. Not thread-safe.
class TargetConnections {
 public:
  explicit TargetConnections(Clock* clock);
  ~TargetConnections();

  // Returns an idle connection to the target, or null.
  std::unique_ptr<boost::asio::ip::tcp::socket> Take(const TargetId& target);

  // Keeps a connection that is ready for another request, for at most `idle`.
  void Keep(const TargetId& target,
            std::unique_ptr<boost::asio::ip::tcp::socket> socket,
            absl::Duration idle);

  // Closes the target's idle connections.
  void Drop(const TargetId& target);

 private:
  struct Idle {
    std::unique_ptr<boost::asio::ip::tcp::socket> socket;
    absl::Time until;
  };
  using IdleList = std::list<std::shared_ptr<Idle>>;

  void Watch(const TargetId& target, const std::shared_ptr<Idle>& idle);

  Clock* const clock_;
  absl::flat_hash_map<TargetId, IdleList> idle_;
  // Outlived by callbacks of closed sockets.
  std::shared_ptr<bool> alive_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_TARGET_CONNECTIONS_H_
