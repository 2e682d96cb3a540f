#ifndef WISTERIAREEL_SRC_HTTP_SSE_PARSER_H_
#define WISTERIAREEL_SRC_HTTP_SSE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wisteriareel {

// The event that ends a whole stream of server-sent events.
inline constexpr std::string_view kEndMarker = "data: [DONE]\n\n";

// Cuts a stream of server-sent events into whole events, however its bytes
// are split. Lines may end in LF or CR LF. Comments and the end marker are
// not passed on. Not thread-safe.
class SseParser {
 public:
  enum class State : std::uint8_t {
    kOpen,
    // The end marker was seen.
    kDone,
    // An event exceeds the limit.
    kEventTooLarge,
    // The receiver wants no more.
    kStopped,
  };

  // Receives one event, the blank line that ends it included. Returns false
  // to stop.
  using Receiver = std::function<bool(std::string_view event)>;

  // `max_event_bytes` bounds what is held of an unfinished event.
  explicit SseParser(std::size_t max_event_bytes = kMaxEventBytes)
      : max_event_bytes_(max_event_bytes) {}

  // Takes the next bytes of the stream and passes on the events that they
  // complete. Returns the state after it.
  State Feed(std::string_view bytes, const Receiver& receiver);

  State state() const { return state_; }

  // Returns true if bytes came after the end marker. They were dropped.
  bool has_trailing_bytes() const { return has_trailing_bytes_; }

 private:
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  // Returns the size of the first whole event in `text` from `scanned_` on,
  // or zero.
  std::size_t FindEventEnd(std::string_view text);
  bool HandleEvent(std::string_view event, const Receiver& receiver);

  const std::size_t max_event_bytes_;
  State state_ = State::kOpen;
  bool has_trailing_bytes_ = false;
  std::string buffered_;
  // Bytes of the unfinished event that are known to hold no end.
  std::size_t scanned_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_SSE_PARSER_H_
