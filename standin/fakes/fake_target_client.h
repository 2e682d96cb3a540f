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

// What goes wrong with one attempt.
enum class AttemptFault : std::uint8_t {
  kNone,
  kUnreachable,        // No connection; the target saw nothing.
  kRefusedUnexecuted,  // The target answered 503 and ran nothing.
  kLostCall,           // The call was lost on the way, unknown to the sender.
  kLostAnswer,         // The target ran the call; no answer arrived.
  kCut,                // The connection broke in the middle of the answer.
  kCutBeforeEnd,       // All parts arrived, but not the answer's end.
  kSilent,             // The connection went silent within the answer.
  kGap,                // A part was lost in the middle of the answer.
  kDuplicates,         // Each part arrived twice.
  kLateParts,          // As kCut; the rest arrives after the attempt's end.
  kServerError,        // The target ran the call and answered 500.
  kRestarted,          // The target has forgotten its earlier runs.
  kIgnoresOffset,      // A resumption begins the stream anew.
};
inline constexpr int kAttemptFaultCount = 14;

struct FakeTargetOptions {
  // Parts of an answer: events of a stream, pieces of a plain body.
  int parts = 8;
  std::int64_t prompt_tokens = 10;
  // Time on the clock from one part to the next.
  absl::Duration part_interval = absl::Milliseconds(20);
};

// Targets that answer calls in process, with a scripted fault per attempt.
// Plain calls count what they executed; the answer's bytes depend on the
// request, so that a foreign or short answer shows. Thread-safe.
class FakeTargetClient final : public TargetClient {
 public:
  using Hook = std::function<void(const TargetCall&)>;

  FakeTargetClient(const FakeTargetOptions& options, SteppingClock* clock)
      : options_(options), clock_(clock) {}

  // The faults of the next attempts; further ones have none.
  void Script(std::vector<AttemptFault> faults);
  // Called at the begin of each Send, before the target sees the call, and
  // at its end, when the target has ended its work. Outside of locks.
  void OnSend(Hook hook);
  void OnSent(Hook hook);

  TargetOutcome Send(const TargetCall& call, ResponseSink* sink,
                     const std::atomic<bool>& cancelled) override;
  void Cancel(const TargetCall& call) override;

  // Returns how often the work named by `key` was executed.
  int Executions(const IdempotencyKey& key) const;
  // Returns how often the work of `request` was executed.
  int Executions(const RequestId& request) const;
  int sends() const;
  int cancels() const;

  // Returns the whole answer's body to `request`, without the end marker.
  std::string Answer(const RequestId& request, bool streamed) const;

 private:
  // A sink that is called once more after its attempt has ended.
  struct LateParts {
    ResponseSink* sink = nullptr;
    TargetCall call;
  };

  void RunHook(Hook FakeTargetClient::*member, const TargetCall& call);
  AttemptFault NextFault();
  void Execute(const TargetCall& call);
  bool Knows(const TargetCall& call) const;
  void DeliverLateParts(const RequestId& request);
  TargetOutcome SendFaulty(const TargetCall& call, AttemptFault fault,
                           ResponseSink* sink);
  TargetOutcome SendParts(const TargetCall& call, AttemptFault fault,
                          ResponseSink* sink);
  bool SendPart(const TargetCall& call, int index, ResponseSink* sink,
                int skipped = 0) const;
  std::string Part(const RequestId& request, bool streamed, int index) const;
  std::uint64_t PositionOf(const TargetCall& call, int index) const;
  int PartCount(bool streamed) const;

  const FakeTargetOptions options_;
  SteppingClock* const clock_;

  mutable std::mutex mutex_;
  std::deque<AttemptFault> script_;
  Hook send_hook_;
  Hook sent_hook_;
  std::map<RequestId, TargetId> runs_;
  std::map<IdempotencyKey, int> by_key_;
  std::map<RequestId, int> by_request_;
  std::vector<LateParts> late_;
  int sends_ = 0;
  int cancels_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_FAKE_TARGET_CLIENT_H_
