#ifndef WISTERIAREEL_TEST_BLACKHOLE_PROXY_H_
#define WISTERIAREEL_TEST_BLACKHOLE_PROXY_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace wisteriareel {

// Forwards TCP connections to a local port. On demand it discards all further
// data on the open connections, while new connections work.
class BlackholeProxy {
 public:
  explicit BlackholeProxy(std::uint16_t target) : target_(target) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Loopback(0);
    (void)bind(listener_, reinterpret_cast<sockaddr*>(&address),
               sizeof(address));
    listen(listener_, 16);
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Run(); });
  }

  ~BlackholeProxy() {
    stopped_ = true;
    thread_.join();
    for (const Direction& it : open_) {
      close(it.from);
      close(it.to);
    }
    close(listener_);
  }

  std::uint16_t port() const { return port_; }

  // Discards all further data on the currently open connections.
  void BlackholeOpenConnections() { blackhole_requested_ = true; }

  // Returns the number of connections accepted so far.
  int accepted() const { return accepted_; }

 private:
  static constexpr int kPollMs = 5;

  struct Direction {
    int from = -1;
    int to = -1;
    bool discarding = false;
  };

  static sockaddr_in Loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  void Run() {
    while (!stopped_) {
      std::vector<pollfd> fds = {{listener_, POLLIN, 0}};
      for (const Direction& it : open_) fds.push_back({it.from, POLLIN, 0});
      poll(fds.data(), fds.size(), kPollMs);
      if (blackhole_requested_.exchange(false)) {
        for (Direction& it : open_) it.discarding = true;
      }
      for (std::size_t n = 1; n < fds.size(); ++n) {
        if (fds[n].revents != 0) Forward(&open_[n - 1]);
      }
      if (fds[0].revents != 0) Accept();
    }
  }

  void Accept() {
    const int client = accept(listener_, nullptr, nullptr);
    const int target = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = Loopback(target_);
    (void)connect(target, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address));
    open_.push_back({client, target});
    open_.push_back({target, client});
    ++accepted_;
  }

  static void Forward(Direction* it) {
    std::array<char, 4096> buf{};
    const ssize_t n = recv(it->from, buf.data(), buf.size(), MSG_DONTWAIT);
    if (it->discarding) return;
    if (n <= 0) {
      shutdown(it->to, SHUT_WR);
      it->discarding = true;
      return;
    }
    send(it->to, buf.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL);
  }

  const std::uint16_t target_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopped_ = false;
  std::atomic<bool> blackhole_requested_ = false;
  std::atomic<int> accepted_ = 0;
  // Used only on the thread of the proxy.
  std::vector<Direction> open_;
  std::thread thread_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_BLACKHOLE_PROXY_H_
