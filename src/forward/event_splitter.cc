#include "src/forward/event_splitter.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace wisteriareel {
namespace {

// Returns the length of the first event including its blank line, or npos.
std::size_t EventEnd(std::string_view text) {
  const std::size_t plain = text.find("\n\n");
  const std::size_t with_returns = text.find("\r\n\r\n");
  if (plain == std::string_view::npos &&
      with_returns == std::string_view::npos) {
    return std::string_view::npos;
  }
  if (with_returns < plain) return with_returns + 4;
  return plain + 2;
}

std::optional<std::int64_t> IdOf(std::string_view event) {
  std::optional<std::int64_t> id;
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with("id:")) continue;
    line.remove_prefix(3);
    std::int64_t number = 0;
    if (absl::SimpleAtoi(absl::string_view(line.data(), line.size()),
                         &number)) {
      id = number;
    }
  }
  return id;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Add(std::string_view bytes) {
  pending_.append(bytes);
  std::vector<StreamEvent> events;
  std::string_view rest = pending_;
  for (std::size_t end = EventEnd(rest); end != std::string_view::npos;
       end = EventEnd(rest)) {
    const std::string_view event = rest.substr(0, end);
    events.push_back({.bytes = std::string(event), .id = IdOf(event)});
    rest.remove_prefix(end);
  }
  if (!events.empty()) pending_ = std::string(rest);
  return events;
}

}  // namespace wisteriareel
