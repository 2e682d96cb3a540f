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

// Limits that keep slow, idle or hostile clients from exhausting a listener.
struct HttpLimits {
  // Connections served at once; each has a thread.
  std::size_t max_connections = 2048;
  // Share of max_connections above which connections are no longer kept
  // alive between requests.
  double keep_alive_share = 0.75;
  // Longest time that a connection may wait for its next request.
  absl::Duration keep_alive = absl::Seconds(5);
  // Requests served on one connection.
  int max_requests_per_connection = 1000;
  // From the first byte of a request to the end of its head.
  absl::Duration head_timeout = absl::Seconds(10);
  // From the end of the head to the end of the body.
  absl::Duration body_timeout = absl::Seconds(30);
  // Request line and headers.
  std::uint64_t max_head_bytes = 32ull << 10;
  std::uint64_t max_body_bytes = 4ull << 20;
  // Longest wait for a client to take bytes.
  absl::Duration write_timeout = absl::Seconds(20);
};

struct HttpListenerOptions {
  // Port zero binds a free one.
  Endpoint endpoint;
  HttpLimits limits;
  TlsFiles tls;
  // Connections that the kernel holds until they are accepted.
  int backlog = 4096;
  // Must outlive the listener.
  EventLog* events = DiscardEvents();
};

// One request on a connection and the way back to its client.
struct HttpExchange {
  // The path as received, without the query.
  std::string path;
  // Path and query as received.
  std::string target;
  std::string content_type;
  BoundedStream* stream = nullptr;
  // Set when the answer was written to the stream directly.
  bool response_written = false;
  // Set when the connection can't be used again.
  bool close = false;
};

// Why a request is refused.
struct HttpRefusal {
  int status = 400;
  Reason reason = Reason::kMalformed;
  std::string detail;
  Verdict verdict = Verdict::kNotRun;
};

// Answers the requests of a listener. Called on connection threads.
class HttpExchangeHandler {
 public:
  virtual ~HttpExchangeHandler() = default;

  // Looks at a request before its body is read. Returns why it is refused, or
  // nullopt.
  virtual std::optional<HttpRefusal> CheckHead(const httplib::Request& request,
                                               const HttpExchange& exchange);

  // Answers a request whose body was read.
  virtual void Serve(const httplib::Request& request, HttpExchange* exchange,
                     httplib::Response* response) = 0;

  // Makes the answer to a refused request.
  virtual void Refuse(const HttpRefusal& refusal,
                      httplib::Response* response) = 0;
};

class BoundedHttpServer;

// Accepts connections and serves them with bounded time and memory. Owns its
// threads. Start and Stop belong to one thread; the rest is thread-safe.
class HttpListener {
 public:
  // `handler` must outlive the listener.
  HttpListener(HttpListenerOptions options, HttpExchangeHandler* handler);
  // Stops without a grace.
  ~HttpListener();

  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Binds and begins to accept. Returns false if that fails.
  bool Start(LastReason* reason);

  // Returns the bound port.
  int port() const { return port_; }

  // Connections close after their current request from now on.
  void BeginDrain();

  // Accepts no more, waits up to `grace` for requests in flight, then cuts
  // them. Returns how many connections were cut. Idempotent.
  std::size_t Stop(absl::Duration grace);

  // Reads certificate and key again, for new connections. Also done every
  // tls.reload.
  bool ReloadTls(LastReason* reason);

  // Returns how many connections are open.
  std::size_t connections() const;

 private:
  const HttpListenerOptions options_;
  std::unique_ptr<BoundedHttpServer> server_;
  std::thread accept_thread_;
  std::unique_ptr<BackgroundLoop> tls_reloader_;
  int port_ = 0;
};

// Returns the bytes of a response head with `status` and `headers`.
std::string SerializeHead(int status, const httplib::Headers& headers);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_HTTP_LISTENER_H_
