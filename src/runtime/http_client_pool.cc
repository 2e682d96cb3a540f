#include "src/runtime/http_client_pool.h"

namespace wisteriareel {

HttpClientPool::HttpClientPool(boost::asio::io_context* io,
                               std::size_t max_clients)
    : io_(io), max_clients_(max_clients) {}

AsyncHttpClient* HttpClientPool::Get(const Endpoint& endpoint) {
  if (clients_.size() >= max_clients_ && !clients_.contains(endpoint)) {
    EvictLeastRecentlyUsed();
  }
  Entry& entry = clients_[endpoint];
  if (entry.client == nullptr) {
    entry.client = std::make_unique<AsyncHttpClient>(io_, endpoint);
  }
  entry.last_use = ++calls_;
  return entry.client.get();
}

void HttpClientPool::EvictLeastRecentlyUsed() {
  auto oldest = clients_.end();
  for (auto it = clients_.begin(); it != clients_.end(); ++it) {
    if (it->second.client->HasRequestInProgress()) continue;
    if (oldest == clients_.end() ||
        it->second.last_use < oldest->second.last_use) {
      oldest = it;
    }
  }
  if (oldest != clients_.end()) clients_.erase(oldest);
}

}  // namespace wisteriareel
