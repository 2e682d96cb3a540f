#include "src/runtime/async_http_client.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/write.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/core/read_size.hpp"
#include "src/message/response_parser.h"
#include "src/runtime/socket_options.h"

namespace wisteriareel {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Socket = asio::ip::tcp::socket;

constexpr std::size_t kMaxIdleConnections = 4;
// Maximum number of received bytes that the parser has not consumed, such as a
// chunk extension without an end.
constexpr std::size_t kMaxUnparsedBytes = 128 << 10;
constexpr std::size_t kMaxReadBytes = 64 << 10;
// Maximum number of interim responses (1xx) before the final one.
constexpr int kMaxInterimResponses = 16;
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
          std::shared_ptr<Idle> idle, const Request& request, Done done)
      : io_(io),
        endpoint_(endpoint),
        idle_(std::move(idle)),
        done_(std::move(done)),
        timer_(*io),
        response_field_(request.response_field),
        parser_options_({.max_body_bytes = request.max_response_bytes}) {
    parser_.emplace(parser_options_);
  }

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
    const std::size_t size = boost::beast::read_size(buffer_, kMaxReadBytes);
    if (size == 0) {
      Finish(std::nullopt);
      return;
    }
    socket_->async_read_some(
        buffer_.prepare(size),
        [self = shared_from_this()](error_code ec, std::size_t n) {
          if (self->done_ == nullptr) return;
          self->buffer_.commit(n);
          self->OnRead(ec);
        });
  }

  void OnRead(const error_code& ec) {
    Parse();
    if (ec == asio::error::eof) {
      parser_->PutEnd();
    } else if (ec) {
      parser_->PutFailure();
    }
    if (parser_->is_malformed()) {
      Finish(std::nullopt);
    } else if (parser_->is_complete()) {
      Succeed();
    } else {
      ArmTimer();
      Read();
    }
  }

  // Parses what was read, up to the end of the final response.
  void Parse() {
    for (;;) {
      const asio::const_buffer bytes = buffer_.cdata();
      buffer_.consume(
          parser_->Put({static_cast<const char*>(bytes.data()), bytes.size()}));
      if (!parser_->is_complete() || !parser_->is_interim()) return;
      parser_.emplace(parser_options_);
      if (++interim_responses_ > kMaxInterimResponses) {
        parser_->PutFailure();
        return;
      }
    }
  }

  void Succeed() {
    HttpResponse response{
        .status = static_cast<int>(parser_->head().result_int()),
        .body = parser_->TakeBody()};
    if (!response_field_.empty()) {
      const auto it = parser_->head().find(response_field_);
      if (it != parser_->head().end()) {
        response.field.emplace(it->value().data(), it->value().size());
      }
    }
    const bool reuse = parser_->keeps_connection() && buffer_.size() == 0 &&
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
  const std::string response_field_;
  const ResponseParser::Options parser_options_;
  std::optional<ResponseParser> parser_;
  int interim_responses_ = 0;
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
  const auto session = std::make_shared<Session>(io_, endpoint_, idle_, request,
                                                 std::move(done));
  ++idle_->in_progress;
  session->Start(request);
}

bool AsyncHttpClient::HasRequestInProgress() const {
  return idle_->in_progress > 0;
}

}  // namespace wisteriareel
