#ifndef WISTERIAREEL_SRC_RUNTIME_TARGET_CONNECTION_POOL_H_
#define WISTERIAREEL_SRC_RUNTIME_TARGET_CONNECTION_POOL_H_

#include <list>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "boost/asio/ip/tcp.hpp"
#include "wisteriareel/clock.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Pool of idle connections to targets. Closes a connection that receives data
// while it is idle. Not thread-safe.
class TargetConnectionPool {
 public:
  explicit TargetConnectionPool(Clock* clock);
  ~TargetConnectionPool();

  // Returns an idle connection to the target, or null if there is none.
  std::unique_ptr<boost::asio::ip::tcp::socket> Acquire(const TargetId& target);

  // Returns a connection that is ready for another request to the pool, for at
  // most `idle`.
  void Release(const TargetId& target,
               std::unique_ptr<boost::asio::ip::tcp::socket> socket,
               absl::Duration idle);

  // Closes the target's idle connections.
  void CloseIdle(const TargetId& target);

 private:
  struct Idle {
    std::unique_ptr<boost::asio::ip::tcp::socket> socket;
    absl::Time until;
  };
  using IdleList = std::list<std::shared_ptr<Idle>>;

  void Watch(const TargetId& target, const std::shared_ptr<Idle>& idle);

  Clock* const clock_;
  absl::flat_hash_map<TargetId, IdleList> idle_;
  // False once the pool is destroyed; callbacks of closed sockets check it.
  std::shared_ptr<bool> alive_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_TARGET_CONNECTION_POOL_H_
