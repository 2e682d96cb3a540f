#ifndef WISTERIAREEL_SRC_FORWARD_CALLER_RESPONSE_H_
#define WISTERIAREEL_SRC_FORWARD_CALLER_RESPONSE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/verdict.h"

namespace wisteriareel {

// An error response that the router itself sends to the caller.
struct Refusal {
  int status = 503;
  Reason reason = Reason::kNone;
  Verdict verdict = Verdict::kNotRun;
  std::optional<absl::Duration> retry_after;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

// Writes to the caller's connection. An implementation must not call back
// before the call to it has returned.
class CallerResponseSink {
 public:
  virtual ~CallerResponseSink() = default;

  // Sends the head of the current attempt's response to the caller.
  // `content_length` is the size of the body in bytes, or unset if the body is
  // streamed and its size is unknown.
  virtual void SendHead(std::optional<std::size_t> content_length) = 0;
  virtual void SendBody(std::string bytes) = 0;
  // Ends the response as complete.
  virtual void FinishResponse() = 0;
  // Sends the router's own error response. Nothing was sent to the caller
  // before.
  virtual void Refuse(const Refusal& refusal) = 0;
  // Closes the caller's connection, so that the caller sees an incomplete
  // response.
  virtual void AbortResponse() = 0;
};

// The response to one caller. Everything that a caller gets is sent through it,
// so that no error response can follow the head of another response, and
// nothing can follow the end. Not thread-safe.
class CallerResponse {
 public:
  enum class State : std::uint8_t {
    kNothingSent,
    kHeadSent,
    // Complete, or an error response.
    kEnded,
    kBrokenOff,
  };

  // `sink` must outlive the response.
  explicit CallerResponse(CallerResponseSink* sink) : sink_(sink) {}

  State state() const { return state_; }
  bool has_begun() const { return state_ != State::kNothingSent; }

  // Sends bytes of the body, after the head if that wasn't sent yet. Has no
  // effect after the end.
  void SendBody(std::string bytes);

  // Sends the last bytes of the body and ends the response as complete. If
  // nothing was sent before, they are the whole body, whose size is then stated
  // in the head.
  void Finish(std::string last_bytes);

  // Ends the response with `refusal` if nothing was sent, and otherwise as
  // broken off. Returns the new state.
  State Fail(const Refusal& refusal);

 private:
  CallerResponseSink* const sink_;
  State state_ = State::kNothingSent;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_CALLER_RESPONSE_H_
