#ifndef WISTERIAREEL_BUDGET_SIZING_H_
#define WISTERIAREEL_BUDGET_SIZING_H_

#include <memory>

#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Inputs of a SizingPolicy: the demand of one holder on one budget, and the
// state of the budget.
struct BudgetDemand {
  // Smoothed spend rate of this holder.
  double tokens_per_second = 0;
  // Largest worst-case amount of a recent request.
  Tokens largest_request;
  // Tokens not granted to any holder, plus this holder's unreserved tokens.
  Tokens ungranted;
  // Tokens granted to other holders and neither returned, settled nor written
  // off. Includes holders that have failed.
  Tokens granted_elsewhere;
  // Number of instances that may draw on the budget.
  int holders = 1;

  friend bool operator==(const BudgetDemand&, const BudgetDemand&) = default;
};

// Decides how many unreserved tokens a holder keeps. Thread-safe.
class SizingPolicy {
 public:
  virtual ~SizingPolicy() = default;

  // Returns the balance to maintain. A holder requests a grant when it has
  // less than half of this balance and returns tokens when it has more than
  // twice as many.
  virtual Tokens DesiredBalance(const BudgetDemand& demand) const = 0;
};

inline constexpr double kDefaultFalseRefusalWeight = 0.5;

// Options of MakeHorizonSizing.
struct HorizonSizingOptions {
  // Weight of false refusals against stranded tokens, in (0, 1). All holders
  // together may hold this share of the budget's remainder. Also scales
  // `max_outage`.
  double false_refusal_weight = kDefaultFalseRefusalWeight;
  // Platform outage that a holder can bridge with its own tokens at a weight
  // of 1.
  absl::Duration max_outage = absl::Hours(2);
};

// Returns a policy that maintains `balance` tokens independent of the demand.
std::unique_ptr<SizingPolicy> MakeFixedSizing(Tokens balance);

// Returns a policy that maintains the expected spend of `period`, limited only
// by the ungranted tokens.
std::unique_ptr<SizingPolicy> MakeDemandSizing(absl::Duration period);

// Returns a policy that maintains the expected spend of an outage, limited to
// a share of the budget's remainder, so that an idle holder does not starve
// the others.
std::unique_ptr<SizingPolicy> MakeHorizonSizing(
    const HorizonSizingOptions& options);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_SIZING_H_
