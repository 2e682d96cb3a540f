#include "src/runtime/async_http_server.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "boost/asio/write.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/http/parser.hpp"
#include "boost/beast/http/read.hpp"
#include "boost/beast/http/string_body.hpp"
#include "src/forward/connection_shares.h"
#include "src/runtime/socket_options.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Socket = asio::ip::tcp::socket;

constexpr int kBacklog = 512;
// A connection without a request for this long is closed.
constexpr absl::Duration kIdleTimeout = absl::Seconds(20);
constexpr absl::Duration kPeerTimeout = absl::Seconds(3);
constexpr absl::Duration kAcceptRetryDelay = absl::Milliseconds(20);
// The requests have no body.
constexpr std::uint64_t kMaxBodyBytes = 1 << 10;
constexpr std::uint32_t kMaxHeadBytes = 8 << 10;
constexpr std::size_t kMaxUnparsedBytes = 16 << 10;

}  // namespace

bool OpenListener(const Endpoint& endpoint, asio::ip::tcp::acceptor* acceptor,
                  LastReason* reason) {
  error_code ec;
  const asio::ip::tcp::endpoint address = ToAsioEndpoint(endpoint);
  acceptor->open(address.protocol(), ec);
  if (!ec) acceptor->set_option(asio::socket_base::reuse_address(true), ec);
  // Connections inherit the sizes. The kernel doubles what it is asked for.
  if (!ec) {
    acceptor->set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes / 2), ec);
  }
  if (!ec) {
    acceptor->set_option(
        asio::socket_base::send_buffer_size(kSendBufferBytes / 2), ec);
  }
  if (!ec) acceptor->bind(address, ec);
  if (!ec) acceptor->listen(kBacklog, ec);
  if (!ec) return true;
  reason->Set(Reason::kUnavailable,
              absl::StrCat("can't listen on ", endpoint.host, ":",
                           endpoint.port, ": ", ec.message()));
  return false;
}

struct AsyncHttpServer::Shared {
  Shared(Handler handler, const ConnectionLimiterOptions& limits)
      : handler(std::move(handler)), limiter(limits) {}

  const Handler handler;
  ConnectionLimiter limiter;
};

class AsyncHttpServer::Session : public std::enable_shared_from_this<Session>,
                                 private LimitedConnection {
 public:
  Session(Socket socket, std::shared_ptr<Shared> shared)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        shared_(std::move(shared)) {
    EnablePeerTimeout(&socket_, kPeerTimeout);
    shared_->limiter.Add(this, Now());
  }
  ~Session() override { shared_->limiter.Remove(this); }

  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Read() {
    parser_.emplace();
    parser_->header_limit(kMaxHeadBytes);
    parser_->body_limit(kMaxBodyBytes);
    ArmTimer();
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, std::size_t n) {
                       self->timer_.cancel();
                       if (!ec) self->Respond(n);
                     });
  }

 private:
  static std::string Text(boost::string_view text) {
    return std::string(text.data(), text.size());
  }
  static absl::Time Now() { return SystemClock()->Now(); }

  // Closes the connection if its peer neither sends a request nor takes the
  // response.
  void ArmTimer() {
    timer_.expires_after(absl::ToChronoMilliseconds(kIdleTimeout));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->Close();
    });
  }

  void Close() {
    error_code ignored;
    socket_.close(ignored);
  }

  void GiveUp() override {
    shared_->limiter.Remove(this);
    ResetOnClose(&socket_);
    Close();
  }

  void Respond(std::size_t received) {
    const auto& request = parser_->get();
    const bool keep_alive = request.keep_alive();
    const HttpResponse reply = shared_->handler(
        Text(request.method_string()), Text(request.target()), request.body());
    response_ = absl::StrCat("HTTP/1.1 ", reply.status, " ",
                             reply.status == 200 ? "OK" : "Unavailable",
                             "\r\nContent-Length: ", reply.body.size(),
                             keep_alive ? "" : "\r\nConnection: close",
                             "\r\n\r\n", reply.body);
    ArmTimer();
    asio::async_write(
        socket_, asio::buffer(response_),
        [self = shared_from_this(), keep_alive](error_code ec, std::size_t n) {
          self->timer_.cancel();
          if (ec || !keep_alive) return;
          self->OnWritten(n);
          self->Read();
        });
    shared_->limiter.Update(
        this,
        {.phase = ConnectionPhase::kWriting,
         .bytes = response_.capacity() + unacknowledged_bytes_},
        received, Now());
    shared_->limiter.GiveUpExcess(Now());
  }

  void OnWritten(std::size_t n) {
    response_ = std::string();
    unacknowledged_bytes_ =
        static_cast<std::size_t>(CountUnacknowledgedBytes(socket_));
    shared_->limiter.Update(
        this, {.phase = ConnectionPhase::kIdle, .bytes = unacknowledged_bytes_},
        n, Now());
  }

  Socket socket_;
  asio::steady_timer timer_;
  const std::shared_ptr<Shared> shared_;
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string response_;
  std::size_t unacknowledged_bytes_ = 0;
};

AsyncHttpServer::AsyncHttpServer(asio::io_context* io, Handler handler,
                                 const ConnectionLimiterOptions& limits)
    : io_(io),
      shared_(std::make_shared<Shared>(std::move(handler), limits)),
      acceptor_(*io),
      accept_timer_(*io) {}

AsyncHttpServer::~AsyncHttpServer() = default;

bool AsyncHttpServer::Listen(const Endpoint& endpoint, LastReason* reason) {
  if (!OpenListener(endpoint, &acceptor_, reason)) return false;
  Accept();
  return true;
}

void AsyncHttpServer::Accept() {
  acceptor_.async_accept([this](error_code ec, Socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {
      // Typically out of file descriptors: retry after open ones were closed.
      accept_timer_.expires_after(
          absl::ToChronoMilliseconds(kAcceptRetryDelay));
      accept_timer_.async_wait([this](error_code wait_ec) {
        if (!wait_ec) Accept();
      });
      return;
    }
    std::make_shared<Session>(std::move(socket), shared_)->Read();
    shared_->limiter.GiveUpExcess(SystemClock()->Now());
    Accept();
  });
}

}  // namespace wisteriareel
