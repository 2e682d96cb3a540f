#include "src/runtime/caller_connection.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "boost/asio/buffer.hpp"
#include "boost/asio/write.hpp"
#include "src/runtime/socket_options.h"

namespace wisteriareel {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 16 << 10;
// Bytes that a caller may send ahead of the answer to its last request.
constexpr std::size_t kMaxAhead = 64 << 10;
// Reading from the target stops while the caller has this much to read.
constexpr std::size_t kMaxOutgoing = 256 << 10;
// A caller that acknowledges nothing for this long is taken as gone.
constexpr absl::Duration kSilence = absl::Seconds(4);
// Other instances have room at once.
constexpr absl::Duration kShedRetryAfter = absl::Milliseconds(20);
// Idle connections are kept a little longer than operators promise.
constexpr absl::Duration kIdleMargin = absl::Seconds(1);

// Returns false if the message's length is told in a way that another
// receiver could read differently.
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

}  // namespace

CallerConnection::CallerConnection(const CallerServices& services,
                                   asio::ip::tcp::socket socket)
    : services_(services), socket_(std::move(socket)), timer_(*services.io) {}

CallerConnection::~CallerConnection() = default;

void CallerConnection::Start() {
  WatchPeer(&socket_, kSilence);
  NewParser();
  Read();
}

void CallerConnection::NewParser() {
  CallerLimits limits;
  if (services_.router->table() != nullptr) {
    limits = services_.router->table()->config().limits;
  }
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(limits.max_header_bytes);
  parser_->body_limit(limits.max_body_bytes);
  reading_request_ = false;
  ArmIdleTimer(limits.idle_timeout + kIdleMargin);
}

void CallerConnection::Read() {
  if (reading_ || closed_ || buffer_.size() > kMaxAhead) return;
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](error_code ec, std::size_t n) {
        self->reading_ = false;
        if (!self->closed_) self->OnRead(ec, n);
      });
}

void CallerConnection::OnRead(const error_code& ec, std::size_t n) {
  if (ec) {
    Close();
    return;
  }
  buffer_.commit(n);
  services_.overload->RecordTraffic(n, 0, services_.clock->Now());
  if (exchange_ == nullptr && !last_request_) Parse();
  Read();
}

void CallerConnection::Parse() {
  while (buffer_.size() > 0 && exchange_ == nullptr && !closed_ &&
         !last_request_) {
    if (!reading_request_) {
      reading_request_ = true;
      ArmIdleTimer(
          services_.router->table() == nullptr
              ? CallerLimits().header_timeout
              : services_.router->table()->config().limits.header_timeout);
    }
    error_code ec;
    const std::size_t used = parser_->put(buffer_.data(), ec);
    buffer_.consume(used);
    if (parser_->is_header_done() && !FramingIsSafe(parser_->get().base())) {
      Reject(400, Reason::kMalformed);
      return;
    }
    if (ec == http::error::need_more) {
      // Progress of a long body counts as being in time.
      if (parser_->is_header_done()) {
        ArmIdleTimer(CallerLimits().header_timeout);
      }
      return;
    }
    if (ec) {
      RejectParse(ec);
      return;
    }
    if (parser_->is_done()) {
      HandleRequest();
    } else if (used == 0) {
      return;
    }
  }
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
  last_request_ = true;
  request_id_ = RequestId();
  services_.exchange.counters->Refused(reason);
  services_.exchange.log->Write(EventId::kRequestRefused, Severity::kInfo,
                                "request can't be read",
                                {{"status", absl::StrCat(status)},
                                 {"reason", std::string(ReasonName(reason))}});
  Refuse({.status = status, .reason = reason});
  EndRequest();
}

void CallerConnection::HandleRequest() {
  auto message = parser_->release();
  parser_.reset();
  last_request_ = !message.keep_alive();
  head_only_ = message.method() == http::verb::head;
  request_body_ =
      std::make_shared<const std::string>(std::move(message.body()));
  request_head_ = std::move(message.base());
  reading_request_ = false;
  answer_head_.reset();
  head_sent_ = false;
  LastReason reason;
  const std::optional<RequestInfo> facts =
      services_.codec->DecodeRequest(request_head_, &reason);
  if (!facts.has_value()) {
    Reject(400, reason.reason());
    return;
  }
  request_id_ = facts->id;
  const absl::Time now = services_.clock->Now();
  if (Shed(now)) return;
  auto admitted = services_.router->Admit(*facts, now);
  if (const Refusal* refusal = std::get_if<Refusal>(&admitted)) {
    services_.exchange.counters->Refused(refusal->reason);
    services_.exchange.log->Write(
        EventId::kRequestRefused, Severity::kInfo, "request not admitted",
        {{"request", request_id_.value()},
         {"status", absl::StrCat(refusal->status)},
         {"reason", std::string(ReasonName(refusal->reason))}});
    Refuse(*refusal);
    EndRequest();
    return;
  }
  ++requests_;
  exchange_ = std::make_unique<Exchange>(
      std::get<ExchangeRequest>(std::move(admitted)), services_.exchange,
      static_cast<ExchangeDelegate*>(this));
  exchange_->Start(now);
  if (exchange_->waits_for_tokens()) services_.owner->OnWaitingForTokens();
  if (exchange_->done()) EndRequest();
}

