#ifndef WISTERIAREEL_SRC_REQUEST_CHAT_CODEC_H_
#define WISTERIAREEL_SRC_REQUEST_CHAT_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Body of a chat call as sent to an engine.
struct ChatBody {
  std::string bytes;
  // Choices generated for one prompt; each may reach the output limit.
  std::uint32_t choices = 1;
  // Whether a second run of the same body gives the same response: its
  // temperature is zero or it has a seed.
  bool deterministic = false;
  // Whether the caller asked for the usage event of a stream.
  bool wants_usage = false;
};

// Token counts reported by an engine.
struct ChatUsage {
  Tokens prompt;
  Tokens output;

  friend bool operator==(const ChatUsage&, const ChatUsage&) = default;
};

// Returns `body` with the output limit set and, for a stream, the usage event
// requested. Returns nullopt with kMalformed if it is not a JSON object.
std::optional<ChatBody> PrepareChatBody(std::string_view body,
                                        std::uint32_t output_limit,
                                        bool streamed, LastReason* reason);

// Returns the usage in a complete response or in one event of a stream.
std::optional<ChatUsage> FindChatUsage(std::string_view bytes);

// Returns whether the event carries usage and no piece of the response text.
bool IsUsageOnlyEvent(std::string_view event);

// Returns a hash of the response text in the event. Fields that differ between
// two runs of the same call are excluded.
std::uint64_t ChatEventTextHash(std::string_view event);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_CHAT_CODEC_H_
