#include "standin/fakes/fake_target_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusError = 500;
constexpr int kStatusUnavailable = 503;

TargetOutcome MakeOutcome(Verdict verdict, Reason reason, int status = 0) {
  return {.verdict = verdict, .reason = reason, .status = status};
}

bool StopsMidway(AttemptFault fault) {
  return fault == AttemptFault::kCut || fault == AttemptFault::kStalled ||
         fault == AttemptFault::kLatePieces;
}

}  // namespace

void FakeTargetClient::ScriptFaults(std::vector<AttemptFault> faults) {
  std::lock_guard<std::mutex> lock(mutex_);
  script_.assign(faults.begin(), faults.end());
}

void FakeTargetClient::SetSendHook(
    std::function<void(const TargetCall&)> hook) {
  std::lock_guard<std::mutex> lock(mutex_);
  send_hook_ = std::move(hook);
}

void FakeTargetClient::SetSentHook(
    std::function<void(const TargetCall&)> hook) {
  std::lock_guard<std::mutex> lock(mutex_);
  sent_hook_ = std::move(hook);
}

TargetOutcome FakeTargetClient::Send(const TargetCall& call, ResponseSink* sink,
                                     const std::atomic<bool>& /*cancelled*/) {
  const AttemptFault fault = NextFault();
  RunHook(&FakeTargetClient::send_hook_, call);
  DeliverLatePieces(call.request);
  const TargetOutcome outcome = SendFaulty(call, fault, sink);
  RunHook(&FakeTargetClient::sent_hook_, call);
  return outcome;
}

// Copies the hook first, since a hook may replace itself.
void FakeTargetClient::RunHook(Hook FakeTargetClient::*member,
                               const TargetCall& call) {
  Hook hook;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    hook = this->*member;
  }
  if (hook) hook(call);
}

TargetOutcome FakeTargetClient::SendFaulty(const TargetCall& call,
                                           AttemptFault fault,
                                           ResponseSink* sink) {
  switch (fault) {
    case AttemptFault::kUnreachable:
      return MakeOutcome(Verdict::kNotRun, Reason::kTargetUnreachable);
    case AttemptFault::kRefusedUnexecuted:
      sink->OnHead(kStatusUnavailable, "application/json");
      sink->OnData(0, "{}");
      return {.verdict = Verdict::kNotRun,
              .reason = Reason::kPoolSaturated,
              .status = kStatusUnavailable,
              .complete = true,
              .delivered = 2};
    case AttemptFault::kLostCall:
      clock_->Advance(call.progress_timeout);
      return MakeOutcome(Verdict::kMayHaveRun, Reason::kStreamStalled);
    default:
      break;
  }
  if (fault == AttemptFault::kRestarted) {
    std::lock_guard<std::mutex> lock(mutex_);
    runs_.erase(call.request);
  }
  if (call.resume_offset > 0 && !KnowsRun(call)) {
    return MakeOutcome(Verdict::kNotRun, Reason::kNotFound, 404);
  }
  if (call.resume_offset == 0) Execute(call);
  if (fault == AttemptFault::kLostResponse) {
    clock_->Advance(call.progress_timeout);
    return MakeOutcome(Verdict::kMayHaveRun, Reason::kStreamStalled);
  }
  if (fault == AttemptFault::kServerError) {
    sink->OnHead(kStatusError, "text/plain");
    sink->OnData(0, "failed");
    return {.verdict = Verdict::kRan,
            .status = kStatusError,
            .complete = true,
            .delivered = 6};
  }
  return SendPieces(call, fault, sink);
}

void FakeTargetClient::Cancel(const TargetCall& call) {
  std::lock_guard<std::mutex> lock(mutex_);
  runs_.erase(call.request);
  ++cancels_;
}

int FakeTargetClient::Executions(const IdempotencyKey& key) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? 0 : it->second;
}

int FakeTargetClient::Executions(const RequestId& request) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = by_request_.find(request);
  return it == by_request_.end() ? 0 : it->second;
}

int FakeTargetClient::sends() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return sends_;
}

int FakeTargetClient::cancels() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return cancels_;
}

std::string FakeTargetClient::ExpectedResponse(const RequestId& request,
                                               bool streamed) const {
  std::string response;
  for (int i = 0; i < options_.pieces; ++i) {
    response += MakePiece(request, streamed, i);
  }
  return response;
}

