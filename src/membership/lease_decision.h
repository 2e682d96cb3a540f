#ifndef WISTERIAREEL_SRC_MEMBERSHIP_LEASE_DECISION_H_
#define WISTERIAREEL_SRC_MEMBERSHIP_LEASE_DECISION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/table_service.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// The row of a lease.
struct LeaseRow {
  // Empty if the lease was released.
  InstanceId holder;
  FencingNumber fencing;
  // Names the write, so that its writer knows it again after a lost reply.
  std::string write;

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
};

std::string EncodeLeaseRow(const LeaseRow& row);
std::optional<LeaseRow> DecodeLeaseRow(const std::string& text);

// Decides when one instance may take, keep and act on a lease. Not
// thread-safe; reads no clock.
class LeaseDecision {
 public:
  struct Options {
    RowKey key;
    InstanceId self;
    absl::Duration duration;
    absl::Duration margin;
  };

  explicit LeaseDecision(Options options);

  // Takes the row as read by a call that ended at `now`; null if absent.
  void OnRead(const Row* row, absl::Time now);

  // Returns whether the lease may be taken or renewed by a write.
  bool MayWrite(absl::Time now) const;

  // Returns the transaction that takes or renews the lease. `write` must be
  // unique; `now` is a reading from before the transaction is sent.
  Transaction Write(const std::string& write, absl::Time now);

  // Returns the transaction that frees the row, or nullopt if this instance
  // does not hold it. It no longer counts as held from here on.
  std::optional<Transaction> Release(const std::string& write);

  // Takes the outcome of the last write.
  void OnOutcome(CommitOutcome outcome);

  std::optional<HeldLease> Held(absl::Time now) const;

 private:
  struct PendingWrite {
    LeaseRow row;
    absl::Time began;
  };

  void Hold(const PendingWrite& write);

  const Options options_;
  // The row as last read, and when that version of it was first seen.
  std::optional<LeaseRow> row_;
  std::uint64_t version_ = 0;
  absl::Time first_seen_ = absl::InfiniteFuture();
  // Writes whose outcome is not known.
  std::vector<PendingWrite> pending_;
  std::optional<HeldLease> held_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_MEMBERSHIP_LEASE_DECISION_H_
