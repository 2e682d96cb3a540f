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

// Why the response of an attempt cannot be forwarded.
enum class RelayFault : std::uint8_t {
  kNone,
  kGap,           // Data is missing before data that arrived.
  kTextDiffers,   // A retry or resumption differs from what was delivered.
  kNotResumable,  // The target did not respond to a resumption with a stream.
  kTooLarge,
  kCallerDisconnected,
};

struct RelayOptions {
  bool chat = false;
  bool streamed = false;
  // Forwards the usage event of a stream to the caller.
  bool wants_usage = false;
  // Records a hash of each delivered event to compare a retry with.
  bool compare_retries = false;
  // Stores the bytes of a stream for later retries of the same request.
  bool store_stream = false;
  // Maximum size of a response without streaming, and of a stored stream.
  std::size_t max_response_bytes = 16u << 20;
  Clock* clock = SystemClock();
  Counters* counters = DiscardCounters();
};

// Forwards the response to one request from the attempts at targets to the
// caller. The caller gets each piece once and in order, and the end only once
// all pieces have arrived. A response without streaming is buffered until it is
// complete; events of a stream are forwarded as they arrive. Not thread-safe.
class ResponseRelay {
 public:
  ResponseRelay(const RelayOptions& options, ResponseWriter* writer);
  ~ResponseRelay();

  ResponseRelay(const ResponseRelay&) = delete;
  ResponseRelay& operator=(const ResponseRelay&) = delete;

  // Starts an attempt. The returned sink lives as long as the relay; data that
  // arrives after the end of the attempt is dropped.
  ResponseSink* BeginAttempt();

  // Ends the attempt. Returns whether the complete response has arrived.
  bool EndAttempt(const TargetOutcome& outcome);

  // Writes the buffered response and marks it as complete. Returns false if the
  // caller has disconnected. Must follow an EndAttempt that returned true.
  bool Finish();

  RelayFault fault() const { return fault_; }
  // Response status of the current attempt; zero before its head.
  int status() const { return status_; }
  // Events of the stream processed so far, suppressed usage events included.
  std::uint64_t delivered() const { return next_; }
  // Returns the index of the first event to request when the stream is resumed.
  // The last delivered events are requested again, to verify that the target
  // continues the same run.
  std::uint64_t ResumeOffset() const;
  // Whether a response has started to arrive in the current attempt.
  bool response_started() const { return status_ != 0; }
  // Events forwarded to the caller.
  std::uint64_t output_events() const { return output_events_; }
  const std::optional<ChatUsage>& usage() const { return usage_; }
  // Returns the complete response for storage; nullopt if it is too large.
  std::optional<StoredResponse> TakeStoredResponse();

  // Delivered events that a resumption requests again.
  static constexpr std::uint64_t kResumeOverlap = 2;

 private:
  class AttemptSink;

  void OnHead(int status, std::string_view content_type);
  bool OnData(std::uint64_t position, std::string_view bytes);
  bool OnEvent(std::uint64_t position, std::string_view event);
  bool MatchesDelivered(std::uint64_t position, std::string_view event) const;
  bool OnOverlappingEvent(std::uint64_t position, std::string_view event);
  bool OnBodyPiece(std::uint64_t position, std::string_view bytes);
  bool ForwardEvent(std::string_view event);
  void RecordEvent(std::string_view event);
  bool WriteStreamHead();
  bool Fail(RelayFault fault);

  const RelayOptions options_;
  ResponseWriter* const writer_;
  std::vector<std::unique_ptr<AttemptSink>> sinks_;

  // State of the current attempt.
  RelayFault fault_ = RelayFault::kNone;
  int status_ = 0;
  std::string content_type_;
  bool is_stream_ = false;
  std::string body_;

  // State of the request, over all attempts.
  std::uint64_t next_ = 0;
  std::uint64_t output_events_ = 0;
  bool head_written_ = false;
  std::optional<ChatUsage> usage_;
  std::vector<std::uint64_t> delivered_hashes_;
  // The last processed events; event i is at i % kResumeOverlap.
  std::array<std::string, kResumeOverlap> recent_;
  std::string stored_stream_;
  bool stored_stream_overflowed_ = false;
  absl::Time last_event_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_RESPONSE_RELAY_H_
