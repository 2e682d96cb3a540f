#ifndef WISTERIAREEL_SRC_RUNTIME_HTTP_CLIENT_POOL_H_
#define WISTERIAREEL_SRC_RUNTIME_HTTP_CLIENT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "boost/asio/io_context.hpp"
#include "src/runtime/async_http_client.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// One AsyncHttpClient per endpoint. When there are too many, those unused for
// the longest time are destroyed, but never one with a request in progress:
// its callback would not run. Not thread-safe.
class HttpClientPool {
 public:
  // `io` must outlive the pool.
  HttpClientPool(boost::asio::io_context* io, std::size_t max_clients);

  // Returns the client for `endpoint`, which is valid until the next call.
  AsyncHttpClient* Get(const Endpoint& endpoint);

  std::size_t size() const { return clients_.size(); }

 private:
  struct Entry {
    std::unique_ptr<AsyncHttpClient> client;
    // Value of `calls_` at the last use.
    std::uint64_t last_use = 0;
  };

  void EvictLeastRecentlyUsed();

  boost::asio::io_context* const io_;
  const std::size_t max_clients_;
  std::uint64_t calls_ = 0;
  std::map<Endpoint, Entry> clients_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_HTTP_CLIENT_POOL_H_
