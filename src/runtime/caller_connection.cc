#include "src/runtime/caller_connection.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "boost/asio/buffer.hpp"
#include "boost/asio/write.hpp"
#include "src/forward/body_deadline.h"
#include "src/forward/connection_shares.h"
#include "src/runtime/socket_options.h"
#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Reading from the caller stops while this many bytes of pipelined requests are
// buffered.
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;
// Reading from the target pauses while more than this many bytes wait to be
// written to the caller.
constexpr std::size_t kMaxOutgoingBytes = 64 << 10;
// Bytes read from a caller at once.
constexpr std::size_t kReadBytes = 16 << 10;
// A head is kept as bytes, as parsed fields, and as sent to the target.
constexpr std::size_t kHeadCopies = 3;
// Buffers of a request that was sent to a target.
constexpr std::size_t kAttemptBytes = 24 << 10;
// A timer that runs later shows that the process stood still.
constexpr absl::Duration kMaxTimerDelay = absl::Milliseconds(250);
// Longer bodies are told apart by their beginning and their size.
constexpr std::size_t kMaxDigestedBytes = 64 << 10;
// A caller that acknowledges no data for this long counts as disconnected.
constexpr absl::Duration kPeerTimeout = absl::Seconds(4);
// Time between two checks if the caller has received the last response.
constexpr absl::Duration kLingerCheck = absl::Seconds(1);
// A last response that the caller reads more slowly may be cut off.
constexpr absl::Duration kMaxLinger = absl::Seconds(30);
// Short, since other instances have capacity.
constexpr absl::Duration kShedRetryAfter = absl::Milliseconds(20);
// Idle connections stay open this much longer than the configured timeout, so
// that none is closed while a caller reuses it in time.
constexpr absl::Duration kIdleMargin = absl::Seconds(1);

// Returns false if another receiver could determine a different message length,
// which would allow request smuggling.
bool FramingIsSafe(const RequestHead& head) {
  const auto transfer = head.count(http::field::transfer_encoding);
  const auto length = head.count(http::field::content_length);
  if (length > 1 || transfer > 1) return false;
  if (transfer == 0) return true;
  const boost::string_view value = head[http::field::transfer_encoding];
  return length == 0 &&
         absl::EqualsIgnoreCase(absl::string_view(value.data(), value.size()),
                                "chunked");
}

// Returns what identifies a request that names no segments when its caller
// sends it again.
std::string DigestRequest(const RequestInfo& info, std::string_view body) {
  std::uint64_t digest = StableHash(info.host);
  digest = StableHash(info.path, digest);
  digest = StableHash(info.api_key, digest);
  digest = StableHash(body.substr(0, kMaxDigestedBytes), digest);
  return absl::StrCat(absl::Hex(digest + body.size()));
}

}  // namespace

CallerConnection::CallerConnection(
    const CallerConnectionDependencies& dependencies,
    asio::ip::tcp::socket socket)
    : dependencies_(dependencies),
      socket_(std::move(socket)),
      timer_(dependencies.io) {}

CallerConnection::~CallerConnection() = default;

void CallerConnection::Start() {
  EnablePeerTimeout(&socket_, kPeerTimeout);
  error_code ignored;
  socket_.non_blocking(true, ignored);
  dependencies_.limiter->Add(this, dependencies_.clock->Now());
  ResetParser();
  Read();
}

void CallerConnection::ResetParser() {
  CallerLimits limits;
  if (dependencies_.router->table() != nullptr) {
    limits = dependencies_.router->table()->config().limits;
  }
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(limits.max_header_bytes);
  parser_->body_limit(limits.max_body_bytes);
  reading_request_ = false;
  head_checked_ = false;
  discards_body_ = false;
  head_bytes_ = 0;
  ArmIdleTimer(limits.idle_timeout + kIdleMargin);
}

