#ifndef WISTERIAREEL_STANDIN_FAKES_FAKE_TARGET_CLIENT_H_
#define WISTERIAREEL_STANDIN_FAKES_FAKE_TARGET_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "standin/fakes/stepping_clock.h"
#include "wisteriareel/target_client.h"

namespace wisteriareel {

// Fault of one attempt.
enum class AttemptFault : std::uint8_t {
  kNone,
  kUnreachable,        // No connection; the target received nothing.
  kRefusedUnexecuted,  // The target refused the call with status 503.
  kLostCall,           // The call was lost; the sender cannot tell.
  kLostResponse,       // The target ran the call; no response arrived.
  kCut,                // The connection broke during the response.
  kCutBeforeEnd,       // All pieces arrived, but not the end marker.
  kStalled,            // The connection stalled during the response.
  kGap,                // A piece was lost during the response.
  kDuplicates,         // Each piece arrived twice.
  kLatePieces,     // As kCut; the rest arrives after the end of the attempt.
  kServerError,    // The target ran the call and returned status 500.
  kRestarted,      // The target has lost its earlier runs.
  kIgnoresOffset,  // A resumption starts the stream again.
};
inline constexpr int kAttemptFaultCount = 14;

struct FakeTargetOptions {
  // Pieces of a response: events of a stream, or pieces of a single body.
  int pieces = 8;
  std::int64_t prompt_tokens = 10;
  // Time between two pieces.
  absl::Duration piece_interval = absl::Milliseconds(20);
};

// In-process targets with a scripted fault per attempt. Counts executions per
// request and per idempotency key. The bytes of a response depend on its
// request, so that a wrong or truncated response is detected. Thread-safe.
class FakeTargetClient final : public TargetClient {
 public:
  using Hook = std::function<void(const TargetCall&)>;

  FakeTargetClient(const FakeTargetOptions& options, SteppingClock* clock)
      : options_(options), clock_(clock) {}

  // Sets the faults of the next attempts; later attempts have none.
  void ScriptFaults(std::vector<AttemptFault> faults);
  // Set hooks that Send calls without holding a lock: the first before the
  // target receives the call, the second after the target has finished.
  void SetSendHook(Hook hook);
  void SetSentHook(Hook hook);

  TargetOutcome Send(const TargetCall& call, ResponseSink* sink,
                     const std::atomic<bool>& cancelled) override;
  void Cancel(const TargetCall& call) override;

  // Returns how often the request with idempotency key `key` was executed.
  int Executions(const IdempotencyKey& key) const;
  // Returns how often `request` was executed.
  int Executions(const RequestId& request) const;
  int sends() const;
  int cancels() const;

  // Returns the complete response body for `request`, without the end marker.
  std::string ExpectedResponse(const RequestId& request, bool streamed) const;

 private:
  // A sink that receives data after the end of its attempt.
  struct LatePieces {
    ResponseSink* sink = nullptr;
    TargetCall call;
  };

  void RunHook(Hook FakeTargetClient::*member, const TargetCall& call);
  AttemptFault NextFault();
  void Execute(const TargetCall& call);
  bool KnowsRun(const TargetCall& call) const;
  void DeliverLatePieces(const RequestId& request);
  TargetOutcome SendFaulty(const TargetCall& call, AttemptFault fault,
                           ResponseSink* sink);
  TargetOutcome SendPieces(const TargetCall& call, AttemptFault fault,
                           ResponseSink* sink);
  bool SendPiece(const TargetCall& call, int index, ResponseSink* sink,
                 int skipped = 0) const;
  std::string MakePiece(const RequestId& request, bool streamed,
                        int index) const;
  std::uint64_t PositionOf(const TargetCall& call, int index) const;
  int CountPieces(bool streamed) const;

  const FakeTargetOptions options_;
  SteppingClock* const clock_;

  mutable std::mutex mutex_;
  std::deque<AttemptFault> script_;
  Hook send_hook_;
  Hook sent_hook_;
  std::map<RequestId, TargetId> runs_;
  std::map<IdempotencyKey, int> by_key_;
  std::map<RequestId, int> by_request_;
  std::vector<LatePieces> late_pieces_;
  int sends_ = 0;
  int cancels_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_FAKE_TARGET_CLIENT_H_
