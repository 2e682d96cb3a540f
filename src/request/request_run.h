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

// Serves one request, from its admission to its record. Used once, on one
// thread.
class RequestRun {
 public:
  RequestRun(const RequestServiceOptions& options, const RetryPolicy& policy,
             RetryBudget* retry_budget, int instances,
             const CallerRequest& request, ResponseWriter* writer);

  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  // Returns how the request ended. Its record is in the journal.
  CallResult Run();

  // Refuses the request instead of running it.
  CallResult Refuse(Reason reason, absl::Duration retry_after);

 private:
  // Steps of Run; each returns false after having set the result.
  bool LookUp();
  bool Prepare();
  bool Admit();
  bool AcquireClaim();
  bool Reserve();
  void Dispatch();

  bool LookUpPool();
  bool NeedsClaim() const;
  ClaimRequest MakeClaimRequest() const;
  void ConsultEarlierCalls();
  bool GiveKeptAnswer(const ClaimReply& reply);
  int PoolCapacity() const;
  // One attempt at `target_`; returns what follows it.
  NextAction Attempt();
  TargetCall MakeCall() const;
  void RememberAbandoned(const TargetCall& call, const TargetOutcome& outcome,
                         NextStep step);
  void ReportAttempt(const TargetOutcome& outcome, bool whole);
  // Chooses the target of the next attempt. Returns false if there is none.
  bool ChooseTarget(NextStep step);
  // Waits before a repeat. Returns false if it may not be made.
  bool MayRetry(const NextAction& action);
  void Deliver();
  void GiveUp(Reason reason);

  // Ends what Admit, AcquireClaim and Reserve began.
  void Settle();
  void SettleClaim();
  RequestRecord MakeRecord() const;
  Tokens Price() const;
  bool Fail(Reason reason, std::string detail = {});

  const RequestServiceOptions& options_;
  const RetryPolicy& policy_;
  RetryBudget* const retry_budget_;
  // Live instances that share each pool.
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
  std::vector<TargetId> avoided_;
  int attempts_ = 0;
  absl::Time attempt_begun_;
  int fruitless_resumes_ = 0;
  bool resuming_ = false;
  // Attempts whose runs may still go on for nobody.
  std::vector<TargetCall> abandoned_;
  bool whole_ = false;
  bool kept_ = false;
  bool claim_asked_ = false;
  CallResult result_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_REQUEST_RUN_H_
