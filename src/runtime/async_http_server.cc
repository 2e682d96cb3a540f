#include "src/runtime/async_http_server.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "boost/asio/write.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/http/parser.hpp"
#include "boost/beast/http/read.hpp"
#include "boost/beast/http/string_body.hpp"
#include "src/runtime/socket_options.h"

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
constexpr std::uint64_t kMaxBodyBytes = 1 << 20;

}  // namespace

bool OpenListener(const Endpoint& endpoint, asio::ip::tcp::acceptor* acceptor,
                  LastReason* reason) {
  error_code ec;
  const asio::ip::tcp::endpoint address = ToAsioEndpoint(endpoint);
  acceptor->open(address.protocol(), ec);
  if (!ec) acceptor->set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor->bind(address, ec);
  if (!ec) acceptor->listen(kBacklog, ec);
  if (!ec) return true;
  reason->Set(Reason::kUnavailable,
              absl::StrCat("can't listen on ", endpoint.host, ":",
                           endpoint.port, ": ", ec.message()));
  return false;
}

class AsyncHttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Socket socket, std::shared_ptr<const Handler> handler)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        handler_(std::move(handler)) {
    EnablePeerTimeout(&socket_, kPeerTimeout);
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    timer_.expires_after(absl::ToChronoMilliseconds(kIdleTimeout));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      error_code ignored;
      if (!ec) self->socket_.close(ignored);
    });
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       self->timer_.cancel();
                       if (!ec) self->Respond();
                     });
  }

 private:
  static std::string Text(boost::string_view text) {
    return std::string(text.data(), text.size());
  }

  void Respond() {
    const auto& request = parser_->get();
    const bool keep_alive = request.keep_alive();
    const HttpResponse reply = (*handler_)(
        Text(request.method_string()), Text(request.target()), request.body());
    response_ = absl::StrCat("HTTP/1.1 ", reply.status, " ",
                             reply.status == 200 ? "OK" : "Unavailable",
                             "\r\nContent-Length: ", reply.body.size(),
                             keep_alive ? "" : "\r\nConnection: close",
                             "\r\n\r\n", reply.body);
    asio::async_write(
        socket_, asio::buffer(response_),
        [self = shared_from_this(), keep_alive](error_code ec, std::size_t) {
          if (!ec && keep_alive) self->Read();
        });
  }

  Socket socket_;
  asio::steady_timer timer_;
  const std::shared_ptr<const Handler> handler_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string response_;
};

AsyncHttpServer::AsyncHttpServer(asio::io_context* io, Handler handler)
    : io_(io),
      handler_(std::make_shared<const Handler>(std::move(handler))),
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
    std::make_shared<Session>(std::move(socket), handler_)->Read();
    Accept();
  });
}

}  // namespace wisteriareel
