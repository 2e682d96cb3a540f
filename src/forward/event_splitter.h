#ifndef WISTERIAREEL_SRC_FORWARD_EVENT_SPLITTER_H_
#define WISTERIAREEL_SRC_FORWARD_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriareel {

// One server-sent event with its blank line.
struct StreamEvent {
  std::string bytes;
  // Unset if the event has no id.
  std::optional<std::int64_t> id;

  friend bool operator==(const StreamEvent&, const StreamEvent&) = default;
};

// Cuts the bytes of an event stream into whole events. Not thread-safe.
class EventSplitter {
 public:
  // Longest event that is kept until it is whole, in bytes.
  static constexpr std::size_t kMaxEventBytes = 256 << 10;

  // Adds bytes and returns the events that are now whole.
  std::vector<StreamEvent> Add(std::string_view bytes);

  // Returns true if an event has begun and is not whole.
  bool HasPartial() const { return !pending_.empty(); }

  // Returns true if an event is longer than kMaxEventBytes.
  bool HasOversizedEvent() const { return pending_.size() > kMaxEventBytes; }

 private:
  std::string pending_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_EVENT_SPLITTER_H_