AttemptFault FakeTargetClient::NextFault() {
  std::lock_guard<std::mutex> lock(mutex_);
  ++sends_;
  if (script_.empty()) return AttemptFault::kNone;
  const AttemptFault fault = script_.front();
  script_.pop_front();
  return fault;
}

void FakeTargetClient::Execute(const TargetCall& call) {
  std::lock_guard<std::mutex> lock(mutex_);
  ++by_key_[call.idempotency_key];
  ++by_request_[call.request];
  runs_[call.request] = call.target;
}

bool FakeTargetClient::KnowsRun(const TargetCall& call) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = runs_.find(call.request);
  return it != runs_.end() && it->second == call.target;
}

// A late sink is still valid, since it lives as long as its request.
void FakeTargetClient::DeliverLatePieces(const RequestId& request) {
  std::vector<LatePieces> late;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    late.swap(late_pieces_);
  }
  for (const LatePieces& pieces : late) {
    if (pieces.call.request != request) continue;
    for (int i = 0; i < options_.pieces; ++i) {
      SendPiece(pieces.call, i, pieces.sink);
    }
  }
}

TargetOutcome FakeTargetClient::SendPieces(const TargetCall& call,
                                           AttemptFault fault,
                                           ResponseSink* sink) {
  const int count = CountPieces(call.streamed);
  const int offset = static_cast<int>(call.resume_offset);
  const int skipped = fault == AttemptFault::kIgnoresOffset ? offset : 0;
  const int begin = offset - skipped;
  const int middle = begin + (count - begin) / 2;
  TargetOutcome outcome{.verdict = Verdict::kMayHaveRun,
                        .reason = Reason::kAnswerIncomplete,
                        .status = kStatusOk};
  sink->OnHead(kStatusOk,
               call.streamed ? "text/event-stream" : "application/json");
  for (int i = begin; i < count; ++i) {
    if (i == middle && StopsMidway(fault)) {
      if (fault == AttemptFault::kStalled) {
        clock_->Advance(call.progress_timeout);
        outcome.reason = Reason::kStreamStalled;
      }
      if (fault == AttemptFault::kLatePieces) {
        std::lock_guard<std::mutex> lock(mutex_);
        late_pieces_.push_back({sink, call});
      }
      return outcome;
    }
    if (i == middle && fault == AttemptFault::kGap) continue;
    clock_->Advance(options_.piece_interval);
    const int copies = fault == AttemptFault::kDuplicates ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (!SendPiece(call, i, sink, skipped)) return outcome;
      ++outcome.delivered;
    }
  }
  if (fault == AttemptFault::kCutBeforeEnd) return outcome;
  outcome.verdict = Verdict::kRan;
  outcome.reason = Reason::kNone;
  outcome.complete = true;
  return outcome;
}

// Sends the piece with the position of the piece `skipped` places later.
bool FakeTargetClient::SendPiece(const TargetCall& call, int index,
                                 ResponseSink* sink, int skipped) const {
  return sink->OnData(PositionOf(call, index + skipped),
                      MakePiece(call.request, call.streamed, index));
}

std::string FakeTargetClient::MakePiece(const RequestId& request, bool streamed,
                                        int index) const {
  if (!streamed) return absl::StrCat("<", request.value(), "#", index, ">");
  if (index < options_.pieces) {
    return absl::StrCat("data: {\"choices\":[{\"delta\":{\"content\":\"",
                        request.value(), "#", index, "\"}}]}\n\n");
  }
  return absl::StrCat("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":",
                      options_.prompt_tokens,
                      ",\"completion_tokens\":", options_.pieces, "}}\n\n");
}

std::uint64_t FakeTargetClient::PositionOf(const TargetCall& call,
                                           int index) const {
  if (call.streamed) return static_cast<std::uint64_t>(index);
  std::uint64_t offset = 0;
  for (int i = 0; i < index; ++i) {
    offset += MakePiece(call.request, false, i).size();
  }
  return offset;
}

int FakeTargetClient::CountPieces(bool streamed) const {
  return options_.pieces + (streamed ? 1 : 0);
}

}  // namespace wisteriareel
