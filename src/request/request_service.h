#ifndef WISTERIAREEL_SRC_REQUEST_REQUEST_SERVICE_H_
#define WISTERIAREEL_SRC_REQUEST_REQUEST_SERVICE_H_

#include <condition_variable>
#include <cstddef>
#include <mutex>

#include "absl/time/time.h"
#include "src/request/admission.h"
#include "src/request/claim_manager.h"
#include "src/request/retry_budget.h"
#include "src/request/retry_policy.h"
#include "src/routing/target_selector.h"
#include "wisteriareel/budget_manager.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/request_handler.h"
#include "wisteriareel/request_record.h"
#include "wisteriareel/target_client.h"

namespace wisteriareel {

// Time limits for the stages of a request.
struct RequestTimeouts {
  // Maximum time of a request; a caller may set an earlier deadline.
  absl::Duration chat = absl::Minutes(10);
  absl::Duration service = absl::Seconds(60);
  // Maximum wait for a claim.
  absl::Duration claim = absl::Seconds(3);
  // Maximum time to store the outcome before the response is sent.
  absl::Duration store_outcome = absl::Seconds(1);
  // Maximum wait for a grant that covers a reservation.
  absl::Duration reserve = absl::Seconds(2);
  absl::Duration connect = absl::Seconds(1);
  // Maximum time without data within a stream, and before its first byte.
  absl::Duration stream_progress = absl::Milliseconds(1500);
  absl::Duration stream_first_byte = absl::Seconds(15);
};

// Pointers are not owned and must outlive the service. `claims`, `admission`
// and `membership` may be null: calls that need a claim are then refused, no
// request is queued, and this instance counts as the only one.
struct RequestServiceOptions {
  InstanceId instance;
  ZoneId zone;
  const ConfigView* config = nullptr;
  BudgetManager* budget = nullptr;
  RecordJournal* journal = nullptr;
  TargetClient* targets = nullptr;
  TargetSelector* selector = nullptr;
  ClaimManager* claims = nullptr;
  Admission* admission = nullptr;
  const MembershipView* membership = nullptr;
  Clock* clock = SystemClock();
  RandomSource* random = nullptr;
  Counters* counters = DiscardCounters();
  EventLog* events = DiscardEvents();
  RequestTimeouts timeouts;
  RetryPolicyOptions retries;
  RetryBudgetOptions retry_budget;
  // Maximum size of a response without streaming, and of a stored stream.
  std::size_t max_response_bytes = 16u << 20;
};

// Result of a drain.
struct RequestDrainReport {
  int in_flight_at_start = 0;
  int in_flight_left = 0;
  absl::Duration took;

  friend bool operator==(const RequestDrainReport&,
                         const RequestDrainReport&) = default;
};

// Serves requests from callers: admits a request, claims it if it is not
// idempotent, reserves its maximum cost, runs it at a target and settles it.
// Every request ends with a verdict and a record. Thread-safe.
class RequestService final : public RequestHandler {
 public:
  explicit RequestService(const RequestServiceOptions& options);

  RequestService(const RequestService&) = delete;
  RequestService& operator=(const RequestService&) = delete;

  CallResult Handle(const CallerRequest& request,
                    ResponseWriter* writer) override;

  // Refuses new requests with kDraining and waits until `deadline`, by the
  // clock of the service, for those in flight. May be called again.
  RequestDrainReport Drain(absl::Time deadline);

  // Returns the number of requests in flight.
  int CountInFlight() const;

 private:
  bool BeginRequest();
  void EndRequest();
  // Returns the number of live instances, at least 1.
  int CountInstances();

  const RequestServiceOptions options_;
  const RetryPolicy policy_;
  RetryBudget retry_budget_;

  mutable std::mutex mutex_;
  std::condition_variable ended_;
  int in_flight_ = 0;
  bool draining_ = false;
  int instances_ = 1;
  absl::Time instances_counted_ = absl::InfinitePast();
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_REQUEST_SERVICE_H_
