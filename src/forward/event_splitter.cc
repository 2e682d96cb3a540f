#include "src/forward/event_splitter.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

namespace wisteriareel {
namespace {

// Returns the length of the first event in `text`, including the blank line
// that ends it, or npos if there is no complete event.
std::size_t FindEventEnd(std::string_view text) {
  const std::size_t lf = text.find("\n\n");
  const std::size_t crlf = text.find("\r\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  if (crlf < lf) return crlf + 4;
  return lf + 2;
}

std::optional<std::int64_t> ParseEventId(std::string_view event) {
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

bool IsWellFormed(const StreamEvent& event) {
  for (const absl::string_view line : absl::StrSplit(
           event.bytes, absl::ByAnyChar("\r\n"), absl::SkipEmpty())) {
    const absl::string_view name = line.substr(0, line.find(':'));
    const bool is_field =
        std::all_of(name.begin(), name.end(), [](char letter) {
          return absl::ascii_islower(static_cast<unsigned char>(letter)) ||
                 absl::ascii_isdigit(static_cast<unsigned char>(letter)) ||
                 letter == '-';
        });
    if (!is_field) return false;
  }
  return true;
}

std::vector<StreamEvent> EventSplitter::Add(std::string_view bytes) {
  pending_.append(bytes);
  std::vector<StreamEvent> events;
  std::string_view rest = pending_;
  for (std::size_t end = FindEventEnd(rest); end != std::string_view::npos;
       end = FindEventEnd(rest)) {
    const std::string_view event = rest.substr(0, end);
    events.push_back({.bytes = std::string(event), .id = ParseEventId(event)});
    rest.remove_prefix(end);
  }
  if (!events.empty()) pending_ = std::string(rest);
  count_ += std::ssize(events);
  return events;
}

}  // namespace wisteriareel
