#ifndef WISTERIAREEL_SRC_REQUEST_BILLING_H_
#define WISTERIAREEL_SRC_REQUEST_BILLING_H_

#include <cstdint>
#include <optional>

#include "src/request/chat_codec.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/request_handler.h"
#include "wisteriareel/types.h"
#include "wisteriareel/verdict.h"

namespace wisteriareel {

// What an ended request's price depends on.
struct EndedRequest {
  CallKind kind = CallKind::kChat;
  bool streamed = false;
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  // The whole answer arrived from the target, with this status.
  bool whole = false;
  int status = 0;
  // The engine's own count, if it arrived.
  std::optional<ChatUsage> usage;
  // Events of a stream that the caller has.
  std::uint64_t output_events = 0;
  Tokens max_prompt_tokens;
  // What was reserved; no request costs more.
  Tokens worst_case;
};

// Returns the price of the request. A whole answer costs what the engine
// counted; a broken one only the events that its caller has, and the prompt
// too if it was the caller who left.
Tokens PriceOf(const EndedRequest& request);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_BILLING_H_