// Waits without a buffer, so that an idle connection holds none.
void CallerConnection::Read() {
  if (reading_ || closed_ || buffer_.size() > kMaxPipelinedBytes) return;
  reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](error_code ec) {
                       self->reading_ = false;
                       if (self->closed_) return;
                       if (ec) {
                         self->Close();
                         return;
                       }
                       self->OnReadable();
                     });
}

void CallerConnection::OnReadable() {
  std::array<char, kReadBytes> incoming;
  error_code ec;
  const std::size_t n = socket_.read_some(asio::buffer(incoming), ec);
  if (ec == asio::error::would_block || ec == asio::error::try_again) {
    Read();
    return;
  }
  if (ec) {
    Close();
    return;
  }
  // Unread bytes would make the close a reset.
  if (!close_when_written_) {
    buffer_.commit(
        asio::buffer_copy(buffer_.prepare(n), asio::buffer(incoming, n)));
  }
  dependencies_.overload->RecordTraffic(n, 0, dependencies_.clock->Now());
  if (exchange_ == nullptr && !last_request_) Parse();
  Read();
  ApplyLimits(close_when_written_ ? 0 : n);
}

std::size_t CallerConnection::PutToParser(error_code* ec) {
  const bool in_head = !parser_->is_header_done();
  const std::size_t n = parser_->put(buffer_.data(), *ec);
  buffer_.consume(n);
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
  if (in_head) {
    head_bytes_ += n - std::min(n, parser_->get().body().size());
    body_began_ = dependencies_.clock->Now();
  }
  return n;
}

void CallerConnection::Parse() {
  while (buffer_.size() > 0 && exchange_ == nullptr && !closed_ &&
         !last_request_) {
    if (!reading_request_) {
      reading_request_ = true;
      ArmIdleTimer(
          dependencies_.router->table() == nullptr
              ? CallerLimits().header_timeout
              : dependencies_.router->table()->config().limits.header_timeout);
    }
    error_code ec;
    const std::size_t used = PutToParser(&ec);
    if (parser_->is_header_done() && !FramingIsSafe(parser_->get().base())) {
      Reject(400, Reason::kMalformed);
      return;
    }
    if (ec && ec != http::error::need_more) {
      RejectParse(ec);
      return;
    }
    if (parser_->is_done()) {
      if (discards_body_) {
        EndDiscardedBody();
      } else {
        HandleRequest();
      }
      continue;
    }
    if (parser_->is_header_done()) {
      RefuseByHead();
      if (last_request_) return;
      const BodyProgress progress{.began = body_began_,
                                  .received = parser_->get().body().size()};
      ArmTimer(GetBodyDeadline(progress, CallerLimits().header_timeout,
                               dependencies_.clock->Now()));
    }
    if (ec || used == 0) return;
  }
}

void CallerConnection::RefuseByHead() {
  if (std::exchange(head_checked_, true)) return;
  const RequestHead& head = parser_->get().base();
  head_only_ = head.method() == http::verb::head;
  LastReason reason;
  const std::optional<RequestInfo> info =
      dependencies_.codec->DecodeRequest(head, &reason);
  if (!info.has_value()) {
    Reject(400, reason.reason());
    return;
  }
  const auto admitted =
      dependencies_.router->Admit(*info, dependencies_.clock->Now());
  const Refusal* refusal = std::get_if<Refusal>(&admitted);
  if (refusal == nullptr) return;
  request_id_ = info->id;
  last_request_ = !parser_->get().keep_alive();
  discards_body_ = true;
  parser_->get().body().Discard();
  RecordRefusal(*refusal, "request not admitted");
  Refuse(*refusal);
  if (last_request_) CloseWhenWritten();
}

void CallerConnection::EndDiscardedBody() {
  has_served_ = true;
  ResetParser();
}

void CallerConnection::RejectParse(const error_code& ec) {
  if (ec == http::error::header_limit) {
    Reject(431, Reason::kHeaderTooLarge);
  } else if (ec == http::error::body_limit) {
    Reject(413, Reason::kBodyTooLarge);
  } else {
    Reject(400, Reason::kMalformed);
  }
}

