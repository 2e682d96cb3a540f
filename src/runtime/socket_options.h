#ifndef WISTERIAREEL_SRC_RUNTIME_SOCKET_OPTIONS_H_
#define WISTERIAREEL_SRC_RUNTIME_SOCKET_OPTIONS_H_

#include "absl/time/time.h"
#include "boost/asio/ip/tcp.hpp"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Makes the kernel notice a peer that went silent: bytes that stay
// unacknowledged and probes without an answer end the connection after about
// `silence`. Sends small writes at once. Errors are ignored: without these
// options the time limits of the callers remain.
void WatchPeer(boost::asio::ip::tcp::socket* socket, absl::Duration silence);

// Makes the next close reset the connection, so that nothing that the peer
// has read looks complete.
void ResetOnClose(boost::asio::ip::tcp::socket* socket);

// Returns the address as Boost.Asio has it. `endpoint.host` is an IP number.
boost::asio::ip::tcp::endpoint AsioEndpoint(const Endpoint& endpoint);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_SOCKET_OPTIONS_H_
