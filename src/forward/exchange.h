#ifndef WISTERIAREEL_SRC_FORWARD_EXCHANGE_H_
#define WISTERIAREEL_SRC_FORWARD_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "src/forward/event_splitter.h"
#include "src/forward/overload_guard.h"
#include "src/forward/prepaid_ledger.h"
#include "src/forward/request_info.h"
#include "src/forward/retry_limiter.h"
#include "src/forward/route_config.h"
#include "src/forward/target_pool.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/verdict.h"

namespace wisteriareel {

// What the head of a target's answer says, apart from its bytes.
struct ResponseInfo {
  int status = 0;
  // The target states that it did not run the request.
  bool not_run = false;
  // Another target has the address.
  bool wrong_target = false;
  // The target vouches for the answer, which callers check.
  bool sealed = false;
  // The target wants no requests before this time has passed.
  std::optional<absl::Duration> retry_after;

  friend bool operator==(const ResponseInfo&, const ResponseInfo&) = default;
};

// An answer of the router's own.
struct Refusal {
  int status = 503;
  Reason reason = Reason::kNone;
  Verdict verdict = Verdict::kNotRun;
  std::optional<absl::Duration> retry_after;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

// How a request is to be sent to a target.
struct AttemptOptions {
  TargetEntry target;
  // Use no connection that was used before.
  bool fresh_connection = false;
  // Go on after this event.
  std::optional<std::int64_t> resume_after;
  // Time that the target may take.
  absl::Duration time_left;
  // Set for model engines: 0 is served first, 9 last.
  std::optional<int> urgency;
  // Name of the customer, for the target.
  CustomerId customer;

  friend bool operator==(const AttemptOptions&,
                         const AttemptOptions&) = default;
};

// What an exchange can do. The host may call back into the exchange only
// after the call has returned.
class ExchangeDelegate {
 public:
  virtual ~ExchangeDelegate() = default;

  // Connects and sends the request. At most one attempt is open at a time.
  virtual void StartAttempt(const AttemptOptions& options) = 0;
  // Asks the targets for their load. OnLoads follows when all have answered
  // or were waited for, unless the exchange has ended before.
  virtual void QueryLoads(const std::vector<TargetEntry>& targets) = 0;
  // Gives up the open attempt and closes its connection.
  virtual void CancelAttempt() = 0;
  // Sends the head of the current attempt's answer; `whole_body` is set if the
  // body is known, else it follows in pieces.
  virtual void SendHead(std::optional<std::size_t> content_length) = 0;
  virtual void SendBody(std::string bytes) = 0;
  // Ends the answer as complete.
  virtual void FinishResponse() = 0;
  // Answers in the router's own name; nothing was sent before.
  virtual void Refuse(const Refusal& refusal) = 0;
  // Closes the caller's connection so that the answer doesn't look complete.
  virtual void AbortResponse() = 0;
  // Has OnTimer called at `when`, in place of any earlier time.
  virtual void SetTimer(absl::Time when) = 0;
};

// What all exchanges of an instance share. The pointers outlive them.
struct ExchangeServices {
  TargetPool* pool = nullptr;
  RetryLimiter* retry_limiter = nullptr;
  // Null if the link has room for everything.
  const OverloadGuard* overload = nullptr;
  PrepaidLedger* ledger = nullptr;
  EventLog* log = nullptr;
  Counters* counters = nullptr;
};

// A request that was admitted to a route.
struct ExchangeRequest {
  RequestInfo info;
  // Keeps `route` alive.
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  ServiceId service;
  CustomerId customer;
  std::optional<int> customer_priority;
  std::optional<EngineSpec> engine;
  absl::Time arrived;
};

// One caller's request from its arrival to the end of its answer: an event-
// driven state machine without input or output. Runs a request at most once
// unless it may be repeated, relays only whole events and whole answers, and
// says "not run" only on proof. Not thread-safe.
class Exchange {
 public:
  Exchange(ExchangeRequest request, const ExchangeServices& services,
           ExchangeDelegate* host);
  ~Exchange();

  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start(absl::Time now);

  // The ledger has changed; a request that waits for tokens tries again.
  void OnLedgerChanged(absl::Time now);

  // The targets that QueryLoads named have answered or were waited for.
  void OnLoads(absl::Time now);

  // The request was not sent at all.
  void OnUnreachable(absl::Time now);
  // The target's answer has begun.
  void OnHead(const ResponseInfo& info, absl::Time now);
  void OnBody(std::string_view bytes, absl::Time now);
  // The target's answer is complete.
  void OnEnd(absl::Time now);
  // The connection failed after the request was sent, wholly or in part.
  void OnBroken(absl::Time now);
  // The caller has closed its connection.
  void OnCallerDisconnected(absl::Time now);
  void OnTimer(absl::Time now);

  bool done() const { return phase_ == Phase::kDone; }
  const ExchangeRequest& request() const { return request_; }
  bool waits_for_tokens() const { return phase_ == Phase::kReservingTokens; }

 private:
  enum class Phase : std::uint8_t {
    kIdle,
    // Waits for tokens.
    kReservingTokens,
    // Waits for the load of targets.
    kQueryingLoads,
    // Sent, no head yet.
    kSent,
    // The answer arrives.
    kReceivingResponse,
    kDone
  };

  absl::Time Deadline() const;
  void TryReserve(absl::Time now);
  // Sends the request to a target, whose load is asked for first if it isn't
  // known.
  void Dispatch(absl::Time now);
  void Send(absl::Time now);
  PlacementRequirements GetRequirements() const;
  // Sends the request once more if that is allowed. `not_run` says whether
  // the last attempt is proved not to have run.
  bool TryRetry(bool not_run, Reason reason, absl::Time now);
  // Like TryRetry, but only takes the repeat from what is allowed.
  bool AcquireRetry(bool not_run, Reason reason, absl::Time now);
  void EndAttempt(AttemptOutcome outcome, absl::Time now);
  void RelayEvents(std::string_view bytes, absl::Time now);
  void FailAttempt(Reason reason, absl::Time now);
  void RefuseRequest(int status, Reason reason,
                     std::optional<absl::Duration> after, absl::Time now);
  void Abort(absl::Time now);
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
  // Attempts that reached a target.
  int send_count_ = 0;
  int unreachable_count_ = 0;
  absl::Time sent_at_;
  // Last time that the target sent anything.
  absl::Time last_received_at_;
  absl::Time first_event_at_ = absl::InfiniteFuture();
  Verdict verdict_ = Verdict::kNotRun;
  bool head_sent_ = false;
  bool relays_events_ = false;
  int status_ = 0;
  EventSplitter events_;
  std::string buffered_body_;
  std::optional<std::int64_t> last_event_;
  std::int64_t events_sent_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_EXCHANGE_H_
