#include "src/http/http_target_client.h"

#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "src/http/sse_parser.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

constexpr int kOkStatus = 200;
constexpr int kFirstErrorStatus = 400;
// Maximum wait for the end of the connection after a complete response.
constexpr absl::Duration kTrailingBytesTimeout = absl::Milliseconds(50);

// Receives one response and determines the outcome of the attempt.
class ResponseReader {
 public:
  ResponseReader(const TargetCall& call, ResponseSink* sink,
                 std::uint64_t max_bytes)
      : call_(call),
        sink_(sink),
        max_bytes_(max_bytes),
        idle_timeout_(call.first_byte_timeout > absl::ZeroDuration()
                          ? call.first_byte_timeout
                          : call.progress_timeout) {}

  // Maximum wait for the next bytes in the current state.
  const absl::Duration* idle_timeout() const { return &idle_timeout_; }

  bool OnHead(const httplib::Response& head) {
    const std::string echoed = head.get_header_value(kRequestIdHeader);
    // This is a late response to an earlier request on the connection.
    if (!echoed.empty() && echoed != call_.request.value()) return false;
    status_ = head.status;
    reported_not_run_ = head.get_header_value(kNotRunHeader) == "true";
    // Without either header, a lost connection can't be distinguished from the
    // end of the response.
    has_framing_ = head.has_header("Content-Length") ||
                   head.has_header("Transfer-Encoding");
    const std::string type = head.get_header_value("Content-Type");
    is_event_stream_ = call_.streamed && status_ == kOkStatus &&
                       absl::StartsWithIgnoreCase(type, "text/event-stream");
    sink_->OnHead(status_, type);
    return true;
  }

  bool OnBytes(std::string_view bytes) {
    idle_timeout_ = call_.progress_timeout;
    if (!is_event_stream_) {
      if (delivered_ + bytes.size() > max_bytes_) return false;
      const std::uint64_t position = delivered_;
      delivered_ += bytes.size();
      return sink_->OnData(position, bytes);
    }
    const auto receive = [this](std::string_view event) {
      return sink_->OnData(call_.resume_offset + delivered_++, event);
    };
    const SseParser::State state = parser_.Feed(bytes, receive);
    if (state == SseParser::State::kDone) {
      idle_timeout_ = kTrailingBytesTimeout;
      return !parser_.has_trailing_bytes();
    }
    return state == SseParser::State::kOpen;
  }

  // Returns the outcome of the attempt.
  TargetOutcome MakeOutcome(const ClientOutcome& sent) const {
    TargetOutcome outcome;
    outcome.status = status_;
    outcome.delivered = delivered_;
    outcome.complete = IsComplete(sent);
    if (sent.bytes_sent == 0 || reported_not_run_) {
      outcome.verdict = Verdict::kNotRun;
    } else if (outcome.complete) {
      outcome.verdict = Verdict::kRan;
    }
    outcome.reason = FindReason(sent, outcome);
    return outcome;
  }

 private:
  bool IsComplete(const ClientOutcome& sent) const {
    if (status_ == 0) return false;
    // A stream is complete once its end marker arrives, even if the connection
    // fails afterwards.
    if (is_event_stream_) return parser_.state() == SseParser::State::kDone;
    return sent.ok && has_framing_;
  }

  Reason FindReason(const ClientOutcome& sent,
                    const TargetOutcome& outcome) const {
    if (outcome.complete) {
      return status_ >= kFirstErrorStatus ? Reason::kTargetFailed
                                          : Reason::kNone;
    }
    if (sent.failure == StreamFailure::kCancelled) return Reason::kCancelled;
    if (parser_.state() == SseParser::State::kStopped) {
      return Reason::kCancelled;
    }
    if (sent.bytes_sent == 0) return Reason::kTargetUnreachable;
    if (sent.failure == StreamFailure::kDeadline) {
      return Reason::kDeadlineExceeded;
    }
    if (sent.failure == StreamFailure::kStalled) return Reason::kStreamStalled;
    if (reported_not_run_) return Reason::kTargetFailed;
    return status_ == 0 ? Reason::kTargetFailed : Reason::kAnswerIncomplete;
  }

  const TargetCall& call_;
  ResponseSink* const sink_;
  const std::uint64_t max_bytes_;
  absl::Duration idle_timeout_;
  SseParser parser_;
  int status_ = 0;
  bool reported_not_run_ = false;
  bool has_framing_ = false;
  bool is_event_stream_ = false;
  std::uint64_t delivered_ = 0;
};

httplib::Request MakeRequest(const TargetCall& call) {
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  if (!call.content_type.empty()) {
    request.set_header("Content-Type", call.content_type);
  }
  request.set_header(kRequestIdHeader, call.request.value());
  request.set_header(kAttemptHeader, absl::StrCat(call.attempt));
  request.set_header(kPriorityHeader,
                     absl::StrCat(static_cast<int>(call.priority)));
  if (!call.idempotency_key.empty()) {
    request.set_header(kIdempotencyKeyHeader, call.idempotency_key.value());
  }
  if (call.resume_offset > 0) {
    request.set_header(kResumeOffsetHeader, absl::StrCat(call.resume_offset));
  }
  return request;
}

}  // namespace

HttpTargetClient::HttpTargetClient(HttpTargetClientOptions options)
    : options_(std::move(options)), connections_(options_.connections) {}

TargetOutcome HttpTargetClient::Send(const TargetCall& call, ResponseSink* sink,
                                     const std::atomic<bool>& cancelled) {
  ResponseReader reader(call, sink, options_.max_response_bytes);
  httplib::Request request = MakeRequest(call);
  request.response_handler = [&](const httplib::Response& head) {
    return reader.OnHead(head);
  };
  request.content_receiver = [&](const char* bytes, std::size_t size,
                                 std::uint64_t, std::uint64_t) {
    return reader.OnBytes(std::string_view(bytes, size));
  };
  httplib::Response response;
  const ClientOutcome sent =
      connections_.Exchange(call.endpoint, call.fresh_connection,
                            {.connect_timeout = call.connect_timeout,
                             .idle_timeout = reader.idle_timeout(),
                             .deadline = call.deadline,
                             .cancelled = &cancelled},
                            &request, &response);
  const TargetOutcome outcome = reader.MakeOutcome(sent);
  if (outcome.reason == Reason::kCancelled && sent.bytes_sent > 0) {
    Cancel(call);
  }
  return outcome;
}

void HttpTargetClient::Cancel(const TargetCall& call) {
  httplib::Request request;
  request.method = "DELETE";
  request.path = absl::StrCat("/v1/requests/", call.request.value());
  httplib::Response response;
  connections_.Exchange(
      call.endpoint, /*fresh=*/true,
      {.connect_timeout = options_.cancel_timeout,
       .idle_timeout = &options_.cancel_timeout,
       .deadline = SystemClock()->Now() + options_.cancel_timeout},
      &request, &response);
}

}  // namespace wisteriareel