void CallerConnection::Reject(int status, Reason reason) {
  if (discards_body_) {
    // The caller has its answer.
    CloseWhenWritten();
    return;
  }
  last_request_ = true;
  request_id_ = RequestId();
  const Refusal refusal{.status = status, .reason = reason};
  RecordRefusal(refusal, "rejected the request while reading it");
  Refuse(refusal);
  EndRequest();
}

void CallerConnection::RecordRefusal(const Refusal& refusal,
                                     std::string_view text) {
  dependencies_.exchange.counters->Refused(refusal.reason);
  dependencies_.exchange.log->Write(
      EventId::kRequestRefused, Severity::kInfo, text,
      {{"request", request_id_.value()},
       {"status", absl::StrCat(refusal.status)},
       {"reason", std::string(ReasonName(refusal.reason))}});
}

void CallerConnection::HandleRequest() {
  auto message = parser_->release();
  parser_.reset();
  last_request_ = !message.keep_alive();
  head_only_ = message.method() == http::verb::head;
  request_body_ = std::make_shared<const std::string>(message.body().Take());
  request_head_ = std::move(message.base());
  reading_request_ = false;
  response_head_.reset();
  head_sent_ = false;
  LastReason reason;
  const std::optional<RequestInfo> info =
      dependencies_.codec->DecodeRequest(request_head_, &reason);
  if (!info.has_value()) {
    Reject(400, reason.reason());
    return;
  }
  request_id_ = info->id;
  if (unacknowledged_bytes_ > 0) {
    unacknowledged_bytes_ =
        static_cast<std::size_t>(CountUnacknowledgedBytes(socket_));
  }
  const absl::Time now = dependencies_.clock->Now();
  if (RefuseBeyondLimits() || ShedRequest(now)) return;
  auto admitted = dependencies_.router->Admit(*info, now);
  if (const Refusal* refusal = std::get_if<Refusal>(&admitted)) {
    RecordRefusal(*refusal, "request not admitted");
    Refuse(*refusal);
    EndRequest();
    return;
  }
  auto request = std::get<ExchangeRequest>(std::move(admitted));
  if (!dependencies_.owner->Accepts(
          {.deadline = request.Deadline(),
           .is_retryable = request.route->IsRetryable()})) {
    RefuseAndClose(Reason::kDraining,
                   "refused the request: the instance shuts down and may end "
                   "before the deadline of the request");
    return;
  }
  if (request.info.prompt_segments.empty()) {
    request.info.prompt_segments = {
        {.id = DigestRequest(request.info, *request_body_)}};
  }
  ++requests_;
  exchange_ =
      std::make_unique<Exchange>(std::move(request), dependencies_.exchange,
                                 static_cast<ExchangeDelegate*>(this));
  RecordUsage(0);
  exchange_->Start(now);
  if (exchange_->waits_for_tokens()) dependencies_.owner->OnWaitingForTokens();
  if (exchange_->done()) EndRequest();
}

bool CallerConnection::RefuseBeyondLimits() {
  const absl::Time now = dependencies_.clock->Now();
  RecordUsage(0);
  if (dependencies_.limiter->IsServedFull()) {
    RefuseAndClose(Reason::kConnectionLimit,
                   "refused the request: no descriptor is left for a target");
    return true;
  }
  while (dependencies_.limiter->ExceedsBytes(this)) {
    LimitedConnection* connection = dependencies_.limiter->FindExcess(now);
    if (connection == nullptr || connection == this) {
      RefuseAndClose(Reason::kConnectionMemoryFull,
                     "refused the request: the memory for connections is full");
      return true;
    }
    connection->GiveUp();
  }
  return false;
}

