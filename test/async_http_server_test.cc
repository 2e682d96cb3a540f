#include "src/runtime/async_http_server.h"

#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "test/raw_connection.h"

namespace wisteriareel {
namespace {

using ::testing::HasSubstr;

std::uint16_t FreePort() {
  boost::asio::io_context io;
  const boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

// Lets this process open no more file descriptors.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int next = dup(STDIN_FILENO);
    close(next);
    const rlimit none{.rlim_cur = static_cast<rlim_t>(next),
                      .rlim_max = before_.rlim_max};
    EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
  }
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit before_{};
};

// The server retried in an endless loop, which kept the thread busy.
TEST(AsyncHttpServerTest, RetriesSlowlyWithoutFreeDescriptors) {
  boost::asio::io_context io;
  AsyncHttpServer server(
      &io, [](const std::string&, const std::string&, const std::string&) {
        return HttpResponse{.status = 200, .body = "done"};
      });
  const std::uint16_t port = FreePort();
  LastReason reason;
  ASSERT_TRUE(server.Listen({.host = "127.0.0.1", .port = port}, &reason));
  RawConnection caller(port);
  caller.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  {
    const NoFreeDescriptors no_descriptors;
    EXPECT_LT(io.run_for(std::chrono::milliseconds(200)), 100);
  }
  io.run_for(std::chrono::milliseconds(500));
  EXPECT_THAT(caller.ReadAll(), HasSubstr("done"));
}

}  // namespace
}  // namespace wisteriareel