bool CallerConnection::Shed(absl::Time now) {
  if (!services_.owner->TakesRequests()) {
    SendElsewhere(Reason::kDraining, "instance is about to end");
    return true;
  }
  if (services_.random->Fraction() >= services_.overload->ShedShare(now)) {
    return false;
  }
  SendElsewhere(Reason::kShedOverload, "instance is overloaded");
  return true;
}

void CallerConnection::SendElsewhere(Reason reason, std::string_view text) {
  // The next connection goes to another instance.
  last_request_ = true;
  services_.exchange.counters->Refused(reason);
  services_.exchange.log->Write(EventId::kRequestRefused, Severity::kInfo, text,
                                {{"request", request_id_.value()},
                                 {"status", "503"},
                                 {"reason", std::string(ReasonName(reason))}});
  Refuse({.status = 503, .reason = reason, .retry_after = kShedRetryAfter});
  EndRequest();
}

// The exchange has ended: the connection waits for the next request.
void CallerConnection::EndRequest() {
  exchange_.reset();
  if (link_ != nullptr) CancelAttempt();
  request_body_.reset();
  if (closed_) return;
  if (last_request_) {
    close_when_written_ = true;
    timer_.cancel();
    if (!writing_) Close();
    return;
  }
  NewParser();
  // Whoever has sent ahead is served once this call has returned.
  if (buffer_.size() > 0) {
    asio::post(*services_.io, [self = shared_from_this()] {
      if (!self->closed_ && self->exchange_ == nullptr) self->Parse();
      self->Read();
    });
  }
}

template <typename Event>
void CallerConnection::Drive(const Event& event) {
  if (exchange_ == nullptr) return;
  // The event may end with this connection closed.
  const std::shared_ptr<CallerConnection> self = shared_from_this();
  event(exchange_.get(), services_.clock->Now());
  if (exchange_ != nullptr && exchange_->done()) EndRequest();
}

void CallerConnection::OnLedgerChanged() {
  Drive([](Exchange* exchange, absl::Time now) {
    exchange->OnLedgerChanged(now);
  });
}

bool CallerConnection::WaitsFor(const CustomerId& customer) const {
  return exchange_ != nullptr && exchange_->waits_for_tokens() &&
         exchange_->request().customer == customer;
}

void CallerConnection::CloseIfIdle() {
  if (!busy() && buffer_.size() == 0 && !writing_) Close();
}

void CallerConnection::Close() {
  if (closed_) return;
  closed_ = true;
  const std::shared_ptr<CallerConnection> self = shared_from_this();
  timer_.cancel();
  error_code ec;
  socket_.close(ec);
  if (exchange_ != nullptr) {
    exchange_->OnCallerDisconnected(services_.clock->Now());
    exchange_.reset();
  }
  CancelAttempt();
  services_.owner->OnConnectionClosed(this);
}

Framing CallerConnection::ResponseFraming(std::optional<std::size_t> length) {
  if (services_.owner->Draining() ||
      services_.overload->IsLinkBusy(services_.clock->Now())) {
    last_request_ = true;
  }
  return {.length = length, .close = last_request_};
}

void CallerConnection::StartAttempt(const AttemptOptions& options) {
  const RequestHead head = services_.codec->EncodeRequest(
      request_head_, exchange_->request().info, options);
  Framing framing{.length = request_body_->size()};
  framing.no_body = request_body_->empty() &&
                    (head.method() == http::verb::get || head_only_);
  services_.overload->RecordTraffic(0, request_body_->size(),
                                    services_.clock->Now());
  link_ = std::make_shared<TargetLink>(services_.io, services_.targets,
                                       services_.codec,
                                       static_cast<TargetLinkObserver*>(this));
  link_->Start({.address = options.target.address,
                .target = options.target.id,
                .id = request_id_,
                .head = WriteHead(head, framing),
                .body = request_body_,
                .head_only = head_only_,
                .fresh_connection = options.fresh_connection});
}

