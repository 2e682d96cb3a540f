#ifndef WISTERIAREEL_SRC_FORWARD_EXCHANGE_H_
#define WISTERIAREEL_SRC_FORWARD_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/caller_response.h"
#include "src/forward/connection_limiter.h"
#include "src/forward/event_splitter.h"
#include "src/forward/limited_return_schedule.h"
#include "src/forward/overload_guard.h"
#include "src/forward/prepaid_ledger.h"
#include "src/forward/prompt_quarantine.h"
#include "src/forward/request_info.h"
#include "src/forward/retry_limiter.h"
#include "src/forward/route_config.h"
#include "src/forward/target_pool.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/verdict.h"

namespace wisteriareel {

// The decoded head of a target's response.
struct ResponseInfo {
  int status = 0;
  // The target states that it did not run the request.
  bool not_run = false;
  // The address belongs to another target.
  bool wrong_target = false;
  // The response carries an integrity seal that callers verify.
  bool sealed = false;
  // Time for which the target asks not to be sent requests.
  std::optional<absl::Duration> retry_after;
  // The target leaves and accepts no new requests.
  bool leaving = false;
  // Requests per second that the target accepts from all instances together;
  // unset if it names no limit.
  std::optional<double> rate_limit;
  // The target names a limit that can't be read.
  bool has_malformed_rate_limit = false;
  // The body has neither a length nor chunks: the end of the connection is its
  // end.
  bool ends_with_connection = false;
  // The body isn't a stream of events.
  bool is_other_content = false;

  friend bool operator==(const ResponseInfo&, const ResponseInfo&) = default;
};

// Options of one attempt to send a request to a target.
struct AttemptOptions {
  TargetEntry target;
  // Opens a new connection instead of reusing an idle one.
  bool fresh_connection = false;
  // Resumes the stream after the event with this id.
  std::optional<std::int64_t> resume_after;
  // Time left until the deadline of the request.
  absl::Duration time_left;
  // Set for model engines only; 0 is the most urgent, 9 the least.
  std::optional<int> urgency;
  // Sent to the target; empty if the request has no customer.
  CustomerId customer;

  friend bool operator==(const AttemptOptions&,
                         const AttemptOptions&) = default;
};

// Performs the input and output of an exchange. An implementation must not call
// back into the exchange before the call to it has returned.
class ExchangeDelegate : public CallerResponseSink {
 public:
  // Connects and sends the request. At most one attempt is open at a time.
  virtual void StartAttempt(const AttemptOptions& options) = 0;
  // Queries the load of the targets. Calls Exchange::OnLoads once all have
  // responded or timed out, unless the exchange has ended by then.
  virtual void QueryLoads(const std::vector<TargetEntry>& targets) = 0;
  // Cancels the open attempt and closes its connection.
  virtual void CancelAttempt() = 0;
  // Schedules Exchange::OnTimer at `when`, replacing the time set before.
  virtual void SetTimer(absl::Time when) = 0;
};

// Why the connection to a target failed.
enum class BrokenCause : std::uint8_t {
  // The target closed or reset it.
  kClosed,
  // The target doesn't respond any more, or its response is malformed.
  kOther,
};

// Services shared by all exchanges of an instance. Not owned; they must outlive
// the exchanges.
struct ExchangeServices {
  TargetPool* pool = nullptr;
  RetryLimiter* retry_limiter = nullptr;
  // Null if the capacity of the link isn't a limit.
  const OverloadGuard* overload = nullptr;
  PrepaidLedger* ledger = nullptr;
  PromptQuarantine* quarantine = nullptr;
  // Null if callers that rate limits refuse all wait for the same time.
  LimitedReturnSchedule* limited_returns = nullptr;
  // Null if the memory for responses isn't limited.
  const ConnectionLimiter* limiter = nullptr;
  EventLog* log = nullptr;
  Counters* counters = nullptr;
};

// A request admitted to a route.
struct ExchangeRequest {
  RequestInfo info;
  // Owns `route`.
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  ServiceId service;
  CustomerId customer;
  std::optional<int> customer_priority;
  std::optional<EngineSpec> engine;
  absl::Time arrived;

  // Time at which the response must be complete.
  absl::Time Deadline() const;
};

// State machine of one caller's request, from its arrival to the end of its
// response. Driven by events; all input and output goes through the delegate.
// Runs a request at most once unless its route allows retries, relays only
// complete events, replaces a broken response while it is still buffered, and
// reports the verdict "not run" only on proof. Not thread-safe.
class Exchange {
 public:
  Exchange(ExchangeRequest request, const ExchangeServices& services,
           ExchangeDelegate* delegate);
  ~Exchange();

  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start(absl::Time now);

  // Retries the reservation of a request that waits for tokens. Called when the
  // ledger has changed.
  void OnLedgerChanged(absl::Time now);

  // Ends the request if its prompt is quarantined now and its target hasn't
  // begun the stream of events. Called when a prompt was quarantined.
  void OnPromptQuarantined(absl::Time now);

  // Called when the targets of QueryLoads have responded or timed out.
  void OnLoads(absl::Time now);

