#ifndef WISTERIAREEL_SRC_FORWARD_SHUTDOWN_PLAN_H_
#define WISTERIAREEL_SRC_FORWARD_SHUTDOWN_PLAN_H_

#include <cstdint>

#include "absl/time/time.h"

namespace wisteriareel {

struct ShutdownPlanOptions {
  // Time from the start of the shutdown until the platform kills the process.
  absl::Duration grace = absl::Seconds(8);
  // Time for the balancer to stop sending: it checks readiness once a second
  // and stops after two failed checks.
  absl::Duration balancer_notice = absl::Milliseconds(3500);
  // Time for which requests that may be repeated are accepted whatever their
  // deadline. The balancer still sends many then, and those that it sent here
  // in vain would wait for their retry.
  absl::Duration open_time = absl::Seconds(2);
  // Part of the grace for ending what is still in progress.
  absl::Duration ending_time = absl::Milliseconds(400);
  // Part of `ending_time` that remains once the process must have ended.
  absl::Duration kill_margin = absl::Milliseconds(100);
  // Time before `ending_time` at which unspent tokens are returned to the
  // platform even if requests are still in progress.
  absl::Duration token_return = absl::Milliseconds(1200);
  // Part of `ending_time`, before `kill_margin`, for the exit.
  absl::Duration exit_time = absl::Milliseconds(150);
  // Part of `exit_time` in which an accepted connection may send a request.
  absl::Duration unread_time = absl::Milliseconds(50);
};

// A request that arrives while a process shuts down.
struct ArrivingRequest {
  // Time at which its response must be complete.
  absl::Time deadline;
  // The request may run more than once.
  bool is_retryable = false;

  friend bool operator==(const ArrivingRequest&,
                         const ArrivingRequest&) = default;
};

// A connection on which no request is read or in progress.
struct IdleConnection {
  // At least one request was answered.
  bool has_served = false;
  // Bytes have arrived that were not read yet.
  bool has_unread = false;

  friend bool operator==(const IdleConnection&,
                         const IdleConnection&) = default;
};

// What still goes on in a process that shuts down.
struct ShutdownProgress {
  // A request is being read or served, or waits in a socket.
  bool has_requests = false;
  // Responses are being written or were not received yet.
  bool has_output = false;
  // Tokens are held, unreported or in doubt.
  bool has_tokens = false;

  friend bool operator==(const ShutdownProgress&,
                         const ShutdownProgress&) = default;
};

// What a process that shuts down does next.
enum class ShutdownStep : std::uint8_t {
  // Serves the requests in progress and those that can still be served in time.
  kServe,
  // Accepts no requests. Closes idle connections; serves what is in progress.
  kClose,
  // The same, and returns tokens.
  kReturnTokens,
  // Ends the requests in progress with a response that tells so.
  kEndRequests,
  // Begins the exit, with everything done.
  kExitClean,
  // Begins the exit, since the grace is over.
  kExit,
};

// What an exiting process does next.
enum class ExitStep : std::uint8_t {
  // Refuses all requests. No connection is accepted any more.
  kRefuse,
  // Closes all connections and ends.
  kEnd,
};

// Decides what an instance does with requests while it shuts down.
//
// It answers this load pattern: callers and the balancer send requests for
// seconds after the shutdown began, also on connections that they keep open,
// and some requests may take longer than the process has left. A request is
// accepted if its own deadline lies before the end of the process, so that the
// shutdown can't cut it off. The other ones are refused while another instance
// can still serve them in time, except those at the start that may be repeated.
// Requests that aren't finished at the end are told so.
//
// A connection that was accepted is answered or is closed before a byte of it
// was read, since its caller couldn't tell otherwise whether its request ran.
// So a connection without a request so far stays open until the exit, and the
// exit empties the queue of the listener.
//
// Not thread-safe. Opens no connections.
class ShutdownPlan {
 public:
  explicit ShutdownPlan(const ShutdownPlanOptions& options);

  // Starts the shutdown. Later calls don't extend it.
  void Begin(absl::Time now);

  bool IsDraining() const { return began_ < absl::InfiniteFuture(); }

  // Returns true if a request that arrives now may be accepted.
  bool Accepts(const ArrivingRequest& request, absl::Time now) const;

  // Returns true if no request is accepted any more, whatever its deadline.
  bool IsClosing(absl::Time now) const;

  // Returns what to do now. Called repeatedly after Begin.
  ShutdownStep NextStep(const ShutdownProgress& progress, absl::Time now) const;

  // Starts the exit, which NextStep has returned. Later calls don't extend it.
  void BeginExit(absl::Time now);

  // Returns what to do now. Called repeatedly after BeginExit.
  ExitStep NextExitStep(const ShutdownProgress& progress, absl::Time now) const;

  // Returns true if an idle connection is closed now.
  bool ClosesIdle(const IdleConnection& connection, absl::Time now) const;

 private:
  // Time at which requests in progress are ended.
  absl::Time RequestsEnd() const;
  // Time at which the process must have ended.
  absl::Time ExitEnd() const;

  const ShutdownPlanOptions options_;
  absl::Time began_ = absl::InfiniteFuture();
  absl::Time exit_began_ = absl::InfiniteFuture();
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_SHUTDOWN_PLAN_H_
