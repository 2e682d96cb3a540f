#ifndef WISTERIAREEL_SRC_HTTP_HTTP_LISTENER_H_
#define WISTERIAREEL_SRC_HTTP_HTTP_LISTENER_H_

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "absl/time/time.h"
#include "src/http/bounded_stream.h"
#include "src/security/tls_files.h"
#include "wisteriareel/background_loop.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"
#include "wisteriareel/verdict.h"

namespace wisteriareel {

// Limits that prevent slow, idle or malicious clients from exhausting a
// listener.
struct HttpLimits {
  // Maximum concurrent connections; each uses one thread.
  std::size_t max_connections = 2048;
  // Fraction of max_connections above which connections are closed after each
  // request instead of being kept alive.
  double keep_alive_share = 0.75;
  // Maximum time that a connection may wait for its next request.
  absl::Duration keep_alive = absl::Seconds(5);
  // Maximum number of requests on one connection.
  int max_requests_per_connection = 1000;
  // Time from the first byte of a request to the end of its head.
  absl::Duration head_timeout = absl::Seconds(10);
  // Time from the end of the head to the end of the body.
  absl::Duration body_timeout = absl::Seconds(30);
  // Maximum size of the request line and headers.
  std::uint64_t max_head_bytes = 32ull << 10;
  std::uint64_t max_body_bytes = 4ull << 20;
  // Maximum time for one write to a client.
  absl::Duration write_timeout = absl::Seconds(20);
};

struct HttpListenerOptions {
  // Port 0 binds any free port.
  Endpoint endpoint;
  HttpLimits limits;
  TlsFiles tls;
  // Maximum connections that the kernel queues before they are accepted.
  int backlog = 4096;
  // Must outlive the listener.
  EventLog* events = DiscardEvents();
};

// One request on a connection, and the stream for its response.
struct HttpExchange {
  // Path as received, without the query.
  std::string path;
  // Request target: path and query as received.
  std::string target;
  std::string content_type;
  BoundedStream* stream = nullptr;
  // True if the handler wrote the response to the stream directly.
  bool response_written = false;
  // True if the connection must be closed after this request.
  bool close = false;
};

// Why a request is refused.
struct HttpRefusal {
  int status = 400;
  Reason reason = Reason::kMalformed;
  std::string detail;
  Verdict verdict = Verdict::kNotRun;
};

// Handles the requests of a listener. Called on connection threads.
class HttpExchangeHandler {
 public:
  virtual ~HttpExchangeHandler() = default;

  // Checks a request before its body is read. Returns the refusal, or nullopt
  // to accept it.
  virtual std::optional<HttpRefusal> CheckHead(const httplib::Request& request,
                                               const HttpExchange& exchange);

  // Handles a request after its body was read.
  virtual void Serve(const httplib::Request& request, HttpExchange* exchange,
                     httplib::Response* response) = 0;

  // Fills in the response to a refused request.
  virtual void Refuse(const HttpRefusal& refusal,
                      httplib::Response* response) = 0;
};

class BoundedHttpServer;

// Accepts connections and serves them with bounded time and memory. Owns its
// threads. Start and Stop must be called on one thread; all else is
// thread-safe.
class HttpListener {
 public:
  // `handler` must outlive the listener.
  HttpListener(HttpListenerOptions options, HttpExchangeHandler* handler);
  // Stops without a grace period.
  ~HttpListener();

  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Binds the port and starts accepting connections. Returns false, with the
  // reason, if the certificate can't be read or the port can't be bound.
  bool Start(LastReason* reason);

  // Returns the bound port.
  int port() const { return port_; }

  // Makes connections close after their current request.
  void BeginDrain();

  // Stops accepting connections, waits up to `grace` for requests in flight,
  // then aborts the rest. Returns the number of connections aborted.
  // Idempotent.
  std::size_t Stop(absl::Duration grace);

  // Reloads certificate and key for new connections. The listener also does so
  // every `tls.reload`.
  bool ReloadTls(LastReason* reason);

  // Returns the number of open connections.
  std::size_t connections() const;

 private:
  const HttpListenerOptions options_;
  std::unique_ptr<BoundedHttpServer> server_;
  std::thread accept_thread_;
  std::unique_ptr<BackgroundLoop> tls_reloader_;
  int port_ = 0;
};

// Serializes a response head with `status` and `headers`.
std::string SerializeHead(int status, const httplib::Headers& headers);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_HTTP_LISTENER_H_
