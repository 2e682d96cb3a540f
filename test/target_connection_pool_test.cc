#include "src/runtime/target_connection_pool.h"

#include <poll.h>

#include <memory>
#include <utility>

#include "absl/time/time.h"
#include "boost/asio/buffer.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/write.hpp"
#include "gtest/gtest.h"
#include "standin/fakes/manual_clock.h"

namespace wisteriareel {
namespace {

using Socket = boost::asio::ip::tcp::socket;

constexpr absl::Duration kIdleTime = absl::Seconds(10);
constexpr int kLimitMs = 10'000;

// Has one idle connection to `target_`. Runs no handlers, as if the thread
// stood still.
class TargetConnectionPoolTest : public ::testing::Test {
 protected:
  void SetUp() override {
    boost::asio::ip::tcp::acceptor acceptor(
        io_, {boost::asio::ip::address_v4::loopback(), 0});
    auto socket = std::make_unique<Socket>(io_);
    socket->connect(acceptor.local_endpoint());
    acceptor.accept(remote_);
    fd_ = socket->native_handle();
    pool_.Release(target_, std::move(socket), kIdleTime);
  }

  // Waits until the connection has data or is known to be closed.
  void AwaitReadable() const {
    pollfd event{.fd = fd_, .events = POLLIN, .revents = 0};
    ASSERT_EQ(poll(&event, 1, kLimitMs), 1);
  }

  const TargetId target_{"t"};
  boost::asio::io_context io_;
  Socket remote_{io_};
  ManualClock clock_;
  TargetConnectionPool pool_{&clock_};
  int fd_ = -1;
};

TEST_F(TargetConnectionPoolTest, ReturnsAnOpenConnection) {
  const auto socket = pool_.Acquire(target_);
  ASSERT_NE(socket, nullptr);
  EXPECT_EQ(socket->native_handle(), fd_);
  EXPECT_EQ(pool_.Acquire(target_), nullptr);
}

TEST_F(TargetConnectionPoolTest, ReturnsNoConnectionAfterItsIdleTime) {
  clock_.Advance(kIdleTime);
  EXPECT_EQ(pool_.Acquire(target_), nullptr);
}

TEST_F(TargetConnectionPoolTest, ReturnsNoConnectionWithUnreadData) {
  boost::asio::write(remote_, boost::asio::buffer("x", 1));
  AwaitReadable();
  EXPECT_EQ(pool_.Acquire(target_), nullptr);
}

// A request was sent on a connection that its target had closed, and the
// failure was taken for a crash of the target.
TEST_F(TargetConnectionPoolTest, ReturnsNoConnectionThatTheTargetHasClosed) {
  remote_.close();
  AwaitReadable();
  EXPECT_EQ(pool_.Acquire(target_), nullptr);
}

TEST_F(TargetConnectionPoolTest, ReturnsNoConnectionThatTheTargetHasReset) {
  remote_.set_option(boost::asio::socket_base::linger(true, 0));
  remote_.close();
  AwaitReadable();
  EXPECT_EQ(pool_.Acquire(target_), nullptr);
}

}  // namespace
}  // namespace wisteriareel