bool CallerConnection::ShedRequest(absl::Time now) {
  if (!dependencies_.owner->AcceptsRequests()) {
    RefuseAndClose(Reason::kDraining,
                   "refused the request: the instance is shutting down");
    return true;
  }
  if (dependencies_.random->Fraction() >=
      dependencies_.overload->ShedShare(now)) {
    return false;
  }
  RefuseAndClose(Reason::kShedOverload,
                 "refused the request: the instance is overloaded");
  return true;
}

void CallerConnection::RefuseAndClose(Reason reason, std::string_view text) {
  // Closing makes the caller reconnect; the balancer then picks another
  // instance.
  last_request_ = true;
  const Refusal refusal{
      .status = 503, .reason = reason, .retry_after = kShedRetryAfter};
  RecordRefusal(refusal, text);
  Refuse(refusal);
  EndRequest();
}

// Cleans up after the current request and prepares for the next one.
void CallerConnection::EndRequest() {
  exchange_.reset();
  if (attempt_ != nullptr) CancelAttempt();
  request_body_.reset();
  if (closed_) return;
  RecordUsage(0);
  has_served_ = true;
  if (last_request_) {
    CloseWhenWritten();
    return;
  }
  ResetParser();
  // A pipelined request is handled after this call has returned.
  if (buffer_.size() > 0) {
    asio::post(*dependencies_.io, [self = shared_from_this()] {
      if (!self->closed_ && self->exchange_ == nullptr) self->Parse();
      self->Read();
    });
  }
}

void CallerConnection::CloseWhenWritten() {
  last_request_ = true;
  close_when_written_ = true;
  timer_.Cancel();
  DiscardInput();
  Read();
  if (!writing_) HalfClose();
}

void CallerConnection::DiscardInput() {
  buffer_.clear();
  buffer_.shrink_to_fit();
  parser_.reset();
  reading_request_ = false;
  discards_body_ = false;
}

void CallerConnection::HalfClose() {
  // A truncated response ends with a reset only.
  if (aborted_) return;
  // Closing a socket with unread data sends a reset, which can discard the
  // response before the caller reads it. A half-close avoids that.
  half_closed_ = true;
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  const absl::Time now = dependencies_.clock->Now();
  linger_end_ = now + kMaxLinger;
  ArmTimer(now + kLingerCheck);
}

template <typename Event>
void CallerConnection::DispatchToExchange(const Event& event) {
  if (exchange_ == nullptr) return;
  // The event may close this connection; `self` keeps it alive until then.
  const std::shared_ptr<CallerConnection> self = shared_from_this();
  event(exchange_.get(), dependencies_.clock->Now());
  if (exchange_ != nullptr && exchange_->done()) EndRequest();
}

void CallerConnection::OnLedgerChanged() {
  DispatchToExchange([](Exchange* exchange, absl::Time now) {
    exchange->OnLedgerChanged(now);
  });
}

void CallerConnection::OnPromptQuarantined() {
  DispatchToExchange([](Exchange* exchange, absl::Time now) {
    exchange->OnPromptQuarantined(now);
  });
}

bool CallerConnection::IsWaitingForTokensOf(const CustomerId& customer) const {
  return exchange_ != nullptr && exchange_->waits_for_tokens() &&
         exchange_->request().customer == customer;
}

void CallerConnection::CloseIfIdle() {
  if (busy() || writing_ || close_when_written_ || closed_) return;
  if (dependencies_.owner->ClosesIdle(
          {.has_served = has_served_, .has_unread = HasUnreadBytes()})) {
    CloseWhenWritten();
  }
}

bool CallerConnection::HasOutput() const {
  if (closed_) return false;
  // The end of the stream counts as one byte.
  return writing_ || CountUnacknowledgedBytes(socket_) > (half_closed_ ? 1 : 0);
}

bool CallerConnection::HasUnreadBytes() const {
  if (closed_ || last_request_) return false;
  error_code ec;
  return buffer_.size() > 0 || socket_.available(ec) > 0;
}

