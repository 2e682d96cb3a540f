#ifndef WISTERIAREEL_SRC_FORWARD_EVENT_SPLITTER_H_
#define WISTERIAREEL_SRC_FORWARD_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriareel {

// One server-sent event, including the blank line that ends it.
struct StreamEvent {
  std::string bytes;
  // Unset if the event has no id.
  std::optional<std::int64_t> id;

  friend bool operator==(const StreamEvent&, const StreamEvent&) = default;
};

// Returns true if each line of the event is a comment or a field, whose name
// has lower-case letters, digits and hyphens only.
bool IsWellFormed(const StreamEvent& event);

// Splits the bytes of an event stream into complete events. Not thread-safe.
class EventSplitter {
 public:
  // Maximum size of an event that is buffered until it is complete, in bytes.
  static constexpr std::size_t kMaxEventBytes = 256 << 10;

  // Appends `bytes` and returns the events that are complete now.
  std::vector<StreamEvent> Add(std::string_view bytes);

  // Returns the number of events so far.
  std::int64_t count() const { return count_; }

  // Returns true if the buffer holds the start of an incomplete event.
  bool HasPartial() const { return !pending_.empty(); }

  // Returns true if the incomplete event is longer than kMaxEventBytes.
  bool HasOversizedEvent() const { return pending_.size() > kMaxEventBytes; }

 private:
  std::string pending_;
  std::int64_t count_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_EVENT_SPLITTER_H_
