#ifndef WISTERIAREEL_SRC_REQUEST_REQUEST_RUN_H_
#define WISTERIAREEL_SRC_REQUEST_REQUEST_RUN_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/request/request_service.h"
#include "src/request/response_relay.h"

namespace wisteriareel {

// Serves one request, from admission to its record. Used once, on one thread.
class RequestRun {
 public:
  RequestRun(const RequestServiceOptions& options, const RetryPolicy& policy,
             RetryBudget* retry_budget, int instances,
             const CallerRequest& request, ResponseWriter* writer);

  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  // Runs the request and appends its record to the journal.
  CallResult Run();

  // Refuses the request instead of running it. Its record is appended, too.
  CallResult Refuse(Reason reason, absl::Duration retry_after);

 private:
  // Steps of Run. Those that return false have set the result before.
  bool LookUpConfig();
  bool PrepareCall();
  bool AdmitRequest();
  bool AcquireClaim();
  bool ReserveTokens();
  void RunAttempts();

  bool LookUpPool();
  bool NeedsClaim() const;
  ClaimRequest MakeClaimRequest() const;
  void CheckEarlierCalls();
  bool SendStoredResponse(const ClaimReply& reply);
  int PoolCapacity() const;
  // Makes one attempt at target_. Returns what follows it.
  NextAction MakeAttempt();
  TargetCall MakeCall() const;
  void RecordAbandoned(const TargetCall& call, const TargetOutcome& outcome,
                       NextStep step);
  void ReportAttempt(const TargetOutcome& outcome, bool complete);
  // Chooses the target of the next attempt. Returns false if there is none.
  bool ChooseTarget(NextStep step);
  // Waits before a retry. Returns false if the retry is not allowed.
  bool MayRetry(const NextAction& action);
  void DeliverResponse();
  void FailRequest(Reason reason);

  // Settles or releases what AcquireClaim and ReserveTokens acquired.
  void SettleReservation();
  void SettleClaim();
  RequestRecord MakeRecord() const;
  Tokens Price() const;
  bool Fail(Reason reason, std::string detail = {});

  const RequestServiceOptions& options_;
  const RetryPolicy& policy_;
  RetryBudget* const retry_budget_;
  // Live instances, between which the capacity of a pool is divided.
  const int instances_;
  const CallerRequest& request_;
  ResponseWriter* const writer_;

  const absl::Time started_;
  absl::Time deadline_;
  std::shared_ptr<const ConfigSnapshot> config_;
  const Pool* pool_ = nullptr;
  const Customer* customer_ = nullptr;
  bool idempotent_ = false;
  bool deterministic_ = false;
  std::string body_;
  Tokens worst_case_;

  std::optional<AdmissionRequest> admission_;
  absl::Time admitted_;
  std::optional<Claim> claim_;
  std::optional<Reservation> reservation_;
  std::unique_ptr<ResponseRelay> relay_;

  std::optional<PickedTarget> target_;
  std::vector<TargetId> avoided_targets_;
  int attempts_ = 0;
  absl::Time attempt_started_;
  int resumes_without_progress_ = 0;
  bool resuming_ = false;
  // Attempts whose runs may continue although their results are not needed.
  std::vector<TargetCall> abandoned_calls_;
  bool complete_ = false;
  bool outcome_stored_ = false;
  bool claim_attempted_ = false;
  CallResult result_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_REQUEST_RUN_H_
