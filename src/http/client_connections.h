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

// What bounds one exchange of a client.
struct ClientLimits {
  absl::Duration connect_timeout = absl::Seconds(1);
  // Longest silence of the server; null for none. Read anew at each wait.
  const absl::Duration* idle_timeout = nullptr;
  // Time of SystemClock() at which the exchange is given up.
  absl::Time deadline = absl::InfiniteFuture();
  // Gives the exchange up once true; null for none.
  const std::atomic<bool>* cancelled = nullptr;
};

// How one exchange of a client ended.
struct ClientOutcome {
  // True if a whole answer arrived.
  bool ok = false;
  httplib::Error error = httplib::Error::Unknown;
  StreamFailure failure = StreamFailure::kNone;
  // Bytes of the request that the operating system took; zero is proof that
  // the server received nothing.
  std::uint64_t bytes_sent = 0;
  bool reused = false;
  // Bytes came after the answer; the connection can't be used again.
  bool has_trailing_bytes = false;
};

// A connection to one server, kept open between exchanges. Not thread-safe.
class ClientConnection {
 public:
  virtual ~ClientConnection() = default;

  // Sends `request` and receives the answer. The request's response_handler
  // and content_receiver see the answer while it arrives.
  virtual ClientOutcome Exchange(const ClientLimits& limits,
                                 httplib::Request* request,
                                 httplib::Response* response) = 0;
  virtual bool is_open() const = 0;

  // Returns false if the server closed the connection or sent bytes that
  // belong to no request of ours.
  virtual bool IsReusable() const = 0;
};

// Idle connections per server, for reuse. Thread-safe.
class ClientConnections {
 public:
  struct Options {
    // Idle connections kept for one server.
    std::size_t max_idle_per_server = 64;
    // An idle connection is not used again after this age: the other end, or
    // something between, may have dropped it.
    absl::Duration max_idle_age = absl::Seconds(3);
    TlsFiles tls;
  };

  explicit ClientConnections(Options options);

  // Makes one exchange, on a new connection if `fresh`.
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
  // By "host:port".
  absl::flat_hash_map<std::string, IdleList> idle_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_CLIENT_CONNECTIONS_H_
