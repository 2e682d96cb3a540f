#include "src/request/response_relay.h"

#include <algorithm>
#include <utility>

namespace wisteriareel {
namespace {

constexpr int kStatusOk = 200;
constexpr std::string_view kEventStream = "text/event-stream";

}  // namespace

// Passes the data of an attempt to the relay until the attempt has ended.
class ResponseRelay::AttemptSink final : public ResponseSink {
 public:
  explicit AttemptSink(ResponseRelay* relay) : relay_(relay) {}

  void Close() { relay_ = nullptr; }

  void OnHead(int status, std::string_view content_type) override {
    if (relay_ != nullptr) relay_->OnHead(status, content_type);
  }

  bool OnData(std::uint64_t position, std::string_view bytes) override {
    return relay_ != nullptr && relay_->OnData(position, bytes);
  }

 private:
  ResponseRelay* relay_;
};

ResponseRelay::ResponseRelay(const RelayOptions& options,
                             ResponseWriter* writer)
    : options_(options), writer_(writer), last_event_(options.clock->Now()) {}

ResponseRelay::~ResponseRelay() = default;

ResponseSink* ResponseRelay::BeginAttempt() {
  if (!sinks_.empty()) sinks_.back()->Close();
  fault_ = RelayFault::kNone;
  status_ = 0;
  content_type_.clear();
  is_stream_ = false;
  body_.clear();
  sinks_.push_back(std::make_unique<AttemptSink>(this));
  return sinks_.back().get();
}

bool ResponseRelay::EndAttempt(const TargetOutcome& outcome) {
  sinks_.back()->Close();
  if (fault_ != RelayFault::kNone || status_ == 0) return false;
  if (!outcome.complete) return false;
  if (is_stream_) return true;
  if (next_ > 0) return false;
  if (options_.chat) usage_ = FindChatUsage(body_);
  return true;
}

bool ResponseRelay::Finish() {
  if (is_stream_) {
    return WriteStreamHead() && writer_->Finish();
  }
  if (!writer_->WriteHead(status_, content_type_)) return false;
  return writer_->WriteData(body_) && writer_->Finish();
}

std::optional<StoredResponse> ResponseRelay::TakeStoredResponse() {
  if (stored_stream_overflowed_) return std::nullopt;
  StoredResponse response{.status = status_, .content_type = content_type_};
  response.body = is_stream_ ? stored_stream_ : body_;
  return response;
}

void ResponseRelay::OnHead(int status, std::string_view content_type) {
  status_ = status;
  content_type_ = std::string(content_type);
  is_stream_ = options_.streamed && status == kStatusOk &&
               content_type.starts_with(kEventStream);
  if (next_ > 0 && !is_stream_) Fail(RelayFault::kNotResumable);
}

bool ResponseRelay::OnData(std::uint64_t position, std::string_view bytes) {
  if (fault_ != RelayFault::kNone || status_ == 0) return false;
  return is_stream_ ? OnEvent(position, bytes) : OnBodyPiece(position, bytes);
}

bool ResponseRelay::OnEvent(std::uint64_t position, std::string_view event) {
  if (position < next_) return OnOverlappingEvent(position, event);
  if (position > next_) return Fail(RelayFault::kGap);
  if (!ForwardEvent(event)) return Fail(RelayFault::kCallerDisconnected);
  RecordEvent(event);
  ++next_;
  return true;
}

std::uint64_t ResponseRelay::ResumeOffset() const {
  // An offset of zero would start a new run.
  return next_ <= 1 ? next_ : next_ - std::min(kResumeOverlap, next_ - 1);
}

// Compares an event that was delivered before with the delivered one, as it may
// come from a different run, and drops it.
bool ResponseRelay::OnOverlappingEvent(std::uint64_t position,
                                       std::string_view event) {
  if (MatchesDelivered(position, event)) return true;
  return Fail(RelayFault::kTextDiffers);
}

// Events before the last few are compared only if compare_retries is set.
bool ResponseRelay::MatchesDelivered(std::uint64_t position,
                                     std::string_view event) const {
  if (options_.compare_retries) {
    return ChatEventTextHash(event) == delivered_hashes_[position];
  }
  if (position + kResumeOverlap < next_) return true;
  const std::string& recent = recent_[position % kResumeOverlap];
  return event == recent ||
         ChatEventTextHash(event) == ChatEventTextHash(recent);
}

bool ResponseRelay::OnBodyPiece(std::uint64_t position,
                                std::string_view bytes) {
  if (position + bytes.size() <= body_.size()) return true;
  if (position != body_.size()) return Fail(RelayFault::kGap);
  if (body_.size() + bytes.size() > options_.max_response_bytes) {
    return Fail(RelayFault::kTooLarge);
  }
  body_.append(bytes);
  return true;
}

bool ResponseRelay::ForwardEvent(std::string_view event) {
  if (options_.chat) {
    const std::optional<ChatUsage> usage = FindChatUsage(event);
    if (usage) usage_ = usage;
    if (usage && !options_.wants_usage && IsUsageOnlyEvent(event)) return true;
  }
  ++output_events_;
  if (!WriteStreamHead()) return false;
  if (!writer_->WriteData(event)) return false;
  const absl::Time now = options_.clock->Now();
  const Timing timing =
      output_events_ == 1 ? Timing::kFirstToken : Timing::kInterToken;
  options_.counters->Record(timing, now - last_event_);
  last_event_ = now;
  return true;
}

void ResponseRelay::RecordEvent(std::string_view event) {
  recent_[next_ % kResumeOverlap].assign(event);
  if (options_.compare_retries) {
    delivered_hashes_.push_back(ChatEventTextHash(event));
  }
  if (!options_.store_stream || stored_stream_overflowed_) return;
  if (stored_stream_.size() + event.size() > options_.max_response_bytes) {
    stored_stream_overflowed_ = true;
    stored_stream_ = std::string();
    return;
  }
  stored_stream_.append(event);
}

bool ResponseRelay::WriteStreamHead() {
  if (head_written_) return true;
  head_written_ = true;
  return writer_->WriteHead(kStatusOk, content_type_);
}

bool ResponseRelay::Fail(RelayFault fault) {
  fault_ = fault;
  return false;
}

}  // namespace wisteriareel
