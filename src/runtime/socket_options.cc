#include "src/runtime/socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace wisteriareel {
namespace {

// Unanswered keep-alive probes after which the connection is closed.
constexpr int kProbes = 2;

void SetOption(int fd, int option, int value) {
  setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value));
}

}  // namespace

void EnablePeerTimeout(boost::asio::ip::tcp::socket* socket,
                       absl::Duration timeout) {
  boost::system::error_code ec;
  socket->set_option(boost::asio::ip::tcp::no_delay(true), ec);
  socket->set_option(boost::asio::socket_base::keep_alive(true), ec);
  const int fd = socket->native_handle();
  const int seconds = std::max<int>(
      1, static_cast<int>(absl::ToInt64Seconds(timeout)) / (kProbes + 1));
  SetOption(fd, TCP_KEEPIDLE, seconds);
  SetOption(fd, TCP_KEEPINTVL, seconds);
  SetOption(fd, TCP_KEEPCNT, kProbes);
  SetOption(fd, TCP_USER_TIMEOUT,
            static_cast<int>(absl::ToInt64Milliseconds(timeout)));
}

void ResetOnClose(boost::asio::ip::tcp::socket* socket) {
  boost::system::error_code ec;
  socket->set_option(boost::asio::socket_base::linger(true, 0), ec);
}

int CountUnacknowledgedBytes(const boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  // `native_handle` isn't const.
  const int fd =
      const_cast<boost::asio::ip::tcp::socket&>(socket).native_handle();
  return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

boost::asio::ip::tcp::endpoint ToAsioEndpoint(const Endpoint& endpoint) {
  boost::system::error_code ec;
  return {boost::asio::ip::make_address(endpoint.host, ec), endpoint.port};
}

}  // namespace wisteriareel
