#include "src/http/bounded_http_server.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

// How often an idle connection checks whether it should close.
constexpr absl::Duration kIdlePollInterval = absl::Milliseconds(250);
// How long a closing connection keeps reading, so that the client can read the
// response before it receives a reset.
constexpr absl::Duration kLingerTimeout = absl::Milliseconds(200);
// Maximum digits of a content length that fits std::uint64_t.
constexpr std::size_t kMaxLengthDigits = 18;
constexpr std::size_t kMaxLingerBytes = 256ull << 10;
// Bytes that chunked encoding may add to a body.
constexpr std::uint64_t kMaxChunkingOverheadBytes = 64ull << 10;
// Path by which the library routes every request; the original path is in the
// exchange. This keeps callers' paths away from std::regex, which recurses once
// per byte.
constexpr char kInternalRoute[] = "/";

// The exchange and the refusal of the request served by this thread.
thread_local HttpExchange* current_exchange = nullptr;
thread_local std::optional<HttpRefusal>* current_refusal = nullptr;

void CloseWithLinger(int fd) {
  ::shutdown(fd, SHUT_WR);
  const absl::Time deadline = SystemClock()->Now() + kLingerTimeout;
  std::array<char, 4096> scratch;
  std::size_t received = 0;
  while (received < kMaxLingerBytes) {
    const absl::Duration left = deadline - SystemClock()->Now();
    pollfd entry{.fd = fd, .events = POLLIN, .revents = 0};
    const auto ms = absl::ToInt64Milliseconds(left);
    if (ms <= 0 || poll(&entry, 1, static_cast<int>(ms)) <= 0) break;
    const ssize_t n = recv(fd, scratch.data(), scratch.size(), MSG_DONTWAIT);
    if (n <= 0) break;
    received += static_cast<std::size_t>(n);
  }
}

bool IsDecimalNumber(const std::string& text) {
  if (text.empty() || text.size() > kMaxLengthDigits) return false;
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c >= '0' && c <= '9'; });
}

// Validates the headers that determine the body. Returns the refusal, if any.
std::optional<HttpRefusal> CheckFraming(const httplib::Request& request,
                                        std::uint64_t max_body_bytes) {
  // Ambiguous body lengths would allow request smuggling.
  const std::size_t length_count =
      request.get_header_value_count("Content-Length");
  const bool has_transfer_encoding = request.has_header("Transfer-Encoding");
  if (length_count > 1 || (length_count == 1 && has_transfer_encoding)) {
    return HttpRefusal{400, Reason::kMalformed, "ambiguous body length"};
  }
  if (has_transfer_encoding &&
      request.get_header_value("Transfer-Encoding") != "chunked") {
    return HttpRefusal{400, Reason::kMalformed,
                       "unsupported transfer encoding"};
  }
  if (request.has_header("Content-Encoding")) {
    return HttpRefusal{415, Reason::kMalformed,
                       "content encoding not supported"};
  }
  if (length_count == 0) return std::nullopt;
  const std::string length = request.get_header_value("Content-Length");
  if (!IsDecimalNumber(length)) {
    return HttpRefusal{400, Reason::kMalformed, "invalid content length"};
  }
  if (std::stoull(length) > max_body_bytes) {
    return HttpRefusal{413, Reason::kBodyTooLarge, "body too large"};
  }
  return std::nullopt;
}

// Returns the refusal of a request that could not be read, or nullopt if the
// connection is closed without a response.
std::optional<HttpRefusal> RefusalFor(StreamFailure failure) {
  switch (failure) {
    case StreamFailure::kByteLimitExceeded:
      return HttpRefusal{431, Reason::kHeaderTooLarge,
                         "request head too large"};
    case StreamFailure::kDeadline:
    case StreamFailure::kStalled:
      return HttpRefusal{408, Reason::kDeadlineExceeded,
                         "request not received in time"};
    case StreamFailure::kNone:
    case StreamFailure::kClosed:
    case StreamFailure::kCancelled:
      break;
  }
  return std::nullopt;
}

}  // namespace

