#include "src/runtime/async_http_client.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/steady_timer.hpp"
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

constexpr std::size_t kMaxIdleConnections = 4;
// Maximum number of received bytes that the parser has not consumed, such as a
// chunk extension without an end.
constexpr std::size_t kMaxUnparsedBytes = 128 << 10;
// Maximum time for a complete response, even if data keeps arriving.
constexpr absl::Duration kMaxResponseTime = absl::Seconds(20);
// An endpoint that acknowledges neither data nor keep-alive probes for this
// long counts as disconnected. Long polls stay open, since probes are
// acknowledged.
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(1500);

}  // namespace

struct AsyncHttpClient::Idle {
  std::vector<std::unique_ptr<Socket>> sockets;
  // Sessions whose callback has yet to run.
  int in_progress = 0;
  bool closed = false;
};

class AsyncHttpClient::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::io_context* io, const Endpoint& endpoint,
          std::shared_ptr<Idle> idle, Done done)
      : io_(io),
        endpoint_(endpoint),
        idle_(std::move(idle)),
        done_(std::move(done)),
        timer_(*io) {}

  void Start(const Request& request) {
    request_ = absl::StrCat(
        request.method, " ", request.target,
        " HTTP/1.1\r\nHost: ", endpoint_.host, ":", endpoint_.port,
        "\r\nContent-Length: ", request.body.size(),
        request.body.empty() ? "" : "\r\nContent-Type: application/json",
        "\r\n\r\n", request.body);
    timeout_ = request.timeout;
    deadline_ = std::chrono::steady_clock::now() +
                absl::ToChronoMilliseconds(kMaxResponseTime);
    parser_.body_limit(request.max_response_bytes);
    ArmTimer();
    if (!idle_->sockets.empty()) {
      socket_ = std::move(idle_->sockets.back());
      idle_->sockets.pop_back();
      error_code ec;
      // Discards a connection that has unread data or was closed by its peer.
      socket_->non_blocking(true, ec);
      char byte = 0;
      socket_->receive(asio::buffer(&byte, 1), Socket::message_peek, ec);
      if (ec == asio::error::would_block) {
        Write();
        return;
      }
    }
    socket_ = std::make_unique<Socket>(*io_);
    socket_->async_connect(
        ToAsioEndpoint(endpoint_), [self = shared_from_this()](error_code ec) {
          if (self->done_ == nullptr) return;
          if (ec) {
            self->Finish(std::nullopt);
            return;
          }
          EnablePeerTimeout(self->socket_.get(), kPeerTimeout);
          self->Write();
        });
  }

 private:
  void Write() {
    asio::async_write(*socket_, asio::buffer(request_),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        if (self->done_ == nullptr) return;
                        if (ec) {
                          self->Finish(std::nullopt);
                          return;
                        }
                        self->Read();
                      });
  }

  void ArmTimer() {
    timer_.expires_at(
        std::min(deadline_, std::chrono::steady_clock::now() +
                                absl::ToChronoMilliseconds(timeout_)));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      // A handler that was already queued when the timer was armed again isn't
      // cancelled.
      if (ec || self->timer_.expiry() > std::chrono::steady_clock::now()) {
        return;
      }
      self->Finish(std::nullopt);
    });
  }

  void Read() {
    http::async_read_some(
        *socket_, buffer_, parser_,
        [self = shared_from_this()](error_code ec, std::size_t) {
          if (self->done_ == nullptr) return;
          if (ec) {
            self->Finish(std::nullopt);
          } else if (self->parser_.is_done()) {
            self->Succeed();
          } else {
            self->ArmTimer();
            self->Read();
          }
        });
  }

  void Succeed() {
    HttpResponse response{
        .status = static_cast<int>(parser_.get().result_int()),
        .body = std::move(parser_.get().body())};
    const bool reuse = parser_.get().keep_alive() && buffer_.size() == 0 &&
                       !idle_->closed &&
                       idle_->sockets.size() < kMaxIdleConnections;
    if (reuse) idle_->sockets.push_back(std::move(socket_));
    Finish(std::move(response));
  }

  void Finish(std::optional<HttpResponse> response) {
    if (done_ == nullptr) return;
    const Done done = std::exchange(done_, nullptr);
    --idle_->in_progress;
    timer_.cancel();
    if (socket_ != nullptr) {
      error_code ec;
      socket_->close(ec);
    }
    if (!idle_->closed) done(std::move(response));
  }

  asio::io_context* const io_;
  const Endpoint endpoint_;
  const std::shared_ptr<Idle> idle_;
  Done done_;
  asio::steady_timer timer_;
  absl::Duration timeout_;
  std::chrono::steady_clock::time_point deadline_;
  std::unique_ptr<Socket> socket_;
  std::string request_;
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  http::response_parser<http::string_body> parser_;
};

AsyncHttpClient::AsyncHttpClient(asio::io_context* io, Endpoint endpoint)
    : io_(io),
      endpoint_(std::move(endpoint)),
      idle_(std::make_shared<Idle>()) {}

AsyncHttpClient::~AsyncHttpClient() {
  idle_->closed = true;
  idle_->sockets.clear();
}

void AsyncHttpClient::Start(const Request& request, Done done) {
  const auto session =
      std::make_shared<Session>(io_, endpoint_, idle_, std::move(done));
  ++idle_->in_progress;
  session->Start(request);
}

bool AsyncHttpClient::HasRequestInProgress() const {
  return idle_->in_progress > 0;
}

}  // namespace wisteriareel
