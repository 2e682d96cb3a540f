#include "src/router/peer_config_fetcher.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "src/runtime/async_http_client.h"

namespace wisteriareel {

PeerConfigFetcher::PeerConfigFetcher(
    PeerConfigFetcherOptions options, boost::asio::io_context* io,
    Scheduler* scheduler, RandomSource* random, RequestRouter* router,
    RouteConfigPoller* config, std::function<bool()> needed,
    std::function<std::vector<Endpoint>()> peers)
    : options_(options),
      io_(io),
      scheduler_(scheduler),
      random_(random),
      router_(router),
      config_(config),
      needed_(std::move(needed)),
      peers_(std::move(peers)) {}

void PeerConfigFetcher::Start() { RunRound(); }

void PeerConfigFetcher::RunRound() {
  scheduler_->After(options_.interval, [this] { RunRound(); });
  if (!needed_()) return;
  std::vector<Endpoint> peers = peers_();
  for (int n = 0; n < options_.fanout && !peers.empty(); ++n) {
    const std::size_t pick = random_->Below(peers.size());
    RequestConfig(peers[pick]);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void PeerConfigFetcher::RequestConfig(const Endpoint& peer) {
  const std::uint64_t revision =
      router_->table() == nullptr ? 0
                                  : router_->table()->config().revision.value();
  const auto client = std::make_shared<AsyncHttpClient>(io_, peer);
  client->Start({.method = "GET",
                 .target = absl::StrCat(kPeerConfigPath, revision),
                 .timeout = options_.timeout},
                [this, client](const std::optional<HttpResponse>& reply) {
                  if (reply.has_value() && reply->status == 200) {
                    ApplyPeerResponse(reply->body);
                  }
                });
}

std::string PeerConfigFetcher::MakeConfigResponse(Revision revision,
                                                  const RequestRouter& router,
                                                  const std::string* text,
                                                  bool own_fresh) {
  nlohmann::json response = {{"fresh", own_fresh}, {"revision", 0}};
  if (router.table() == nullptr || text == nullptr) return response.dump();
  const Revision own = router.table()->config().revision;
  response["revision"] = own.value();
  if (own > revision) response["config"] = *text;
  return response.dump();
}

void PeerConfigFetcher::ApplyPeerResponse(const std::string& body) {
  const nlohmann::json response =
      nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!response.is_object() || !response.contains("revision") ||
      !response["revision"].is_number_unsigned()) {
    return;
  }
  if (response.contains("config") && response["config"].is_string()) {
    config_->ApplyPeerConfig(response["config"].get<std::string>());
  }
  const auto fresh = response.find("fresh");
  if (router_->table() == nullptr || fresh == response.end() ||
      *fresh != true) {
    return;
  }
  const Revision theirs(response["revision"].get<std::uint64_t>());
  if (theirs == router_->table()->config().revision) {
    router_->Confirm(scheduler_->Now());
  }
}

}  // namespace wisteriareel
