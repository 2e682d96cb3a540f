#include "src/runtime/target_attempt.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/time/time.h"
#include "boost/asio/buffer.hpp"
#include "boost/asio/write.hpp"
#include "src/runtime/socket_options.h"

namespace wisteriareel {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// A running target accepts a connection within a round trip. The timeout is so
// short that a lost SYN, whose retransmission takes longer, counts as a
// failure.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(350);
// A target that acknowledges no data for this long counts as disconnected.
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(1500);
constexpr std::size_t kReadBytes = 16 << 10;
// Maximum number of received bytes that the parser has not consumed, such as a
// chunk extension without an end.
constexpr std::size_t kMaxUnparsedBytes = 128 << 10;
// Maximum number of interim responses and responses to other requests before
// the response to this one.
constexpr int kMaxUnrelatedResponses = 16;
// Time for which an idle connection may be reused if the target states no
// timeout in Keep-Alive.
constexpr absl::Duration kDefaultIdleTimeout = absl::Seconds(3);
// A connection is not reused within this time before the target closes it.
constexpr absl::Duration kIdleMargin = absl::Milliseconds(700);

// Returns how long an idle connection to the target may be reused.
absl::Duration ParseIdleTimeout(const ResponseHead& head) {
  const boost::string_view value = head[http::field::keep_alive];
  for (const absl::string_view entry :
       absl::StrSplit(absl::string_view(value.data(), value.size()), ',')) {
    const std::vector<std::string> fields =
        absl::StrSplit(absl::StripAsciiWhitespace(entry), '=');
    int seconds = 0;
    if (fields.size() == 2 && fields[0] == "timeout" &&
        absl::SimpleAtoi(fields[1], &seconds)) {
      return absl::Seconds(seconds) - kIdleMargin;
    }
  }
  return kDefaultIdleTimeout;
}

}  // namespace

TargetAttempt::TargetAttempt(asio::io_context* io,
                             TargetConnectionPool* connections,
                             const MessageCodec* codec,
                             TargetAttemptObserver* observer)
    : io_(io),
      connections_(connections),
      codec_(codec),
      observer_(observer),
      connect_timer_(*io) {}

TargetAttempt::~TargetAttempt() = default;

void TargetAttempt::Start(Request request) {
  request_ = std::move(request);
  ResetParser();
  if (!request_.fresh_connection) {
    socket_ = connections_->Acquire(request_.target);
  }
  reused_connection_ = socket_ != nullptr;
  if (reused_connection_) {
    // Start must not deliver an event from within the call.
    asio::post(*io_, [self = shared_from_this()] {
      if (self->observer_ != nullptr) self->WriteRequest();
    });
    return;
  }
  Connect();
}

void TargetAttempt::Connect() {
  socket_ = std::make_unique<asio::ip::tcp::socket>(*io_);
  connect_timer_.expires_after(absl::ToChronoMilliseconds(kConnectTimeout));
  connect_timer_.async_wait([self = shared_from_this()](error_code ec) {
    // A handler that is already queued isn't cancelled.
    if (!ec && self->connecting_) self->CloseSocket();
  });
  connecting_ = true;
  connecting_since_ = std::chrono::steady_clock::now();
  socket_->async_connect(
      ToAsioEndpoint(request_.address),
      [self = shared_from_this()](error_code ec) {
        self->connecting_ = false;
        self->connect_timer_.cancel();
        if (self->observer_ == nullptr) return;
        if (ec || !self->socket_->is_open()) {
          TargetAttemptObserver* observer =
              std::exchange(self->observer_, nullptr);
          self->CloseSocket();
          observer->OnTargetUnreachable();
          return;
        }
        EnablePeerTimeout(self->socket_.get(), kPeerTimeout);
        self->observer_->OnTargetConnected(absl::FromChrono(
            std::chrono::steady_clock::now() - self->connecting_since_));
        self->WriteRequest();
      });
}

void TargetAttempt::WriteRequest() {
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(request_.head), asio::buffer(*request_.body)};
  asio::async_write(*socket_, buffers,
                    [self = shared_from_this()](error_code ec, std::size_t) {
                      if (self->observer_ != nullptr) self->OnWritten(ec);
                    });
  ReadResponse();
}

void TargetAttempt::OnWritten(const error_code& ec) {
  // The target may have sent a complete response before the write failed, so
  // that reading goes on.
  write_state_ = ec ? WriteState::kFailed : WriteState::kDone;
  if (eof_) ParseResponse();
}

void TargetAttempt::ResetParser() {
  parser_.emplace(ResponseParser::Options{.head_only = request_.head_only});
  head_seen_ = false;
  unrelated_response_ = false;
}

