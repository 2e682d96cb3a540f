#ifndef WISTERIAREEL_SRC_FORWARD_REQUEST_INFO_H_
#define WISTERIAREEL_SRC_FORWARD_REQUEST_INFO_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A part of a prompt that other requests may share.
struct PromptSegment {
  std::string id;
  Tokens tokens;

  friend bool operator==(const PromptSegment&, const PromptSegment&) = default;
};

// What a caller's request says of itself, apart from its bytes.
struct RequestInfo {
  // Unique to this try of the caller.
  RequestId id;
  std::string host;
  // Path and query as sent.
  std::string path;
  std::string api_key;
  // How long the caller waits; unset if it doesn't say.
  std::optional<absl::Duration> caller_timeout;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  // In prompt order; the last one is the request's own.
  std::vector<PromptSegment> prompt_segments;
  // The caller resumes a stream after this event.
  std::optional<std::int64_t> resume_after;

  // Returns the most tokens that the request can consume.
  Tokens MaxTokens() const { return prompt_tokens + max_output_tokens; }

  friend bool operator==(const RequestInfo&, const RequestInfo&) = default;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_REQUEST_INFO_H_
