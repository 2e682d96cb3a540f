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

// Bounds on the JSON of a chat call.
inline constexpr int kMaxJsonDepth = 32;
inline constexpr std::uint32_t kMaxOutputLimit = 1'000'000;
inline constexpr std::uint32_t kMaxChoices = 128;
inline constexpr std::size_t kMaxModelNameBytes = 256;

// What routing and charging need to know of a chat-completions body.
struct ChatCall {
  ModelName model;
  bool streamed = false;
  std::optional<std::uint32_t> output_limit;
  // The engine's count can't exceed it: a token stands for at least one byte.
  Tokens max_prompt_tokens;
  // Of the model and the first message.
  std::uint64_t prefix_hash = 0;

  friend bool operator==(const ChatCall&, const ChatCall&) = default;
};

// Parses a chat-completions body. Returns nullopt, with kMalformed and the
// field at fault, for whatever two readers could understand differently or
// whose cost has no bound: a key given twice, numbers out of range, content
// that isn't text.
std::optional<ChatCall> ParseChatCall(std::string_view body,
                                      LastReason* reason);

// Returns the JSON body that tells a caller what became of a request.
std::string ErrorBody(const RequestId& request, const CallResult& result);

// Returns the HTTP status for a request that ended without an answer.
int StatusFor(const CallResult& result);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_CHAT_CODEC_H_
