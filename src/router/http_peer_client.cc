#include "src/router/http_peer_client.h"

#include <optional>
#include <utility>

namespace wisteriareel {
namespace {

// Maximum number of instances to which connections are kept.
constexpr std::size_t kMaxClients = 64;
constexpr int kStatusOk = 200;

}  // namespace

HttpPeerClient::HttpPeerClient(boost::asio::io_context* io)
    : clients_(io, kMaxClients) {}

void HttpPeerClient::Send(const Endpoint& peer, const std::string& path,
                          absl::Duration timeout, Done done) {
  clients_.Get(peer)->Start(
      {.method = "POST", .target = path, .timeout = timeout},
      [done = std::move(done)](std::optional<HttpResponse> reply) {
        if (!reply.has_value()) {
          done(std::nullopt);
          return;
        }
        done(PeerResponse{.accepted = reply->status == kStatusOk,
                          .body = std::move(reply->body)});
      });
}

}  // namespace wisteriareel
