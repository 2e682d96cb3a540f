#ifndef WISTERIAREEL_SRC_REQUEST_RESPONSE_RELAY_H_
#define WISTERIAREEL_SRC_REQUEST_RESPONSE_RELAY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "src/request/chat_codec.h"
#include "src/request/claim_manager.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/request_handler.h"
#include "wisteriareel/target_client.h"

namespace wisteriareel {

// Why an attempt's answer can't be used as it is.
enum class RelayFault : std::uint8_t {
  kNone,
  kGap,           // A part is missing before one that arrived.
  kDiffers,       // A repeated run gave other text than was delivered.
  kNotResumable,  // The target answered a resumption with something else.
  kTooLarge,
  kCallerGone,
};

struct RelayOptions {
  bool chat = false;
  bool streamed = false;
  // Passes the usage event of a stream on to the caller.
  bool wants_usage = false;
  // Remembers what was delivered, so that a repeated run can be compared.
  bool compare_repeats = false;
  // Keeps a stream's bytes for later retries of the same request.
  bool keep_stream = false;
  // Bytes of a plain answer, or of a kept stream.
  std::size_t max_response_bytes = 16u << 20;
  Clock* clock = SystemClock();
  Counters* counters = DiscardCounters();
};

// Carries one request's answer from the attempts at targets to the caller, so
// that the caller gets each part once, in order, and the end only when all of
// it was seen. Plain answers are held back until they are whole; events of a
// stream are passed on as they come. Not thread-safe.
class ResponseRelay {
 public:
  ResponseRelay(const RelayOptions& options, ResponseWriter* writer);
  ~ResponseRelay();

  ResponseRelay(const ResponseRelay&) = delete;
  ResponseRelay& operator=(const ResponseRelay&) = delete;

  // Starts an attempt. The returned sink lives as long as the relay; what
  // arrives at it after the attempt has ended is dropped.
  ResponseSink* BeginAttempt();

  // Ends the attempt. Returns true if the whole answer has arrived.
  bool EndAttempt(const TargetOutcome& outcome);

  // Writes what was held back and marks the answer as whole. Returns false if
  // the caller is gone. Must follow an EndAttempt that returned true.
  bool Finish();

  RelayFault fault() const { return fault_; }
  // Status of the current attempt's answer; zero before its head.
  int status() const { return status_; }
  // Events of a stream passed on to the caller so far.
  std::uint64_t delivered() const { return next_; }
  // Returns the event from which a resumption asks for the stream again: the
  // last ones that the caller has come once more, and show whether the target
  // goes on with the same run.
  std::uint64_t ResumeOffset() const;
  // True if any part of an answer arrived during the current attempt.
  bool attempt_answered() const { return status_ != 0; }
  // Events that carry a part of the answer.
  std::uint64_t output_events() const { return output_events_; }
  const std::optional<ChatUsage>& usage() const { return usage_; }
  // Returns the whole answer for keeping; nullopt if it was too large.
  std::optional<StoredResponse> TakeKept();

  // Events that a resumption asks for again.
  static constexpr std::uint64_t kResumeOverlap = 2;

 private:
  class AttemptSink;

  void OnHead(int status, std::string_view content_type);
  bool OnData(std::uint64_t position, std::string_view bytes);
  bool OnEvent(std::uint64_t position, std::string_view event);
  bool SameAsDelivered(std::uint64_t position, std::string_view event) const;
  bool OnRepeatedEvent(std::uint64_t position, std::string_view event);
  bool OnPiece(std::uint64_t position, std::string_view bytes);
  bool PassOn(std::string_view event);
  void Remember(std::string_view event);
  bool WriteStreamHead();
  bool Fail(RelayFault fault);

  const RelayOptions options_;
  ResponseWriter* const writer_;
  std::vector<std::unique_ptr<AttemptSink>> sinks_;

  // Of the current attempt.
  RelayFault fault_ = RelayFault::kNone;
  int status_ = 0;
  std::string content_type_;
  bool is_stream_ = false;
  std::string body_;

  // Of the whole request.
  std::uint64_t next_ = 0;
  std::uint64_t output_events_ = 0;
  bool head_written_ = false;
  std::optional<ChatUsage> usage_;
  std::vector<std::uint64_t> delivered_hashes_;
  // The last events passed on, by position.
  std::array<std::string, kResumeOverlap> recent_;
  std::string kept_stream_;
  bool kept_overflowed_ = false;
  absl::Time last_event_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_RESPONSE_RELAY_H_
