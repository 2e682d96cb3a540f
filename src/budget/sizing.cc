#include <algorithm>
#include <cstdint>

#include "wisteriareel/budget_sizing.h"

namespace wisteriareel {
namespace {

// Requests that a holder can start at once before its demand is known.
constexpr std::int64_t kMinRequests = 4;

// Returns the spend over `period`, at least that of a few large requests.
std::int64_t SpendOver(const BudgetDemand& demand, absl::Duration period) {
  const double spend = demand.tokens_per_second * absl::ToDoubleSeconds(period);
  return std::max(kMinRequests * demand.largest_request.value(),
                  static_cast<std::int64_t>(spend));
}

class FixedSizing final : public SizingPolicy {
 public:
  explicit FixedSizing(Tokens balance) : balance_(balance) {}

  Tokens DesiredBalance(const BudgetDemand& demand) const override {
    return std::min(balance_, demand.ungranted);
  }

 private:
  const Tokens balance_;
};

class DemandSizing final : public SizingPolicy {
 public:
  explicit DemandSizing(absl::Duration period) : period_(period) {}

  Tokens DesiredBalance(const BudgetDemand& demand) const override {
    return std::min(Tokens(SpendOver(demand, period_)), demand.ungranted);
  }

 private:
  const absl::Duration period_;
};

class HorizonSizing final : public SizingPolicy {
 public:
  explicit HorizonSizing(const HorizonSizingOptions& options)
      : weight_(options.false_refusal_weight),
        horizon_(options.max_outage * options.false_refusal_weight) {}

  // With every holder at its target, all holders together have `weight` of
  // what is left.
  Tokens DesiredBalance(const BudgetDemand& demand) const override {
    const double share = weight_ / std::max(1, demand.holders);
    const double ratio = share / (1 - weight_ + share);
    const auto ungranted = static_cast<double>(demand.ungranted.value());
    const auto limit = static_cast<std::int64_t>(ratio * ungranted);
    const std::int64_t desired =
        std::min({SpendOver(demand, horizon_), limit, MaxBalance(demand)});
    // Pieces that are too small for a request are missing elsewhere.
    return desired < demand.largest_request.value() ? Tokens(0)
                                                    : Tokens(desired);
  }

 private:
  // Returns what this holder may have without all of them holding more than
  // `weight` of what is left. Holders that died keep theirs until they are
  // reclaimed, so that many deaths can't strand the whole budget.
  std::int64_t MaxBalance(const BudgetDemand& demand) const {
    const Tokens left = demand.ungranted + demand.granted_elsewhere;
    const double held = weight_ * static_cast<double>(left.value());
    return std::max(
        kMinRequests * demand.largest_request.value(),
        static_cast<std::int64_t>(held) - demand.granted_elsewhere.value());
  }

  const double weight_;
  const absl::Duration horizon_;
};

}  // namespace

std::unique_ptr<SizingPolicy> MakeFixedSizing(Tokens balance) {
  return std::make_unique<FixedSizing>(balance);
}

std::unique_ptr<SizingPolicy> MakeDemandSizing(absl::Duration period) {
  return std::make_unique<DemandSizing>(period);
}

std::unique_ptr<SizingPolicy> MakeHorizonSizing(
    const HorizonSizingOptions& options) {
  return std::make_unique<HorizonSizing>(options);
}

}  // namespace wisteriareel
