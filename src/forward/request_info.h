#ifndef WISTERIAREEL_SRC_FORWARD_REQUEST_INFO_H_
#define WISTERIAREEL_SRC_FORWARD_REQUEST_INFO_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A segment of a prompt that other requests may share.
struct PromptSegment {
  std::string id;
  Tokens tokens;

  friend bool operator==(const PromptSegment&, const PromptSegment&) = default;
};

// The decoded properties of a caller's request, without its body.
struct RequestInfo {
  // Unique to this attempt of the caller; a retry has another id.
  RequestId id;
  std::string host;
  // Path and query as sent.
  std::string path;
  std::string api_key;
  // Time that the caller waits for the response; unset if unknown.
  std::optional<absl::Duration> caller_timeout;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  // In prompt order; the last segment isn't shared. A request that names none
  // has one that identifies all of it.
  std::vector<PromptSegment> prompt_segments;
  // Id of the event after which the caller resumes a stream.
  std::optional<std::int64_t> resume_after;

  // Returns the maximum number of tokens that the request can consume.
  Tokens MaxTokens() const { return prompt_tokens + max_output_tokens; }

  friend bool operator==(const RequestInfo&, const RequestInfo&) = default;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_REQUEST_INFO_H_
