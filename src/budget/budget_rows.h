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

// Sum of a budget's accepted top-ups. Only ever grows, so that a grant may be
// computed from an older reading of it and needs no condition on it.
struct TopUpRow {
  Tokens topped_up;
  // Into how many rows the budget's grants are split; fixed at the first
  // top-up.
  int stripes = 1;

  friend bool operator==(const TopUpRow&, const TopUpRow&) = default;
};

// One stripe of a budget's grants. The stripe may grant its share of the
// top-ups plus what was returned to it.
struct StripeRow {
  Tokens granted;
  Tokens returned;
  Tokens settled;
  // Net: falls when a holder that was believed dead accounts for its tokens.
  Tokens written_off;

  // Returns what is granted and not yet accounted for.
  Tokens Outstanding() const {
    return granted - returned - settled - written_off;
  }

  friend bool operator==(const StripeRow&, const StripeRow&) = default;
};

enum class HolderState : std::uint8_t {
  kActive = 1,     // May spend until its lease lapses.
  kReclaimed = 2,  // Its lease lapsed and its grants are written off.
  kClosed = 3,     // Ended in order; holds nothing.
};

// Lease of one holder over all of its grants.
struct HolderRow {
  InstanceId instance;
  HolderState state = HolderState::kActive;
  // Length of the lease, counted anew from each write of the row.
  absl::Duration lease;
  // The holder's clock at its last write; says where its records are.
  absl::Time renewed;
  // Order of the last transaction that the holder committed.
  OrderId last_order;
  // Number of grant rows that the holder has written.
  int grants = 0;

  friend bool operator==(const HolderRow&, const HolderRow&) = default;
};

// What one holder was granted of one budget, cumulative.
struct GrantRow {
  Tokens granted;
  Tokens returned;
  Tokens settled;
  Tokens written_off;
  // `settled` has all records of the holder's batches with lower numbers.
  std::uint64_t batches = 0;

  Tokens Outstanding() const {
    return granted - returned - settled - written_off;
  }

  friend bool operator==(const GrantRow&, const GrantRow&) = default;
};

// Returns the part of `topped_up` that stripe `stripe` of `stripes` may grant.
// Never falls when `topped_up` grows; the shares add up to `topped_up`.
Tokens StripeShare(Tokens topped_up, int stripe, int stripes);

// Row keys. A holder's grant rows sort together, so that they can be scanned.
RowKey TopUpKey(const BudgetId& budget);
RowKey AcceptedTopUpKey(const BudgetId& budget, const OrderId& order);
RowKey StripeKey(const BudgetId& budget, int stripe);
RowKey HolderKey(const std::string& holder);
RowKey GrantKey(const std::string& holder, const BudgetId& budget);

inline constexpr char kAcceptedTopUpTable[] = "budget_topup_line";
inline constexpr char kHolderTable[] = "budget_holder";
inline constexpr char kGrantTable[] = "budget_grant";

// Returns the budget that a key of a grant row of `holder` names, or nullopt
// for a key of another holder.
std::optional<BudgetId> BudgetOfGrantKey(const std::string& holder,
                                         const std::string& key);

// JSON text of rows. Decoders return nullopt for malformed text.
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