BoundedHttpServer::BoundedHttpServer(const HttpListenerOptions* options,
                                     HttpExchangeHandler* handler)
    : options_(*options), handler_(handler), tls_(options->tls) {
  new_task_queue = [this] {
    auto* threads = new ConnectionThreads(options_.limits.max_connections);
    threads_.store(threads);
    return threads;
  };
  set_tcp_nodelay(true);
  set_payload_max_length(options_.limits.max_body_bytes);
  set_socket_options([this](socket_t fd) {
    listening_fd_ = fd;
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
  set_pre_routing_handler(
      [this](const httplib::Request&, httplib::Response& response) {
        if (!current_refusal->has_value()) {
          return HandlerResponse::Unhandled;
        }
        // The unread body makes the connection unusable.
        current_exchange->close = true;
        response.set_header("Connection", "close");
        handler_->Refuse(**current_refusal, &response);
        return HandlerResponse::Handled;
      });
  const HandlerWithResponse fill_error_response =
      [this](const httplib::Request&, httplib::Response& res) {
        if (!res.body.empty()) return HandlerResponse::Unhandled;
        HttpRefusal refusal{res.status, Reason::kMalformed, "bad request"};
        if (res.status == 413) refusal.reason = Reason::kBodyTooLarge;
        if (res.status == 414) refusal.reason = Reason::kHeaderTooLarge;
        const auto limit = RefusalFor(current_exchange->stream->failure());
        // The end of an invalid request is unknown, so the connection can't be
        // reused.
        current_exchange->close = true;
        res.set_header("Connection", "close");
        handler_->Refuse(limit.value_or(refusal), &res);
        return HandlerResponse::Handled;
      };
  set_error_handler(fill_error_response);
  set_exception_handler([this](const httplib::Request&, httplib::Response& res,
                               std::exception_ptr thrown) {
    LogHandlerFailure(std::move(thrown));
    current_exchange->close = true;
    // A started stream must not be followed by a second response.
    if (current_exchange->response_written)
      current_exchange->stream->DiscardWrites();
    handler_->Refuse({.status = 500,
                      .reason = Reason::kUnavailable,
                      .detail = "internal error",
                      .verdict = Verdict::kMayHaveRun},
                     &res);
  });
  const auto serve = [this](const httplib::Request& request,
                            httplib::Response& response) {
    handler_->Serve(request, current_exchange, &response);
    if (current_exchange->response_written)
      current_exchange->stream->DiscardWrites();
  };
  Get(kInternalRoute, serve);
  Post(kInternalRoute, serve);
  Put(kInternalRoute, serve);
  Patch(kInternalRoute, serve);
  Delete(kInternalRoute, serve);
}

bool BoundedHttpServer::Bind(int* port, LastReason* reason) {
  if (options_.tls.enabled() && !tls_.Reload(reason)) return false;
  const Endpoint& endpoint = options_.endpoint;
  if (endpoint.port == 0) {
    *port = bind_to_any_port(endpoint.host);
  } else if (bind_to_port(endpoint.host, endpoint.port)) {
    *port = endpoint.port;
  } else {
    *port = -1;
  }
  if (*port <= 0) {
    reason->Set(
        Reason::kUnavailable,
        absl::StrCat("cannot bind ", endpoint.host, ":", endpoint.port));
    return false;
  }
  // The library itself listens with a backlog of 5.
  ::listen(listening_fd_, options_.backlog);
  return true;
}

void BoundedHttpServer::LogHandlerFailure(std::exception_ptr thrown) const {
  std::string detail = "unknown exception";
  try {
    std::rethrow_exception(std::move(thrown));
  } catch (const std::exception& failure) {
    detail = failure.what();
  } catch (...) {  // Keeps the default detail.
  }
  options_.events->Write(EventId::kRequestHandlerFailed, Severity::kError,
                         "request handler failed", {{"detail", detail}});
}

bool BoundedHttpServer::AllowsKeepAlive() const {
  if (draining_.load()) return false;
  const ConnectionThreads* threads = threads_.load();
  const double limit = options_.limits.keep_alive_share *
                       static_cast<double>(options_.limits.max_connections);
  return static_cast<double>(threads->busy()) <= limit;
}

bool BoundedHttpServer::WaitForRequest(BoundedStream* stream) const {
  absl::Duration left = options_.limits.keep_alive;
  while (left > absl::ZeroDuration()) {
    const absl::Duration slice = std::min(left, kIdlePollInterval);
    if (stream->WaitUntilReadable(slice)) return true;
    if (stream->failure() != StreamFailure::kStalled) return false;
    if (!AllowsKeepAlive()) return false;
    left -= slice;
  }
  return false;
}

bool BoundedHttpServer::process_and_close_socket(socket_t sock) {
  bool aborted = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    open_.insert(sock);
    aborted = aborted_;
  }
  if (aborted) {
    ::shutdown(sock, SHUT_RDWR);
  } else if (ConnectionThreads::OnRefusalThread()) {
    RefuseConnection(sock);
  } else if (!options_.tls.enabled()) {
    ServeConnection(sock, nullptr);
    CloseWithLinger(sock);
  } else {
    const std::shared_ptr<SSL_CTX> context = tls_.Current();
    SSL* tls = SSL_new(context.get());
    SSL_set_fd(tls, sock);
    fcntl(sock, F_SETFL, fcntl(sock, F_GETFL, 0) | O_NONBLOCK);
    if (Handshake(tls, sock)) {
      ServeConnection(sock, tls);
      SSL_shutdown(tls);
    }
    SSL_free(tls);
    ERR_clear_error();
    CloseWithLinger(sock);
  }
  {
    std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(sock);
  }
  close(sock);
  closed_.notify_all();
  return true;
}

bool BoundedHttpServer::Handshake(SSL* tls, int fd) const {
  const absl::Time deadline =
      SystemClock()->Now() + options_.limits.head_timeout;
  while (true) {
    ERR_clear_error();
    const int result = SSL_accept(tls);
    if (result == 1) return true;
    const int error = SSL_get_error(tls, result);
    const bool wants_read = error == SSL_ERROR_WANT_READ;
    if (!wants_read && error != SSL_ERROR_WANT_WRITE) return false;
    const absl::Duration left = deadline - SystemClock()->Now();
    if (left <= absl::ZeroDuration()) return false;
    const std::int16_t events = wants_read ? POLLIN : POLLOUT;
    pollfd entry{.fd = fd, .events = events, .revents = 0};
    const auto ms = absl::ToInt64Milliseconds(left) + 1;
    if (poll(&entry, 1, static_cast<int>(ms)) <= 0) return false;
  }
}

void BoundedHttpServer::ServeConnection(int fd, SSL* tls) {
  const HttpLimits& limits = options_.limits;
  BoundedStream stream(
      {.fd = fd, .tls = tls, .write_timeout = limits.write_timeout});
  for (int served = 1; served <= limits.max_requests_per_connection; ++served) {
    if (!WaitForRequest(&stream)) return;
    const bool last =
        served == limits.max_requests_per_connection || !AllowsKeepAlive();
    if (!ServeRequest(&stream, last)) return;
  }
}

bool BoundedHttpServer::ServeRequest(BoundedStream* stream, bool last) {
  HttpExchange exchange{.stream = stream, .close = last};
  std::optional<HttpRefusal> refusal;
  current_exchange = &exchange;
  current_refusal = &refusal;
  const std::uint64_t written_before = stream->bytes_written();
  stream->LimitReads(
      {.deadline = SystemClock()->Now() + options_.limits.head_timeout,
       .bytes = options_.limits.max_head_bytes});
  bool closed = false;
  const bool ok =
      process_request(*stream, last, closed, [&](httplib::Request& request) {
        PrepareRequest(&request, &exchange);
        refusal = CheckFraming(request, options_.limits.max_body_bytes);
        if (!refusal) refusal = handler_->CheckHead(request, exchange);
        if (refusal) request.headers.erase("Expect");
        stream->LimitReads(
            {.deadline = SystemClock()->Now() + options_.limits.body_timeout,
             .bytes =
                 options_.limits.max_body_bytes + kMaxChunkingOverheadBytes});
      });
  current_exchange = nullptr;
  current_refusal = nullptr;
  if (!ok && stream->bytes_written() == written_before) {
    RefuseBrokenRequest(stream);
  }
  return ok && !closed && !exchange.close &&
         stream->failure() == StreamFailure::kNone;
}

void BoundedHttpServer::PrepareRequest(httplib::Request* request,
                                       HttpExchange* exchange) {
  exchange->path = request->path;
  exchange->target = request->target;
  exchange->content_type = request->get_header_value("Content-Type");
  request->path = std::string(kInternalRoute);
  // Prevents the library from parsing forms, compressing responses and
  // serving ranges: bodies are passed through unchanged.
  request->headers.erase("Content-Type");
  request->headers.erase("Accept-Encoding");
  request->ranges.clear();
}

void BoundedHttpServer::RefuseBrokenRequest(BoundedStream* stream) {
  const std::optional<HttpRefusal> refusal = RefusalFor(stream->failure());
  if (refusal) WriteRefusal(*refusal, stream);
}

void BoundedHttpServer::WriteRefusal(const HttpRefusal& refusal,
                                     BoundedStream* stream) {
  httplib::Response response;
  handler_->Refuse(refusal, &response);
  response.set_header("Connection", "close");
  response.set_header("Content-Length", std::to_string(response.body.size()));
  const std::string bytes = absl::StrCat(
      SerializeHead(response.status, response.headers), response.body);
  stream->WriteAll(bytes.data(), bytes.size());
}

void BoundedHttpServer::RefuseConnection(int fd) {
  // A TLS handshake would block the refusal thread, so TLS connections are
  // closed without a response.
  if (options_.tls.enabled()) return;
  BoundedStream stream({.fd = fd, .write_timeout = kLingerTimeout});
  WriteRefusal({503, Reason::kConnectionLimit, "too many connections"},
               &stream);
  CloseWithLinger(fd);
}

std::size_t BoundedHttpServer::WaitForConnections(absl::Duration timeout) {
  std::unique_lock<std::mutex> lock(mutex_);
  closed_.wait_for(lock, absl::ToChronoMilliseconds(timeout),
                   [this] { return open_.empty(); });
  return open_.size();
}

std::size_t BoundedHttpServer::AbortConnections() {
  std::lock_guard<std::mutex> lock(mutex_);
  aborted_ = true;
  for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
  return open_.size();
}

std::size_t BoundedHttpServer::connections() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return open_.size();
}

}  // namespace wisteriareel
