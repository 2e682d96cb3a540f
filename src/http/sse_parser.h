#ifndef WISTERIAREEL_SRC_HTTP_SSE_PARSER_H_
#define WISTERIAREEL_SRC_HTTP_SSE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wisteriareel {

// The event that marks the end of a complete stream of server-sent events.
inline constexpr std::string_view kEndMarker = "data: [DONE]\n\n";

// Splits a stream of server-sent events into complete events, regardless of
// how its bytes are divided between calls. Lines may end in LF or CR LF.
// Comments and the end marker are not passed to the receiver. Not thread-safe.
class SseParser {
 public:
  enum class State : std::uint8_t {
    kOpen,
    // The end marker was received.
    kDone,
    // An event exceeded the size limit.
    kEventTooLarge,
    // The receiver returned false.
    kStopped,
  };

  // Receives one event, including the blank line that ends it. Returns false
  // to stop.
  using Receiver = std::function<bool(std::string_view event)>;

  // `max_event_bytes` limits the buffered bytes of an incomplete event.
  explicit SseParser(std::size_t max_event_bytes = kMaxEventBytes)
      : max_event_bytes_(max_event_bytes) {}

  // Parses the next bytes of the stream and passes completed events to
  // `receiver`. Returns the resulting state.
  State Feed(std::string_view bytes, const Receiver& receiver);

  State state() const { return state_; }

  // Returns true if bytes followed the end marker. They are discarded.
  bool has_trailing_bytes() const { return has_trailing_bytes_; }

 private:
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  // Returns the size of the first complete event in `text`, or 0 if there is
  // none. Starts the search at `scanned_`.
  std::size_t FindEventEnd(std::string_view text);
  bool HandleEvent(std::string_view event, const Receiver& receiver);

  const std::size_t max_event_bytes_;
  State state_ = State::kOpen;
  bool has_trailing_bytes_ = false;
  std::string buffered_;
  // Bytes of the incomplete event that were already searched for its end.
  std::size_t scanned_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_SSE_PARSER_H_
