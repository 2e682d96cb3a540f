#ifndef WISTERIAREEL_SRC_ROUTER_HTTP_PEER_CLIENT_H_
#define WISTERIAREEL_SRC_ROUTER_HTTP_PEER_CLIENT_H_

#include <string>

#include "boost/asio/io_context.hpp"
#include "src/router/peer_client.h"
#include "src/runtime/http_client_pool.h"

namespace wisteriareel {

// Sends requests to other instances over HTTP.
class HttpPeerClient final : public PeerClient {
 public:
  // `io` must outlive the client.
  explicit HttpPeerClient(boost::asio::io_context* io);

  void Send(const Endpoint& peer, const std::string& path,
            absl::Duration timeout, Done done) override;

 private:
  HttpClientPool clients_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_HTTP_PEER_CLIENT_H_
