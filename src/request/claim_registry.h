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

// Members are not owned and outlive the registry. `membership` may be null.
struct ClaimRegistryOptions {
  InstanceId instance;
  TableService* table = nullptr;
  ObjectStore* objects = nullptr;
  const MembershipView* membership = nullptr;
  Clock* clock = SystemClock();
  EventLog* events = DiscardEvents();
  // Longest wait for one call of the platform.
  absl::Duration call_timeout = absl::Seconds(1);
  // Changes in one transaction.
  std::size_t max_batch = 128;
  // A holder dispatches nothing later than this after its claim.
  absl::Duration dispatch_window = absl::Seconds(30);
  // Longest time that a dispatched call may still reach its target.
  absl::Duration call_limit = absl::Seconds(60);
  // Largest difference between two instances' clocks.
  absl::Duration clock_margin = absl::Seconds(10);
  // A claim that is held for longer counts as in doubt. Longer than any
  // request may take.
  absl::Duration hold_limit = absl::Minutes(15);
  // Answers up to this size lie in the row, larger ones in the object store.
  std::size_t inline_answer_bytes = 4096;
  std::size_t max_kept_bytes = 8u << 20;
  // How long an outcome is kept for retries.
  absl::Duration keep_outcomes = absl::Hours(24);
  // Pause between two looks for outcomes that needn't be kept any longer.
  absl::Duration sweep_interval = absl::Minutes(1);
  // Lookups of refused calls at the same time; further ones aren't made.
  int max_lookups = 16;
};

// Claims as rows of the platform's table: a row (customer, key) is written
// only if it is absent, so that of all instances one holds it. Changes that
// could not be confirmed are repeated by Step. Thread-safe; calls block.
class ClaimRegistry final : public ClaimManager, public ClaimAdmin {
 public:
  explicit ClaimRegistry(const ClaimRegistryOptions& options);

  ClaimReply Acquire(const ClaimRequest& request,
                     absl::Duration timeout) override;
  ClaimReply LookUp(const ClaimRequest& request,
                    absl::Duration timeout) override;
  void Release(const Claim& claim) override;
  void Complete(const Claim& claim, const std::optional<StoredResponse>& answer,
                absl::Duration timeout) override;
  void MarkInDoubt(const Claim& claim) override;

  std::optional<std::vector<ClaimInfo>> ListOpenClaims(
      const std::string& after, int limit, absl::Duration timeout,
      LastReason* reason) override;
  bool Resolve(const CustomerId& customer, const IdempotencyKey& key,
               ClaimResolution resolution, const std::string& operator_name,
               absl::Duration timeout, LastReason* reason) override;

  // Repeats unconfirmed changes and removes old outcomes. Returns how long to
  // wait before the next call.
  absl::Duration Step();

  // Returns how many changes are still unconfirmed.
  int CountUnconfirmed() const;

 private:
  // A change that is repeated until it is known to have taken effect.
  struct Repeat {
    RowChange change;
    RequestId request;
    absl::Time not_before = absl::InfinitePast();
    // A lost write of the claim may come back until then.
    absl::Time uncertain_until = absl::InfinitePast();
  };

  ClaimRow HeldRow(const Claim& claim) const;
  ClaimReply Judge(const ClaimRequest& request, const Row& row);
  ClaimReply JudgeAfterFailure(const ClaimRequest& request);
  ClaimReply GiveOutcome(const ClaimRow& row);
  ClaimState EffectiveState(const ClaimRow& row) const;
  bool HolderGone(const ClaimRow& row) const;
  bool MayStillRun(const ClaimRow& row) const;
  std::optional<Row> ReadRow(const RowKey& key, LastReason* reason);

  // Makes the change, now if possible, else by Step.
  void End(const Claim& claim, const std::optional<ClaimRow>& next,
           absl::Duration timeout);
  bool TryRetry(Repeat* repeat, absl::Duration timeout);
  void Forget(const RequestId& request);
  void StoreAnswer(const StoredResponse& answer, ClaimRow* row);
  void Sweep();
  void RemoveIfOld(const Row& row, bool* removed);

  const ClaimRegistryOptions options_;
  RowBatcher batcher_;

  mutable std::mutex mutex_;
  // Requests of this process whose claims are held.
  absl::flat_hash_set<RequestId> held_;
  std::vector<Repeat> repeats_;
  int lookups_ = 0;
  // Held by Step, and guards what only it uses.
  std::mutex step_mutex_;
  std::string sweep_after_;
  absl::Time next_sweep_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_CLAIM_REGISTRY_H_
