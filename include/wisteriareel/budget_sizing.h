#ifndef WISTERIAREEL_BUDGET_SIZING_H_
#define WISTERIAREEL_BUDGET_SIZING_H_

#include <memory>

#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// What one holder knows of its demand on one budget.
struct BudgetDemand {
  // Smoothed spend of this holder.
  double tokens_per_second = 0;
  // Largest worst case of a recent request.
  Tokens largest_request;
  // Granted to nobody, this holder's unreserved tokens included.
  Tokens ungranted;
  // Granted to others and not accounted for, the dead among them included.
  Tokens granted_elsewhere;
  // Number of instances that may draw on the budget.
  int holders = 1;

  friend bool operator==(const BudgetDemand&, const BudgetDemand&) = default;
};

// Says how many unreserved tokens a holder should have. Thread-safe.
class SizingPolicy {
 public:
  virtual ~SizingPolicy() = default;

  // Returns the holding to aim at; a holder orders when it has less than half
  // of it and returns what exceeds twice of it.
  virtual Tokens DesiredBalance(const BudgetDemand& demand) const = 0;
};

inline constexpr double kDefaultFalseRefusalWeight = 0.5;

// Options of MakeHorizonSizing.
struct HorizonSizingOptions {
  // Weighs false refusals against stranded tokens, in (0, 1). It is the share
  // of a budget's remainder that all holders together may take out of the
  // pool, and scales the horizon.
  double false_refusal_weight = kDefaultFalseRefusalWeight;
  // Outage that a weight of 1 lets a holder ride out on its own tokens.
  absl::Duration max_outage = absl::Hours(2);
};

// Returns a policy that aims at `holding` tokens whatever the demand.
std::unique_ptr<SizingPolicy> MakeFixedSizing(Tokens balance);

// Returns a policy that aims at the spend of `period`, limited only by what
// is left.
std::unique_ptr<SizingPolicy> MakeDemandSizing(absl::Duration period);

// Returns a policy that aims at the spend of an outage, limited to a share of
// what is left, so that no sleeping holder starves the others.
std::unique_ptr<SizingPolicy> MakeHorizonSizing(
    const HorizonSizingOptions& options);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_SIZING_H_