void CallerConnection::EndForShutdown() {
  if (exchange_ != nullptr) {
    last_request_ = true;
    DispatchToExchange(
        [](Exchange* exchange, absl::Time now) { exchange->OnShutdown(now); });
    return;
  }
  if (discards_body_ && !last_request_) {
    CloseWhenWritten();
    return;
  }
  if (reading_request_ && !last_request_) {
    request_id_ = RequestId();
    RefuseAndClose(Reason::kDraining,
                   "refused the request while reading it: the instance ends");
    return;
  }
  CloseIfIdle();
}

void CallerConnection::Close() {
  if (closed_) return;
  closed_ = true;
  const std::shared_ptr<CallerConnection> self = shared_from_this();
  timer_.Cancel();
  dependencies_.limiter->Remove(this);
  error_code ec;
  socket_.close(ec);
  if (exchange_ != nullptr) {
    exchange_->OnCallerDisconnected(dependencies_.clock->Now());
    exchange_.reset();
  }
  CancelAttempt();
  dependencies_.owner->OnConnectionClosed(this);
}

Framing CallerConnection::ResponseFraming(std::optional<std::size_t> length) {
  if (dependencies_.owner->Draining() ||
      dependencies_.overload->IsLinkBusy(dependencies_.clock->Now())) {
    last_request_ = true;
  }
  return {.length = length, .close = last_request_};
}

void CallerConnection::StartAttempt(const AttemptOptions& options) {
  const RequestHead head = dependencies_.codec->EncodeRequest(
      request_head_, exchange_->request().info, options);
  Framing framing{.length = request_body_->size()};
  framing.no_body = request_body_->empty() &&
                    (head.method() == http::verb::get || head_only_);
  dependencies_.overload->RecordTraffic(0, request_body_->size(),
                                        dependencies_.clock->Now());
  attempt_ = std::make_shared<TargetAttempt>(
      dependencies_.io, dependencies_.target_connections, dependencies_.codec,
      static_cast<TargetAttemptObserver*>(this));
  attempt_->Start({.address = options.target.address,
                   .target = options.target.id,
                   .id = request_id_,
                   .head = WriteHead(head, framing),
                   .body = request_body_,
                   .head_only = head_only_,
                   .fresh_connection = options.fresh_connection});
}

void CallerConnection::QueryLoads(const std::vector<TargetEntry>& targets) {
  dependencies_.load_probe->QueryLoads(
      targets, [self = shared_from_this(), request = requests_] {
        if (self->closed_ || request != self->requests_) return;
        self->DispatchToExchange(
            [](Exchange* exchange, absl::Time now) { exchange->OnLoads(now); });
      });
}

void CallerConnection::CancelAttempt() {
  if (attempt_ == nullptr) return;
  attempt_->Cancel();
  attempt_.reset();
}

void CallerConnection::SendHead(std::optional<std::size_t> content_length) {
  response_chunked_ = !content_length.has_value();
  head_sent_ = true;
  Enqueue(WriteHead(dependencies_.codec->EncodeResponse(*response_head_),
                    ResponseFraming(content_length)));
}

void CallerConnection::SendBody(std::string bytes) {
  if (bytes.empty() || head_only_) return;
  Enqueue(response_chunked_ ? EncodeChunk(bytes) : std::move(bytes));
}

void CallerConnection::FinishResponse() {
  if (response_chunked_) Enqueue(kLastChunk);
}

void CallerConnection::Refuse(const Refusal& refusal) {
  ResponseHead head = dependencies_.codec->EncodeRefusal(refusal, request_id_);
  head.set(http::field::content_type, "application/json");
  std::string body =
      absl::StrCat(R"({"error":")",
                   absl::string_view(ReasonName(refusal.reason).data(),
                                     ReasonName(refusal.reason).size()),
                   R"(","verdict":")",
                   absl::string_view(VerdictName(refusal.verdict).data(),
                                     VerdictName(refusal.verdict).size()),
                   R"("})");
  Enqueue(WriteHead(head, ResponseFraming(body.size())));
  if (!head_only_) Enqueue(std::move(body));
}