void CallerConnection::QueryLoads(const std::vector<TargetEntry>& targets) {
  services_.loads->Ask(
      targets, [self = shared_from_this(), request = requests_] {
        if (self->closed_ || request != self->requests_) return;
        self->Drive(
            [](Exchange* exchange, absl::Time now) { exchange->OnLoads(now); });
      });
}

void CallerConnection::CancelAttempt() {
  if (link_ == nullptr) return;
  link_->Cancel();
  link_.reset();
}

void CallerConnection::SendHead(std::optional<std::size_t> whole_body) {
  answer_chunked_ = !whole_body.has_value();
  head_sent_ = true;
  Enqueue(WriteHead(services_.codec->EncodeResponse(*answer_head_),
                    ResponseFraming(whole_body)));
}

void CallerConnection::SendBody(std::string bytes) {
  if (bytes.empty() || head_only_) return;
  Enqueue(answer_chunked_ ? AsChunk(bytes) : std::move(bytes));
}

void CallerConnection::FinishResponse() {
  if (answer_chunked_) Enqueue(kLastChunk);
}

void CallerConnection::Refuse(const Refusal& refusal) {
  ResponseHead head = services_.codec->EncodeRefusal(refusal, request_id_);
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
  ResetOnClose(&socket_);
  // Closed once the exchange has returned.
  asio::post(*services_.io, [self = shared_from_this()] { self->Close(); });
}

void CallerConnection::SetTimer(absl::Time when) { ArmTimer(when); }

void CallerConnection::ArmTimer(absl::Time when) {
  const absl::Duration left = when - services_.clock->Now();
  timer_.expires_after(absl::ToChronoMicroseconds(
      std::clamp(left, absl::ZeroDuration(), absl::Hours(1))));
  timer_.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec && !self->closed_) self->OnTimer();
  });
}

void CallerConnection::ArmIdleTimer(absl::Duration duration) {
  ArmTimer(services_.clock->Now() + duration);
}

void CallerConnection::OnTimer() {
  if (exchange_ != nullptr) {
    Drive([](Exchange* exchange, absl::Time now) { exchange->OnTimer(now); });
    return;
  }
  if (close_when_written_) {
    Close();
    return;
  }
  if (reading_request_) {
    Reject(408, Reason::kDeadlineExceeded);
    return;
  }
  if (!writing_) Close();
}

void CallerConnection::Enqueue(std::string bytes) {
  if (closed_) return;
  outgoing_bytes_ += bytes.size();
  outgoing_.push_back(std::move(bytes));
  if (outgoing_bytes_ > kMaxOutgoing && link_ != nullptr) link_->Pause();
  if (!writing_) {
    writing_ = true;
    // What is enqueued in this turn goes out together.
    asio::post(*services_.io, [self = shared_from_this()] {
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
        self->services_.overload->RecordTraffic(0, n,
                                                self->services_.clock->Now());
        self->OnWritten(ec);
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
  if (link_ != nullptr) link_->Resume();
  if (close_when_written_ && exchange_ == nullptr) {
    // Unread bytes would turn the close into a reset that can overtake the
    // answer; half a close lets the caller read it.
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    ArmTimer(services_.clock->Now() + absl::Seconds(1));
  }
}

void CallerConnection::OnLinkConnected(absl::Duration taken) {
  services_.overload->RecordConnect(taken, services_.clock->Now());
}

void CallerConnection::OnLinkUnreachable() {
  link_.reset();
  Drive(
      [](Exchange* exchange, absl::Time now) { exchange->OnUnreachable(now); });
}

void CallerConnection::OnLinkHead(const ResponseHead& head) {
  if (!head_sent_) answer_head_ = head;
  const ResponseInfo facts = services_.codec->DecodeResponse(head);
  Drive([&facts](Exchange* exchange, absl::Time now) {
    exchange->OnHead(facts, now);
  });
}

void CallerConnection::OnLinkBody(std::string_view bytes) {
  services_.overload->RecordTraffic(bytes.size(), 0, services_.clock->Now());
  Drive([bytes](Exchange* exchange, absl::Time now) {
    exchange->OnBody(bytes, now);
  });
}

void CallerConnection::OnLinkEnd() {
  link_.reset();
  Drive([](Exchange* exchange, absl::Time now) { exchange->OnEnd(now); });
}

void CallerConnection::OnLinkBroken() {
  link_.reset();
  Drive([](Exchange* exchange, absl::Time now) { exchange->OnBroken(now); });
}

}  // namespace wisteriareel
