#ifndef WISTERIAREEL_SRC_HTTP_CLIENT_CONNECTIONS_H_
#define WISTERIAREEL_SRC_HTTP_CLIENT_CONNECTIONS_H_

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/http/bounded_stream.h"
#include "src/security/tls_files.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Limits on one request and its response.
struct ClientLimits {
  absl::Duration connect_timeout = absl::Seconds(1);
  // Maximum wait for the server's next bytes; null for no maximum. Read again
  // at each wait.
  const absl::Duration* idle_timeout = nullptr;
  // The exchange fails once SystemClock() reaches this time.
  absl::Time deadline = absl::InfiniteFuture();
  // Cancels the exchange once true; null for none.
  const std::atomic<bool>* cancelled = nullptr;
};

// Outcome of one exchange.
struct ClientOutcome {
  // True if a complete response was received.
  bool ok = false;
  httplib::Error error = httplib::Error::Unknown;
  StreamFailure failure = StreamFailure::kNone;
  // Bytes of the request that the operating system accepted. Zero proves that
  // the server received nothing.
  std::uint64_t bytes_sent = 0;
  bool reused = false;
  // True if bytes followed the response; the connection can't be reused.
  bool has_trailing_bytes = false;
};

// A persistent connection to one server. Not thread-safe.
class ClientConnection {
 public:
  virtual ~ClientConnection() = default;

  // Sends `request` and receives the response. The request's response_handler
  // and content_receiver are called as the response arrives.
  virtual ClientOutcome Exchange(const ClientLimits& limits,
                                 httplib::Request* request,
                                 httplib::Response* response) = 0;
  virtual bool is_open() const = 0;

  // Returns false if the server closed the connection or sent bytes that
  // belong to no request of this client.
  virtual bool IsReusable() const = 0;
};

// Pool of idle connections per server. Thread-safe.
class ClientConnections {
 public:
  struct Options {
    // Maximum idle connections per server.
    std::size_t max_idle_per_server = 64;
    // Maximum idle time of a connection that is reused. The server, or a device
    // on the path, may drop older ones without notice.
    absl::Duration max_idle_age = absl::Seconds(3);
    TlsFiles tls;
  };

  explicit ClientConnections(Options options);

  // Sends `request` and receives its response, on a new connection if `fresh`.
  ClientOutcome Exchange(const Endpoint& server, bool fresh,
                         const ClientLimits& limits, httplib::Request* request,
                         httplib::Response* response);

 private:
  struct Idle {
    std::unique_ptr<ClientConnection> connection;
    absl::Time since;
  };
  using IdleList = std::vector<Idle>;

  std::unique_ptr<ClientConnection> AcquireIdle(const Endpoint& server);
  void ReleaseIdle(const Endpoint& server,
                   std::unique_ptr<ClientConnection> connection);
  void CloseIdleConnections(const Endpoint& server);
  std::unique_ptr<ClientConnection> Make(const Endpoint& server) const;

  const Options options_;
  std::mutex mutex_;
  // Key: "host:port".
  absl::flat_hash_map<std::string, IdleList> idle_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_CLIENT_CONNECTIONS_H_
