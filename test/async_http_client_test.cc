#include "src/runtime/async_http_client.h"

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "gtest/gtest.h"

namespace wisteriareel {
namespace {

// Serves one connection by `serve` and returns what a call to it ends with.
template <typename Serve>
std::optional<HttpResponse> CallServer(absl::Duration timeout,
                                       const Serve& serve) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  std::thread server([&] {
    boost::asio::ip::tcp::socket socket(acceptor.get_executor());
    acceptor.accept(socket);
    std::string head;
    char byte = 0;
    while (head.find("\r\n\r\n") == std::string::npos &&
           read(socket.native_handle(), &byte, 1) == 1) {
      head += byte;
    }
    serve(socket.native_handle());
  });
  boost::asio::io_context caller_io;
  AsyncHttpClient caller(
      &caller_io,
      {.host = "127.0.0.1", .port = acceptor.local_endpoint().port()});
  std::optional<HttpResponse> result;
  caller.Start({.method = "GET", .target = "/", .timeout = timeout},
               [&result](std::optional<HttpResponse> reply) {
                 result = std::move(reply);
               });
  caller_io.run();
  server.join();
  return result;
}

void Write(int fd, const std::string& bytes) {
  EXPECT_EQ(write(fd, bytes.data(), bytes.size()),
            static_cast<ssize_t>(bytes.size()));
}

// Seen on a played day (olgjald-leid-grown, trouble-1, seed 440943887423): a
// configuration of 1,694 routes took longer than the time limit on a link of
// 10 Mbit/s and was asked for again and again for 11 s.
TEST(HttpCallerTest, AnAnswerThatKeepsArrivingIsNotGivenUp) {
  const auto reply = CallServer(absl::Milliseconds(1500), [](int fd) {
    Write(fd, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
    for (int n = 0; n < 8; ++n) {
      std::this_thread::sleep_for(std::chrono::milliseconds(250));
      Write(fd, "x");
    }
  });
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->body, "xxxxxxxx");
}

TEST(HttpCallerTest, ASilentEndpointIsGivenUp) {
  std::atomic<bool> ended = false;
  const auto reply = CallServer(absl::Milliseconds(50), [&ended](int fd) {
    char byte = 0;
    ended = read(fd, &byte, 1) <= 0;
  });
  EXPECT_FALSE(reply.has_value());
  EXPECT_TRUE(ended);
}

TEST(HttpCallerTest, AnAnswerCutShortIsNone) {
  const auto reply = CallServer(absl::Seconds(20), [](int fd) {
    Write(fd, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nxx");
  });
  EXPECT_FALSE(reply.has_value());
}

}  // namespace
}  // namespace wisteriareel