void CallerConnection::AbortResponse() {
  last_request_ = true;
  aborted_ = true;
  ResetOnClose(&socket_);
  // Closes the connection after the call from the exchange has returned.
  asio::post(*dependencies_.io, [self = shared_from_this()] { self->Close(); });
}

void CallerConnection::SetTimer(absl::Time when) { ArmTimer(when); }

void CallerConnection::ArmTimer(absl::Time when) {
  timer_due_ = when;
  const absl::Duration remaining = when - dependencies_.clock->Now();
  timer_.Arm(absl::ToChronoMicroseconds(
                 std::clamp(remaining, absl::ZeroDuration(), absl::Hours(1))),
             [self = shared_from_this()] {
               if (!self->closed_) self->OnTimer();
             });
}

void CallerConnection::ArmIdleTimer(absl::Duration duration) {
  ArmTimer(dependencies_.clock->Now() + duration);
}

void CallerConnection::OnTimer() {
  if (exchange_ != nullptr) {
    DispatchToExchange(
        [](Exchange* exchange, absl::Time now) { exchange->OnTimer(now); });
    return;
  }
  if (close_when_written_) {
    const absl::Time now = dependencies_.clock->Now();
    if (HasOutput() && now < linger_end_) {
      ArmTimer(now + kLingerCheck);
    } else {
      Close();
    }
    return;
  }
  if (reading_request_) {
    const absl::Time now = dependencies_.clock->Now();
    if (now - timer_due_ > kMaxTimerDelay) {
      // This process stood still, so that bytes that arrived in time may not
      // have been read.
      ArmTimer(now + CallerLimits().header_timeout);
    } else {
      Reject(408, Reason::kDeadlineExceeded);
    }
    return;
  }
  if (writing_) return;
  if (HasUnreadBytes()) {
    ArmIdleTimer(CallerLimits().header_timeout);
  } else {
    CloseWhenWritten();
  }
}

void CallerConnection::Enqueue(std::string bytes) {
  if (closed_) return;
  outgoing_bytes_ += bytes.size();
  outgoing_.push_back(std::move(bytes));
  if (outgoing_bytes_ > kMaxOutgoingBytes && attempt_ != nullptr)
    attempt_->Pause();
  if (!writing_) {
    writing_ = true;
    // Combines all data enqueued before the next turn of the event loop.
    asio::post(*dependencies_.io, [self = shared_from_this()] {
      if (!self->closed_) self->WriteNext();
    });
  }
}

void CallerConnection::WriteNext() {
  auto batch = std::make_shared<std::string>();
  for (std::string& bytes : outgoing_) batch->append(bytes);
  outgoing_.clear();
  asio::async_write(
      socket_, asio::buffer(*batch),
      [self = shared_from_this(), batch](error_code ec, std::size_t n) {
        if (self->closed_) return;
        self->outgoing_bytes_ -= n;
        self->unacknowledged_bytes_ =
            std::min(self->unacknowledged_bytes_ + n, kSendBufferBytes);
        self->dependencies_.overload->RecordTraffic(
            0, n, self->dependencies_.clock->Now());
        self->OnWritten(ec);
        self->ApplyLimits(n);
      });
}

void CallerConnection::OnWritten(const error_code& ec) {
  if (ec) {
    Close();
    return;
  }
  if (!outgoing_.empty()) {
    WriteNext();
    return;
  }
  writing_ = false;
  if (attempt_ != nullptr) attempt_->Resume();
  if (close_when_written_ && exchange_ == nullptr) {
    HalfClose();
  }
}

