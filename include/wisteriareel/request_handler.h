#ifndef WISTERIAREEL_REQUEST_HANDLER_H_
#define WISTERIAREEL_REQUEST_HANDLER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"
#include "wisteriareel/verdict.h"

namespace wisteriareel {

enum class CallKind : std::uint8_t { kChat, kService };

// A caller's request after parsing and authentication.
struct CallerRequest {
  RequestId id;
  CallKind kind = CallKind::kChat;
  CustomerId customer;
  BudgetId budget;
  std::string method = "POST";
  std::string path;
  std::string content_type;
  std::string body;
  // For chat calls.
  ModelName model;
  bool streamed = false;
  // Upper bound of the prompt's tokens.
  Tokens max_prompt_tokens;
  // The caller's own output limit, if any.
  std::optional<std::uint32_t> output_limit;
  // Stable hash of the prompt's beginning, for prefix affinity.
  std::uint64_t prefix_hash = 0;

  IdempotencyKey idempotency_key;
  Priority priority = Priority::kNormal;
  absl::Time received;
  absl::Time deadline = absl::InfiniteFuture();
};

// How a request ended, for the error body and the access log.
struct CallResult {
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  std::string detail;
  // Zero if the caller should not wait before a retry.
  absl::Duration retry_after;
  // The request that the answer belongs to: an earlier one on a replay.
  RequestId original_request;
};

// Writes the answer to a caller. Not thread-safe; used on one thread at a
// time. A head is written at most once, before data.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  // Returns false if the caller is gone.
  virtual bool WriteHead(int status, std::string_view content_type) = 0;
  virtual bool WriteData(std::string_view bytes) = 0;
  // Marks the answer as whole; for an event stream it writes the end marker.
  // Without this call the caller must see an error or a broken answer, never
  // a short one that looks whole.
  virtual bool Finish() = 0;
  // Returns true once the caller has closed its connection.
  virtual bool CallerDisconnected() const = 0;
};

// Serves callers' requests. Thread-safe; blocks until the request has ended.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  // If no head was written when this returns, the caller is owed an error
  // answer made from the result.
  virtual CallResult Handle(const CallerRequest& request,
                            ResponseWriter* writer) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_REQUEST_HANDLER_H_
