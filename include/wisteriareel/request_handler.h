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

// A parsed and authenticated request from a caller.
struct CallerRequest {
  RequestId id;
  CallKind kind = CallKind::kChat;
  CustomerId customer;
  BudgetId budget;
  std::string method = "POST";
  std::string path;
  std::string content_type;
  std::string body;
  // Set for chat calls only.
  ModelName model;
  bool streamed = false;
  // Upper bound on the number of prompt tokens.
  Tokens max_prompt_tokens;
  // Output limit in tokens, if the caller set one.
  std::optional<std::uint32_t> output_limit;
  // Stable hash of the start of the prompt, used for prefix affinity.
  std::uint64_t prefix_hash = 0;

  IdempotencyKey idempotency_key;
  Priority priority = Priority::kNormal;
  absl::Time received;
  absl::Time deadline = absl::InfiniteFuture();
};

// Outcome of a request, reported in the error body and the access log.
struct CallResult {
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  std::string detail;
  // Delay before a retry; zero if the caller may retry at once.
  absl::Duration retry_after;
  // The request that produced the response. Differs from the request itself if
  // a stored response was sent.
  RequestId original_request;
};

// Writes a response to a caller. The head is written at most once, before any
// data. Not thread-safe; used on one thread at a time.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  // Each returns false if the caller has disconnected.
  virtual bool WriteHead(int status, std::string_view content_type) = 0;
  virtual bool WriteData(std::string_view bytes) = 0;
  // Marks the response as complete; for an event stream, writes the end
  // marker. Without this call the caller must be able to detect that the
  // response is truncated.
  virtual bool Finish() = 0;
  // Returns whether the caller has closed its connection.
  virtual bool CallerDisconnected() const = 0;
};

// Serves requests from callers. Thread-safe.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  // Blocks until the request has ended. If no head was written by then, the
  // caller of this function sends an error response built from the result.
  virtual CallResult Handle(const CallerRequest& request,
                            ResponseWriter* writer) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_REQUEST_HANDLER_H_
