#ifndef WISTERIAREEL_SRC_RUNTIME_SOCKET_OPTIONS_H_
#define WISTERIAREEL_SRC_RUNTIME_SOCKET_OPTIONS_H_

#include "absl/time/time.h"
#include "boost/asio/ip/tcp.hpp"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Makes the kernel close the connection if, for about `timeout`, the peer
// acknowledges neither data nor keep-alive probes. Also disables Nagle's
// algorithm, so that small writes are sent at once. Errors are ignored, since
// the time limits of the code that uses the socket still apply.
void EnablePeerTimeout(boost::asio::ip::tcp::socket* socket,
                       absl::Duration timeout);

// Makes the next close reset the connection, so that the peer doesn't take a
// truncated message for a complete one.
void ResetOnClose(boost::asio::ip::tcp::socket* socket);

// Returns the number of bytes that were sent and that the peer hasn't
// acknowledged, or 0 on an error. The end of the stream counts as one.
int CountUnacknowledgedBytes(const boost::asio::ip::tcp::socket& socket);

// Converts an endpoint. `endpoint.host` must be an IP address.
boost::asio::ip::tcp::endpoint ToAsioEndpoint(const Endpoint& endpoint);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_SOCKET_OPTIONS_H_