  // Called when no byte of the request was sent.
  void OnUnreachable(absl::Time now);
  // Called when the head of the target's response has arrived.
  void OnHead(const ResponseInfo& info, absl::Time now);
  void OnBody(std::string_view bytes, absl::Time now);
  // Called when the target's response is complete.
  void OnEnd(absl::Time now);
  // Called when the connection failed after all or part of the request was
  // sent.
  void OnBroken(BrokenCause cause, absl::Time now);
  // Called when the caller has closed its connection.
  void OnCallerDisconnected(absl::Time now);
  void OnTimer(absl::Time now);
  // Called when the process is about to end. Ends the request at once.
  void OnShutdown(absl::Time now);

  bool done() const { return phase_ == Phase::kDone; }
  const ExchangeRequest& request() const { return request_; }
  // Bytes of the response that are kept until it is complete.
  std::size_t buffered_bytes() const { return buffered_body_.capacity(); }
  bool waits_for_tokens() const { return phase_ == Phase::kReservingTokens; }

 private:
  enum class Phase : std::uint8_t {
    kIdle,
    // Waiting for tokens.
    kReservingTokens,
    // Waiting for the load of targets.
    kQueryingLoads,
    // Sent to a target, no response head received.
    kSent,
    // Receiving the target's response.
    kReceivingResponse,
    kDone
  };

  // Outcome of a request whose target's response was relayed to its end.
  static constexpr std::string_view kAnswered = "answered";

  absl::Time Deadline() const { return request_.Deadline(); }
  void TryReserve(absl::Time now);
  // Returns when a caller that was refused for tokens should return.
  absl::Duration TokenRetryAfter(absl::Time now) const;
  // Sends the request to a target, after a query of the load of candidates
  // whose load isn't known.
  void Dispatch(absl::Time now);
  void Send(absl::Time now);
  PlacementRequirements GetRequirements() const;
  // Retries the request at another target if that is allowed. `not_run` is true
  // if the last attempt is proved not to have run. Returns false otherwise.
  bool TryRetry(bool not_run, Reason reason, absl::Time now);
  // Returns true if another target's response can take the place of the present
  // one or go on where it ends.
  bool CanContinueResponse() const;
  // Like TryRetry, but only acquires the retry and doesn't send the request.
  bool AcquireRetry(bool not_run, Reason reason, absl::Time now);
  // Records what the response says about further requests to its target.
  void RecordNotice(const ResponseInfo& info, absl::Time now);
  // Records the rate limit that the response states.
  void RecordRateLimit(const ResponseInfo& info, absl::Time now);
  // Returns the request as its LimitedReturnSchedule sees it, or nullopt if one
  // of the targets that can serve it has no rate limit.
  std::optional<LimitedRequest> GetLimitedRequest(absl::Time now) const;
  // Returns true if the request must leave a share to a more urgent one.
  bool LeavesShare(const LimitedRequest& limited, absl::Time now) const;
  // Ends the request because of the rate limits of its targets.
  void FailLimited(const LimitedRequest& limited, absl::Time now);
  // Returns the urgency of the request; 0 is the most urgent, 9 the least.
  int Urgency() const;
  void EndAttempt(AttemptOutcome outcome, absl::Time now);
  void RelayEvents(std::string_view bytes, absl::Time now);
  // Refuses the request, or ends its response, if its prompt is quarantined.
  // Returns false if it isn't.
  bool RefuseIfQuarantined(absl::Time now);
  // Records that the target may have crashed because of this prompt. Returns
  // whether the request may be retried.
  bool RecordPromptCrash(absl::Time now);
  // Records that the target goes on with its response, so that the prompt
  // doesn't crash targets.
  void RecordPromptProof();
  void LogBrokenAttempt(absl::Time now) const;
  // Like FailRequest, with the status that the verdict allows.
  void FailAttempt(Reason reason, absl::Time now);
  // Ends the request with an error response, or breaks its response off if a
  // part of it was sent.
  void FailRequest(int status, Reason reason,
                   std::optional<absl::Duration> after, absl::Time now);
  void Abort(absl::Time now);
  // Returns true if the caller got a successful response or a part of it.
  bool IsDelivered(std::string_view outcome) const;
  void Finish(std::string_view outcome, Reason reason, absl::Time now);
  void SetTimer(absl::Time now);
  absl::Duration IdleTimeout() const;
  Tokens UsedTokens() const;

  const ExchangeRequest request_;
  const ExchangeServices services_;
  ExchangeDelegate* const delegate_;

  Phase phase_ = Phase::kIdle;
  bool reserved_ = false;
  std::optional<Placement> placement_;
  std::vector<TargetId> tried_;
  // Number of attempts sent to a reachable target.
  int send_count_ = 0;
  int unreachable_count_ = 0;
  absl::Time sent_at_;
  // Time when the target last sent anything.
  absl::Time last_received_at_;
  absl::Time first_event_at_ = absl::InfiniteFuture();
  // Start of the response of the current attempt.
  absl::Time attempt_began_at_;
  bool prompt_proven_ = false;
  std::string quarantined_segment_;
  Verdict verdict_ = Verdict::kNotRun;
  CallerResponse response_;
  bool relays_events_ = false;
  // The end of the connection is the end of the response.
  bool ends_with_connection_ = false;
  int status_ = 0;
  EventSplitter events_;
  std::string buffered_body_;
  std::optional<std::int64_t> last_event_;
  std::int64_t events_sent_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_EXCHANGE_H_
