#ifndef WISTERIAREEL_TARGET_CLIENT_H_
#define WISTERIAREEL_TARGET_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"
#include "wisteriareel/verdict.h"

namespace wisteriareel {

// One attempt to run a request at one target.
struct TargetCall {
  RequestId request;
  // Forwarded if the caller sent one, for targets that check it.
  IdempotencyKey idempotency_key;
  int attempt = 1;
  TargetId target;
  Endpoint endpoint;
  std::string method = "POST";
  std::string path;
  std::string content_type = "application/json";
  std::string body;
  Priority priority = Priority::kNormal;
  // Number of events after which to resume a stream; zero starts a new run.
  std::uint64_t resume_offset = 0;
  bool streamed = false;
  // Requires a new connection. A reused idle connection may have been closed
  // unnoticed, which makes it unknown whether the request ran.
  bool fresh_connection = false;
  absl::Duration connect_timeout;
  // Maximum time without data before the attempt is aborted.
  absl::Duration progress_timeout;
  // Maximum time until the first byte of the response body; zero selects
  // progress_timeout.
  absl::Duration first_byte_timeout;
  absl::Time deadline = absl::InfiniteFuture();
};

// Receives a response while it arrives. Called on the thread that called
// TargetClient::Send.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  // Receives the status and content type, once, before any body.
  virtual void OnHead(int status, std::string_view content_type) = 0;

  // Receives body bytes in order. If the response to a streamed call has status
  // 200 and type text/event-stream, `bytes` is exactly one complete server-sent
  // event, including the blank line that ends it, and `position` is its
  // zero-based index in the complete response (a resumed stream continues at
  // the resume offset). The end marker is not passed on. Otherwise `bytes` is
  // any piece of the body and `position` the offset of its first byte. Returns
  // false to abort the attempt.
  virtual bool OnData(std::uint64_t position, std::string_view bytes) = 0;
};

// Outcome of an attempt.
struct TargetOutcome {
  // kRan if the complete response arrived. kNotRun if the target provably never
  // received the complete call, or reported that it refused it unexecuted.
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kNone;
  int status = 0;
  // Whether the end of the response was seen, by content length or end marker.
  bool complete = false;
  // Complete events passed to the sink, or bytes for a call without streaming.
  std::uint64_t delivered = 0;
};

// Sends calls to targets. Thread-safe.
class TargetClient {
 public:
  virtual ~TargetClient() = default;

  // Makes one attempt and blocks until it ends. Polls `cancelled`; once it is
  // true, aborts the attempt and cancels it at the target if the target
  // supports this.
  virtual TargetOutcome Send(const TargetCall& call, ResponseSink* sink,
                             const std::atomic<bool>& cancelled) = 0;

  // Asks the target to stop processing the call. Best effort.
  virtual void Cancel(const TargetCall& call) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TARGET_CLIENT_H_
