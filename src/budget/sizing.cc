#include <algorithm>
#include <cstdint>

#include "wisteriareel/budget_sizing.h"

namespace wisteriareel {
namespace {

// Minimum number of requests that the balance of a holder covers before its
// demand is known.
constexpr std::int64_t kMinRequests = 4;

// Returns the expected spend over `period`, at least the worst case of
// kMinRequests requests.
std::int64_t ComputeExpectedSpend(const BudgetDemand& demand,
                                  absl::Duration period) {
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
    return std::min(Tokens(ComputeExpectedSpend(demand, period_)),
                    demand.ungranted);
  }

 private:
  const absl::Duration period_;
};

class HorizonSizing final : public SizingPolicy {
 public:
  explicit HorizonSizing(const HorizonSizingOptions& options)
      : weight_(options.false_refusal_weight),
        horizon_(options.max_outage * options.false_refusal_weight) {}

  // The `limit` is chosen so that, once every holder has its desired balance,
  // all holders together have the share `weight_` of the remaining tokens.
  Tokens DesiredBalance(const BudgetDemand& demand) const override {
    const double share = weight_ / std::max(1, demand.holders);
    const double ratio = share / (1 - weight_ + share);
    const auto ungranted = static_cast<double>(demand.ungranted.value());
    const auto limit = static_cast<std::int64_t>(ratio * ungranted);
    const std::int64_t desired = std::min(
        {ComputeExpectedSpend(demand, horizon_), limit, MaxBalance(demand)});
    // A balance that does not cover a request is better used by other holders.
    return desired < demand.largest_request.value() ? Tokens(0)
                                                    : Tokens(desired);
  }

 private:
  // Returns the balance with which all holders together hold at most the share
  // `weight_` of the remaining tokens, but at least the worst case of
  // kMinRequests requests. Failed holders count until their tokens are
  // reclaimed, so that many failures cannot strand the complete budget.
  std::int64_t MaxBalance(const BudgetDemand& demand) const {
    const Tokens remaining = demand.ungranted + demand.granted_elsewhere;
    const double max_granted = weight_ * static_cast<double>(remaining.value());
    return std::max(kMinRequests * demand.largest_request.value(),
                    static_cast<std::int64_t>(max_granted) -
                        demand.granted_elsewhere.value());
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
