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

// Facts that determine the price of a request that has ended.
struct FinishedRequest {
  CallKind kind = CallKind::kChat;
  bool streamed = false;
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  // Whether the complete response arrived from the target; `status` is its
  // status.
  bool complete = false;
  int status = 0;
  // Token counts from the engine, if they arrived.
  std::optional<ChatUsage> usage;
  // Events of a stream that were delivered to the caller.
  std::uint64_t output_events = 0;
  Tokens max_prompt_tokens;
  // Reserved tokens; upper bound of the price.
  Tokens worst_case;
};

// Returns the price of the request. A complete response costs what the engine
// counted. An incomplete one costs only the delivered events, and also the
// prompt if it is incomplete because the caller disconnected.
Tokens ComputePrice(const FinishedRequest& request);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_BILLING_H_
