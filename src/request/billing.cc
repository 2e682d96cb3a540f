#include "src/request/billing.h"

#include <algorithm>

namespace wisteriareel {
namespace {

constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerError = 500;

Tokens ComputeChatPrice(const FinishedRequest& request) {
  const Tokens events(static_cast<std::int64_t>(request.output_events));
  const bool disconnected = request.reason == Reason::kCallerGone;
  if (!request.complete && !disconnected) return events;
  if (request.usage) return request.usage->prompt + request.usage->output;
  if (!request.complete) return request.max_prompt_tokens + events;
  if (request.status >= kFirstErrorStatus) return Tokens();
  return request.streamed ? request.max_prompt_tokens + events
                          : request.worst_case;
}

}  // namespace

Tokens ComputePrice(const FinishedRequest& request) {
  if (request.verdict == Verdict::kNotRun) return Tokens();
  if (request.kind == CallKind::kChat) {
    return std::min(ComputeChatPrice(request), request.worst_case);
  }
  const bool served = request.complete && request.status < kFirstServerError;
  return served ? request.worst_case : Tokens();
}

}  // namespace wisteriareel