ConnectionUsage CallerConnection::Usage() const {
  std::size_t bytes =
      buffer_.capacity() + outgoing_bytes_ + unacknowledged_bytes_;
  if (parser_.has_value()) bytes += parser_->get().body().memory_bytes();
  if (request_body_ != nullptr) bytes += request_body_->capacity();
  if (reading_request_ || exchange_ != nullptr) {
    bytes += kHeadCopies * head_bytes_;
  }
  if (exchange_ != nullptr) bytes += exchange_->buffered_bytes();
  if (attempt_ != nullptr) bytes += kAttemptBytes;
  ConnectionPhase phase = ConnectionPhase::kIdle;
  if (close_when_written_ || last_request_) {
    phase = ConnectionPhase::kClosing;
  }
  if (reading_request_) phase = ConnectionPhase::kReading;
  if (exchange_ != nullptr) phase = ConnectionPhase::kServing;
  if (outgoing_bytes_ > 0 && phase != ConnectionPhase::kClosing) {
    phase = ConnectionPhase::kWriting;
  }
  return {.phase = phase, .bytes = bytes, .is_served = exchange_ != nullptr};
}

void CallerConnection::RecordUsage(std::size_t progress) {
  if (closed_) return;
  dependencies_.limiter->Update(this, Usage(), progress,
                                dependencies_.clock->Now());
}

void CallerConnection::ApplyLimits(std::size_t progress) {
  RecordUsage(progress);
  dependencies_.limiter->GiveUpExcess(dependencies_.clock->Now());
}

void CallerConnection::GiveUp() {
  if (closed_) return;
  // What the caller has acknowledged isn't known until it is asked for.
  const auto unacknowledged =
      static_cast<std::size_t>(CountUnacknowledgedBytes(socket_));
  if (unacknowledged < unacknowledged_bytes_) {
    unacknowledged_bytes_ = unacknowledged;
    RecordUsage(0);
    return;
  }
  const std::shared_ptr<CallerConnection> self = shared_from_this();
  if (reading_request_ && !discards_body_ && !last_request_ &&
      outgoing_bytes_ == 0) {
    request_id_ = RequestId();
    RefuseAndClose(Reason::kConnectionMemoryFull,
                   "refused the request while reading it: the memory for "
                   "connections is full");
    RecordUsage(0);
    return;
  }
  if (HasOutput()) {
    dependencies_.exchange.log->Write(
        EventId::kConnectionGivenUp, Severity::kInfo,
        "closed a connection with a response that its caller doesn't read: the "
        "memory or the number of connections is at its limit",
        {{"request", request_id_.value()}});
    // The caller must not take a truncated response for a complete one.
    ResetOnClose(&socket_);
  }
  Close();
}

void CallerConnection::OnTargetConnected(absl::Duration taken) {
  dependencies_.overload->RecordConnect(taken, dependencies_.clock->Now());
}

void CallerConnection::OnTargetUnreachable() {
  attempt_.reset();
  DispatchToExchange(
      [](Exchange* exchange, absl::Time now) { exchange->OnUnreachable(now); });
}

void CallerConnection::OnTargetResponseHead(const ResponseHead& head) {
  if (!head_sent_) response_head_ = head;
  const ResponseInfo info = dependencies_.codec->DecodeResponse(head);
  DispatchToExchange([&info](Exchange* exchange, absl::Time now) {
    exchange->OnHead(info, now);
  });
}

void CallerConnection::OnTargetResponseBody(std::string_view bytes) {
  dependencies_.overload->RecordTraffic(bytes.size(), 0,
                                        dependencies_.clock->Now());
  DispatchToExchange([bytes](Exchange* exchange, absl::Time now) {
    exchange->OnBody(bytes, now);
  });
  ApplyLimits(0);
}

void CallerConnection::OnTargetResponseEnd() {
  attempt_.reset();
  DispatchToExchange(
      [](Exchange* exchange, absl::Time now) { exchange->OnEnd(now); });
}

void CallerConnection::OnTargetConnectionFailed(BrokenCause cause) {
  attempt_.reset();
  DispatchToExchange([cause](Exchange* exchange, absl::Time now) {
    exchange->OnBroken(cause, now);
  });
}

}  // namespace wisteriareel
