#ifndef WISTERIAREEL_TEST_SCRIPTED_TARGET_H_
#define WISTERIAREEL_TEST_SCRIPTED_TARGET_H_

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "gtest/gtest.h"
#include "test/raw_connection.h"

namespace wisteriareel {

// Target that serves each connection with a function of the test.
class ScriptedTarget {
 public:
  explicit ScriptedTarget(std::function<void(int fd)> serve)
      : serve_(std::move(serve)),
        acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Run(); }) {}
  ~ScriptedTarget() {
    stopping_ = true;
    RawConnection wake(port());
    thread_.join();
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  // Returns the bytes up to the end of a request's head.
  static std::string ReadHead(int fd) {
    std::string head;
    char byte = 0;
    while (head.find("\r\n\r\n") == std::string::npos &&
           read(fd, &byte, 1) == 1) {
      head += byte;
    }
    return head;
  }
  // Reads the head and the body of a RouterDaemonTest::Request. Closing a
  // connection with the body unread resets it.
  static void ReadRequest(int fd) {
    ReadHead(fd);
    std::array<char, 2> body;
    EXPECT_EQ(recv(fd, body.data(), body.size(), MSG_WAITALL), 2);
  }
  static void Write(int fd, const std::string& bytes) {
    EXPECT_EQ(write(fd, bytes.data(), bytes.size()),
              static_cast<ssize_t>(bytes.size()));
  }

 private:
  void Run() {
    for (;;) {
      boost::asio::ip::tcp::socket socket(io_);
      acceptor_.accept(socket);
      if (stopping_) return;
      serve_(socket.native_handle());
    }
  }

  const std::function<void(int fd)> serve_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_SCRIPTED_TARGET_H_
