#include "src/http/sse_parser.h"

namespace wisteriareel {
namespace {

constexpr std::string_view kDoneData = "data: [DONE]";
constexpr std::string_view kDoneDataNoSpace = "data:[DONE]";

std::string_view FirstLine(std::string_view event) {
  std::string_view line = event.substr(0, event.find('\n'));
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

// Returns true if every line of the event is a comment or empty.
bool HasOnlyComments(std::string_view event) {
  while (!event.empty()) {
    const std::string_view line = FirstLine(event);
    if (!line.empty() && line.front() != ':') return false;
    event.remove_prefix(event.find('\n') + 1);
  }
  return true;
}

}  // namespace

std::size_t SseParser::FindEventEnd(std::string_view text) {
  std::size_t line_end = text.find('\n', scanned_);
  while (line_end != std::string_view::npos) {
    std::size_t next = line_end + 1;
    if (next < text.size() && text[next] == '\r') ++next;
    if (next >= text.size()) {
      // More bytes are needed to tell whether the next line is empty.
      scanned_ = line_end;
      return 0;
    }
    if (text[next] == '\n') {
      scanned_ = 0;
      return next + 1;
    }
    line_end = text.find('\n', next);
  }
  scanned_ = text.size();
  return 0;
}

bool SseParser::HandleEvent(std::string_view event, const Receiver& receiver) {
  const std::string_view line = FirstLine(event);
  if (line == kDoneData || line == kDoneDataNoSpace) {
    state_ = State::kDone;
    return true;
  }
  if (HasOnlyComments(event)) return true;
  if (receiver(event)) return true;
  state_ = State::kStopped;
  return false;
}

SseParser::State SseParser::Feed(std::string_view bytes,
                                 const Receiver& receiver) {
  if (state_ == State::kDone && !bytes.empty()) has_trailing_bytes_ = true;
  if (state_ != State::kOpen) return state_;
  buffered_.append(bytes);
  std::string_view rest = buffered_;
  while (state_ == State::kOpen) {
    const std::size_t size = FindEventEnd(rest);
    if (size == 0) break;
    if (!HandleEvent(rest.substr(0, size), receiver)) return state_;
    rest.remove_prefix(size);
  }
  if (state_ == State::kDone) {
    has_trailing_bytes_ = !rest.empty();
    rest = {};
  }
  if (rest.size() > max_event_bytes_) state_ = State::kEventTooLarge;
  buffered_.erase(0, buffered_.size() - rest.size());
  return state_;
}

}  // namespace wisteriareel
