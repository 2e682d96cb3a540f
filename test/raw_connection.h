#ifndef WISTERIAREEL_TEST_RAW_CONNECTION_H_
#define WISTERIAREEL_TEST_RAW_CONNECTION_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>

namespace wisteriareel {

// Loopback connection that sends and receives raw bytes.
class RawConnection {
 public:
  explicit RawConnection(int port) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    // Makes a test fail instead of hang if the server never responds.
    const timeval limit{.tv_sec = 20, .tv_usec = 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
  }
  ~RawConnection() { close(fd_); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool connected() const { return connected_; }
  int fd() const { return fd_; }
  // Returns true if the last read found the connection closed by the peer.
  bool ended() const { return ended_; }

  // Returns false if the bytes could not be sent.
  bool Send(std::string_view bytes) {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  // Returns the next bytes, or an empty string at the end or on an error.
  std::string ReadSome() {
    std::array<char, 16384> buf;
    const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
    ended_ = n == 0;
    return n > 0 ? std::string(buf.data(), static_cast<std::size_t>(n)) : "";
  }

  // Returns all bytes until the peer closes the connection.
  std::string ReadAll() {
    std::string all;
    for (std::string some = ReadSome(); !some.empty(); some = ReadSome()) {
      all += some;
    }
    return all;
  }

  // Reads until the received bytes contain `end` and returns all of them.
  std::string ReadUntil(std::string_view end) {
    std::string all;
    while (all.find(end) == std::string::npos) {
      const std::string some = ReadSome();
      if (some.empty()) break;
      all += some;
    }
    return all;
  }

 private:
  const int fd_;
  bool connected_ = false;
  bool ended_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_RAW_CONNECTION_H_
