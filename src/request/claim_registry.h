#ifndef WISTERIAREEL_SRC_REQUEST_CLAIM_REGISTRY_H_
#define WISTERIAREEL_SRC_REQUEST_CLAIM_REGISTRY_H_

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "src/request/claim_manager.h"
#include "src/request/claim_row_codec.h"
#include "src/request/row_batcher.h"
#include "wisteriareel/claim_admin.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/object_store.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Pointers are not owned and must outlive the registry. `membership` may be
// null.
struct ClaimRegistryOptions {
  InstanceId instance;
  TableService* table = nullptr;
  ObjectStore* objects = nullptr;
  const MembershipView* membership = nullptr;
  Clock* clock = SystemClock();
  EventLog* events = DiscardEvents();
  // Maximum time of one call to the platform.
  absl::Duration call_timeout = absl::Seconds(1);
  // Maximum number of changes in one transaction.
  std::size_t max_batch = 128;
  // Time after its claim within which a holder may dispatch.
  absl::Duration dispatch_window = absl::Seconds(30);
  // Maximum time from the dispatch of a call until it reaches its target.
  absl::Duration max_call_time = absl::Seconds(60);
  // Maximum difference between the clocks of two instances.
  absl::Duration clock_margin = absl::Seconds(10);
  // A claim that is held for longer counts as in doubt. Must exceed the maximum
  // time of a request.
  absl::Duration max_hold_time = absl::Minutes(15);
  // Responses up to this size are stored in the row, larger ones in the object
  // store.
  std::size_t max_inline_response_bytes = 4096;
  // Larger responses are not stored; a retry then learns only that the request
  // ran.
  std::size_t max_stored_response_bytes = 8u << 20;
  // Time for which an outcome is stored for retries.
  absl::Duration outcome_retention = absl::Hours(24);
  // Interval between searches for outcomes whose retention has ended.
  absl::Duration cleanup_interval = absl::Minutes(1);
  // Concurrent lookups for refused calls; excess lookups are skipped, and their
  // verdict is kMayHaveRun.
  int max_concurrent_lookups = 16;
};

// Stores claims as rows in the platform's table. A row (customer, key) is
// written only if it is absent, so that only one instance holds the claim. Step
// retries changes that could not be confirmed. Thread-safe; calls block.
class ClaimRegistry final : public ClaimManager, public ClaimAdmin {
 public:
  explicit ClaimRegistry(const ClaimRegistryOptions& options);

  ClaimReply Acquire(const ClaimRequest& request,
                     absl::Duration timeout) override;
  ClaimReply LookUp(const ClaimRequest& request,
                    absl::Duration timeout) override;
  void Release(const Claim& claim) override;
  void Complete(const Claim& claim,
                const std::optional<StoredResponse>& response,
                absl::Duration timeout) override;
  void MarkInDoubt(const Claim& claim) override;

  std::optional<std::vector<ClaimInfo>> ListOpenClaims(
      const std::string& after, int limit, absl::Duration timeout,
      LastReason* reason) override;
  bool Resolve(const CustomerId& customer, const IdempotencyKey& key,
               ClaimResolution resolution, const std::string& operator_name,
               absl::Duration timeout, LastReason* reason) override;

  // Retries unconfirmed changes and removes expired outcomes. Returns the delay
  // before the next call.
  absl::Duration Step();

  // Returns the number of unconfirmed changes.
  int CountUnconfirmed() const;

 private:
  // A change that is retried until it is known to have taken effect.
  struct PendingChange {
    RowChange change;
    RequestId request;
    absl::Time not_before = absl::InfinitePast();
    // A write of the claim whose reply was lost may take effect until then.
    absl::Time uncertain_until = absl::InfinitePast();
  };

  ClaimRow HeldRow(const Claim& claim) const;
  ClaimReply ReplyFromRow(const ClaimRequest& request, const Row& row);
  ClaimReply ReplyAfterFailure(const ClaimRequest& request);
  ClaimReply ReplyWithOutcome(const ClaimRow& row);
  ClaimState EffectiveState(const ClaimRow& row) const;
  bool IsHolderLost(const ClaimRow& row) const;
  bool MayStillRun(const ClaimRow& row) const;
  std::optional<Row> ReadRow(const RowKey& key, LastReason* reason);

  // Applies the change that ends the claim; leaves it to Step if that fails.
  void EndClaim(const Claim& claim, const std::optional<ClaimRow>& next,
                absl::Duration timeout);
  bool ApplyPending(PendingChange* pending, absl::Duration timeout);
  void ForgetHeld(const RequestId& request);
  void StoreResponse(const StoredResponse& response, ClaimRow* row);
  void RemoveExpiredOutcomes();
  void RemoveIfExpired(const Row& row, bool* removed);

  const ClaimRegistryOptions options_;
  RowBatcher batcher_;

  mutable std::mutex mutex_;
  // Requests of this process that hold a claim.
  absl::flat_hash_set<RequestId> held_requests_;
  std::vector<PendingChange> pending_changes_;
  int lookups_ = 0;
  // Held by Step; guards the members below.
  std::mutex step_mutex_;
  std::string cleanup_position_;
  absl::Time next_cleanup_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_CLAIM_REGISTRY_H_
