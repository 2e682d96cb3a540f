#ifndef WISTERIAREEL_SRC_HTTP_CHAT_CODEC_H_
#define WISTERIAREEL_SRC_HTTP_CHAT_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wisteriareel/reason.h"
#include "wisteriareel/request_handler.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Limits on the JSON body of a chat call.
inline constexpr int kMaxJsonDepth = 32;
inline constexpr std::uint32_t kMaxOutputLimit = 1'000'000;
inline constexpr std::uint32_t kMaxChoices = 128;
inline constexpr std::size_t kMaxModelNameBytes = 256;

// The fields of a chat-completions body that routing and billing need.
struct ChatCall {
  ModelName model;
  bool streamed = false;
  std::optional<std::uint32_t> output_limit;
  // Upper bound on the engine's prompt token count: each token covers at least
  // one byte.
  Tokens max_prompt_tokens;
  // Hash of the model name and the first message.
  std::uint64_t prefix_hash = 0;

  friend bool operator==(const ChatCall&, const ChatCall&) = default;
};

// Parses a chat-completions body. Returns nullopt, with kMalformed and the
// invalid field, if two parsers could interpret the body differently or its
// cost is unbounded: duplicate keys, numbers out of range, content other than
// text.
std::optional<ChatCall> ParseChatCall(std::string_view body,
                                      LastReason* reason);

// Returns the JSON error body that reports the outcome of a request.
std::string ErrorBody(const RequestId& request, const CallResult& result);

// Returns the HTTP status for a request that ended without a response.
int StatusFor(const CallResult& result);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_CHAT_CODEC_H_
