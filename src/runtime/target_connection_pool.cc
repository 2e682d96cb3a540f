#include "src/runtime/target_connection_pool.h"

#include <algorithm>
#include <utility>

#include "boost/asio/buffer.hpp"

namespace wisteriareel {
namespace {

// Maximum number of idle connections to one target; the oldest one is closed.
constexpr std::size_t kMaxIdlePerTarget = 16;

// Returns true if the peer has sent nothing and hasn't closed the connection.
bool IsOpenAndSilent(boost::asio::ip::tcp::socket* socket) {
  boost::system::error_code ec;
  socket->non_blocking(true, ec);
  char byte = 0;
  socket->receive(boost::asio::buffer(&byte, 1),
                  boost::asio::ip::tcp::socket::message_peek, ec);
  return ec == boost::asio::error::would_block;
}

}  // namespace

TargetConnectionPool::TargetConnectionPool(Clock* clock)
    : clock_(clock), alive_(std::make_shared<bool>(true)) {}

TargetConnectionPool::~TargetConnectionPool() { *alive_ = false; }

std::unique_ptr<boost::asio::ip::tcp::socket> TargetConnectionPool::Acquire(
    const TargetId& target) {
  const auto it = idle_.find(target);
  if (it == idle_.end()) return nullptr;
  const absl::Time now = clock_->Now();
  while (!it->second.empty()) {
    // The newest connection is the least likely to be closed by the target.
    const std::shared_ptr<Idle> idle = it->second.back();
    it->second.pop_back();
    boost::system::error_code ec;
    idle->socket->cancel(ec);
    // The handler that removes a connection may not have run yet.
    if (ec || idle->until <= now || !IsOpenAndSilent(idle->socket.get())) {
      idle->socket->close(ec);
      continue;
    }
    return std::move(idle->socket);
  }
  return nullptr;
}

void TargetConnectionPool::Release(
    const TargetId& target,
    std::unique_ptr<boost::asio::ip::tcp::socket> socket,
    absl::Duration idle_time) {
  IdleList& list = idle_[target];
  if (list.size() >= kMaxIdlePerTarget) list.pop_front();
  auto idle = std::make_shared<Idle>();
  idle->socket = std::move(socket);
  idle->until = clock_->Now() + idle_time;
  list.push_back(idle);
  Watch(target, idle);
}

void TargetConnectionPool::Watch(const TargetId& target,
                                 const std::shared_ptr<Idle>& idle) {
  const std::weak_ptr<Idle> weak = idle;
  idle->socket->async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [this, alive = alive_, target, weak](boost::system::error_code ec) {
        const std::shared_ptr<Idle> idle = weak.lock();
        if (ec || !*alive || idle == nullptr) return;
        const auto it = idle_.find(target);
        if (it != idle_.end()) it->second.remove(idle);
      });
}

void TargetConnectionPool::CloseIdle(const TargetId& target) {
  idle_.erase(target);
}

}  // namespace wisteriareel
