#ifndef WISTERIAREEL_SRC_REQUEST_CHAT_CODEC_H_
#define WISTERIAREEL_SRC_REQUEST_CHAT_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A chat call's body as it goes to an engine.
struct ChatBody {
  std::string bytes;
  // Answers generated for one prompt; each may be as long as the limit.
  std::uint32_t choices = 1;
  // True if the same body gives the same answer again: temperature zero or a
  // seed.
  bool deterministic = false;
  // True if the caller itself asked for the usage event of a stream.
  bool wants_usage = false;
};

// Token counts reported by an engine.
struct ChatUsage {
  Tokens prompt;
  Tokens output;

  friend bool operator==(const ChatUsage&, const ChatUsage&) = default;
};

// Returns `body` with the output limit set and, for a stream, the usage event
// asked for. Returns nullopt with kMalformed if it isn't a JSON object.
std::optional<ChatBody> PrepareChatBody(std::string_view body,
                                        std::uint32_t output_limit,
                                        bool streamed, LastReason* reason);

// Returns the usage that a whole answer or one event of a stream carries.
std::optional<ChatUsage> FindChatUsage(std::string_view bytes);

// Returns true if the event carries usage and no part of the answer.
bool IsUsageOnlyEvent(std::string_view event);

// Returns a hash of the answer text in the event, without the fields that
// differ between two runs of the same call.
std::uint64_t ChatEventTextHash(std::string_view event);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_CHAT_CODEC_H_
