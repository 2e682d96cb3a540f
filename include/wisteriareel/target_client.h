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

// One attempt at one target.
struct TargetCall {
  RequestId request;
  // Sent on when the caller gave one, for targets that look at it.
  IdempotencyKey idempotency_key;
  int attempt = 1;
  TargetId target;
  Endpoint endpoint;
  std::string method = "POST";
  std::string path;
  std::string content_type = "application/json";
  std::string body;
  Priority priority = Priority::kNormal;
  // Resume a stream after this many events; zero starts it anew.
  std::uint64_t resume_offset = 0;
  bool streamed = false;
  // A reused idle connection may be dead in silence, which leaves doubt
  // whether the request ran.
  bool fresh_connection = false;
  absl::Duration connect_timeout;
  // Longest silence on the connection before the attempt is given up.
  absl::Duration progress_timeout;
  // Longest silence before the first byte of the answer's body; zero stands
  // for progress_timeout.
  absl::Duration first_byte_timeout;
  absl::Time deadline = absl::InfiniteFuture();
};

// Receives the parts of an answer while it arrives. Called on the thread that
// called TargetClient::Send.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  // Receives the status and content type, once, before any body.
  virtual void OnHead(int status, std::string_view content_type) = 0;

  // Receives body bytes in order. For a streamed call that is answered with
  // 200 and text/event-stream: exactly one whole server-sent event, the blank
  // line that ends it included, with its position in the whole answer, from
  // zero (a resumed stream goes on at the resume offset). The end marker is
  // not handed over. Else: any piece, with the offset of its first byte in
  // the body. Returns false to give the attempt up.
  virtual bool OnData(std::uint64_t position, std::string_view bytes) = 0;
};

// How an attempt ended.
struct TargetOutcome {
  // kRan: the whole answer arrived. kNotRun: proof that the target never
  // received the whole call, or it said that it refused it unexecuted.
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kNone;
  int status = 0;
  // True if the answer's end was seen: content length or end marker.
  bool complete = false;
  // Whole events, or bytes for a plain call, handed to the sink.
  std::uint64_t delivered = 0;
};

// Sends calls to targets. Thread-safe; Send blocks until the attempt ends.
class TargetClient {
 public:
  virtual ~TargetClient() = default;

  // Makes one attempt. `cancelled` is polled; once true the attempt is given
  // up and, where the target can, cancelled there.
  virtual TargetOutcome Send(const TargetCall& call, ResponseSink* sink,
                             const std::atomic<bool>& cancelled) = 0;

  // Asks the target to stop working on `request`. Best effort.
  virtual void Cancel(const TargetCall& call) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TARGET_CLIENT_H_
