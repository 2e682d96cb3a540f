#ifndef WISTERIAREEL_BUDGET_BUDGET_ROWS_H_
#define WISTERIAREEL_BUDGET_BUDGET_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "wisteriareel/budget_manager.h"
#include "wisteriareel/table_service.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Sum of a budget's accepted top-ups. The sum never decreases, so a grant may
// be computed from a stale read of this row and needs no condition on it.
struct TopUpRow {
  Tokens topped_up;
  // Number of rows that the budget's grants are split into; fixed at the first
  // top-up.
  int stripes = 1;

  friend bool operator==(const TopUpRow&, const TopUpRow&) = default;
};

// Sums over one stripe of a budget's grants. A stripe may grant its share of
// the top-ups plus the tokens that were returned to it.
struct StripeRow {
  Tokens granted;
  Tokens returned;
  Tokens settled;
  // Net amount: decreases when a holder that was wrongly considered failed
  // accounts for its tokens.
  Tokens written_off;

  // Returns the granted tokens that are neither returned, settled nor written
  // off.
  Tokens Outstanding() const {
    return granted - returned - settled - written_off;
  }

  friend bool operator==(const StripeRow&, const StripeRow&) = default;
};

enum class HolderState : std::uint8_t {
  kActive = 1,     // May spend until its lease expires.
  kReclaimed = 2,  // The lease expired; the grants are being written off.
  kClosed = 3,     // Shut down cleanly; holds no tokens.
};

// Lease of one holder over all of its grants. A holder is an instance under one
// grant number; an instance gets a new grant number when its process starts and
// when its grants were reclaimed.
struct HolderRow {
  InstanceId instance;
  HolderState state = HolderState::kActive;
  // Duration of the lease; each write of the row renews it.
  absl::Duration lease;
  // Time of the last write by the holder's clock; locates its records in the
  // object store.
  absl::Time renewed;
  // Id of the last transaction that the holder committed.
  OrderId last_order;
  // Number of grant rows that the holder has written.
  int grants = 0;

  friend bool operator==(const HolderRow&, const HolderRow&) = default;
};

// Cumulative grants of one budget to one holder.
struct GrantRow {
  Tokens granted;
  Tokens returned;
  Tokens settled;
  Tokens written_off;
  // `settled` includes all records of the holder's batches with lower numbers.
  std::uint64_t batches = 0;

  Tokens Outstanding() const {
    return granted - returned - settled - written_off;
  }

  friend bool operator==(const GrantRow&, const GrantRow&) = default;
};

// Returns the share of `topped_up` that stripe `stripe` of `stripes` may grant.
// Does not decrease when `topped_up` grows; the shares add up to `topped_up`.
Tokens StripeShare(Tokens topped_up, int stripe, int stripes);

// Row keys. The grant rows of a holder have a common prefix, so that they can
// be scanned.
RowKey TopUpKey(const BudgetId& budget);
RowKey AcceptedTopUpKey(const BudgetId& budget, const OrderId& order);
RowKey StripeKey(const BudgetId& budget, int stripe);
RowKey HolderKey(const std::string& holder);
RowKey GrantKey(const std::string& holder, const BudgetId& budget);

inline constexpr char kAcceptedTopUpTable[] = "budget_topup_line";
inline constexpr char kHolderTable[] = "budget_holder";
inline constexpr char kGrantTable[] = "budget_grant";

// Returns the budget in the key of a grant row of `holder`, or nullopt if the
// key belongs to another holder.
std::optional<BudgetId> BudgetOfGrantKey(const std::string& holder,
                                         const std::string& key);

// JSON encoding of rows. The decoders return nullopt for malformed text.
std::string Encode(const TopUpRow& row);
std::string Encode(const StripeRow& row);
std::string Encode(const HolderRow& row);
std::string Encode(const GrantRow& row);
std::string Encode(const AcceptedTopUp& entry);
std::optional<TopUpRow> DecodeTopUp(const std::string& text);
std::optional<StripeRow> DecodeStripe(const std::string& text);
std::optional<HolderRow> DecodeHolder(const std::string& text);
std::optional<GrantRow> DecodeGrant(const std::string& text);
std::optional<AcceptedTopUp> DecodeAcceptedTopUp(const std::string& text);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_BUDGET_ROWS_H_
