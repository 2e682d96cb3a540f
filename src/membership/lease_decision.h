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

// Content of a lease row.
struct LeaseRow {
  // Empty if the lease was released.
  InstanceId holder;
  FencingNumber fencing;
  // Unique identifier of the write. Lets the writer recognize its own row after
  // a lost reply.
  std::string write;

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
};

std::string EncodeLeaseRow(const LeaseRow& row);
std::optional<LeaseRow> DecodeLeaseRow(const std::string& text);

// State machine that decides when one instance may acquire, renew and act on a
// lease. Not thread-safe; reads no clock.
class LeaseDecision {
 public:
  struct Options {
    RowKey key;
    InstanceId self;
    absl::Duration duration;
    absl::Duration margin;
  };

  explicit LeaseDecision(Options options);

  // Handles the result of a read that ended at `now`. `row` is null if absent.
  void OnRead(const Row* row, absl::Time now);

  // Returns whether this instance may try to acquire or renew the lease.
  bool MayWrite(absl::Time now) const;

  // Returns the transaction that acquires or renews the lease. `write` must be
  // unique; `now` must be a time before the transaction is sent.
  Transaction Write(const std::string& write, absl::Time now);

  // Stops holding the lease. Returns the transaction that releases the row, or
  // nullopt if this instance did not hold the lease.
  std::optional<Transaction> Release(const std::string& write);

  // Handles the outcome of the last write.
  void OnOutcome(CommitOutcome outcome);

  std::optional<HeldLease> Held(absl::Time now) const;

 private:
  struct PendingWrite {
    LeaseRow row;
    absl::Time started;
  };

  void SetHeld(const PendingWrite& write);

  const Options options_;
  // The row as last read, its version, and when that version was first read.
  std::optional<LeaseRow> row_;
  std::uint64_t version_ = 0;
  absl::Time first_seen_ = absl::InfiniteFuture();
  // Writes with unknown outcome.
  std::vector<PendingWrite> pending_;
  std::optional<HeldLease> held_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_MEMBERSHIP_LEASE_DECISION_H_