void TargetAttempt::ReadResponse() {
  if (reading_ || paused_ || observer_ == nullptr) return;
  reading_ = true;
  socket_->async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](error_code ec, std::size_t n) {
        self->reading_ = false;
        if (self->observer_ != nullptr) self->OnRead(ec, n);
      });
}

void TargetAttempt::OnRead(const error_code& ec, std::size_t n) {
  buffer_.commit(n);
  if (ec == asio::error::eof) {
    eof_ = true;
  } else if (ec) {
    FailAttempt(ec == asio::error::connection_reset ||
                        ec == asio::error::broken_pipe
                    ? BrokenCause::kClosed
                    : BrokenCause::kOther);
    return;
  }
  ParseResponse();
}

// Passes the head of a response to this request to the observer. Returns false
// if the attempt has ended.
bool TargetAttempt::HandleHead() {
  head_seen_ = true;
  const ResponseHead& head = parser_->head();
  if (parser_->is_interim() || !codec_->IsResponseTo(head, request_.id)) {
    // The latter is a late response to an earlier request on this connection.
    unrelated_response_ = true;
    if (++unrelated_responses_ <= kMaxUnrelatedResponses) return true;
    FailAttempt(BrokenCause::kOther);
    return false;
  }
  if (reused_connection_ && !codec_->StatesRequestId(head)) {
    // It may be a second copy of the response to an earlier request.
    FailAttempt(BrokenCause::kOther);
    return false;
  }
  observer_->OnTargetResponseHead(head);
  return observer_ != nullptr;
}

void TargetAttempt::ParseResponse() {
  const std::shared_ptr<TargetAttempt> self = shared_from_this();
  for (;;) {
    const asio::const_buffer bytes = buffer_.cdata();
    buffer_.consume(
        parser_->Put({static_cast<const char*>(bytes.data()), bytes.size()}));
    if (eof_ && MustAwaitWrite()) return;
    if (eof_) EndResponse();
    if (parser_->is_malformed()) {
      FailAttempt(eof_ ? BrokenCause::kClosed : BrokenCause::kOther);
      return;
    }
    if (parser_->has_head() && !head_seen_ && !HandleHead()) return;
    const std::string body = parser_->TakeBody();
    if (!body.empty() && !unrelated_response_) {
      observer_->OnTargetResponseBody(body);
      if (observer_ == nullptr) return;
    }
    if (parser_->is_complete()) {
      if (!unrelated_response_) {
        CompleteAttempt();
        return;
      }
      ResetParser();
      if (buffer_.size() > 0) continue;
    }
    if (eof_ || buffer_.size() > kMaxUnparsedBytes) {
      FailAttempt(eof_ ? BrokenCause::kClosed : BrokenCause::kOther);
      return;
    }
    ReadResponse();
    return;
  }
}

bool TargetAttempt::MustAwaitWrite() const {
  return write_state_ == WriteState::kPending && parser_->has_head() &&
         !parser_->is_complete() && parser_->ends_with_connection() &&
         !unrelated_response_;
}

void TargetAttempt::EndResponse() {
  // A socket reports an error once. If the write got it, the read that follows
  // sees the end of the stream although the connection was reset.
  if (write_state_ == WriteState::kFailed) {
    parser_->PutFailure();
  } else {
    parser_->PutEnd();
  }
}

void TargetAttempt::CompleteAttempt() {
  TargetAttemptObserver* observer = std::exchange(observer_, nullptr);
  const bool reusable = parser_->keeps_connection() &&
                        write_state_ == WriteState::kDone && !eof_ &&
                        buffer_.size() == 0 && !reading_;
  const absl::Duration idle_timeout = ParseIdleTimeout(parser_->head());
  if (reusable && idle_timeout > absl::ZeroDuration()) {
    connections_->Release(request_.target, std::move(socket_), idle_timeout);
  } else {
    CloseSocket();
  }
  observer->OnTargetResponseEnd();
}

void TargetAttempt::FailAttempt(BrokenCause cause) {
  TargetAttemptObserver* observer = std::exchange(observer_, nullptr);
  CloseSocket();
  if (observer != nullptr) observer->OnTargetConnectionFailed(cause);
}

void TargetAttempt::Cancel() {
  observer_ = nullptr;
  connect_timer_.cancel();
  CloseSocket();
}

void TargetAttempt::Resume() {
  paused_ = false;
  if (socket_ != nullptr && parser_.has_value()) ReadResponse();
}

void TargetAttempt::CloseSocket() {
  if (socket_ == nullptr) return;
  error_code ec;
  socket_->close(ec);
}

}  // namespace wisteriareel
