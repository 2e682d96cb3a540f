#include <algorithm>
#include <vector>

#include "bench/budget_models.h"

namespace wisteriareel {
namespace {

// State of one instance, common to both baselines.
struct BaselineInstance {
  bool cut = false;
  bool alive = true;
};

class PerRequestModel final : public BudgetModel {
 public:
  explicit PerRequestModel(const Deployment& deployment)
      : instances_(static_cast<std::size_t>(deployment.instances)),
        left_(kExperimentBudgets) {}

  std::optional<Reservation> TryReserve(int instance, int budget,
                                        std::int64_t worst_case) override {
    ++writes_;
    if (At(instance).cut || Left(budget) < worst_case) return std::nullopt;
    Left(budget) -= worst_case;
    return Reservation{.amount = Tokens(worst_case),
                       .grant = static_cast<std::uint64_t>(budget)};
  }

  // A real instance would retry a settlement until the platform is available
  // again, so an outage delays settlements but loses none.
  void Settle(int /*instance*/, const Reservation& reservation,
              std::int64_t billed) override {
    ++writes_;
    Left(static_cast<int>(reservation.grant)) +=
        reservation.amount.value() - billed;
  }

  bool TopUp(int budget, std::int64_t amount) override {
    if (AllCut()) return false;
    Left(budget) += amount;
    return true;
  }

  void SetCut(int instance, bool cut) override { At(instance).cut = cut; }
  void Kill(int) override {}
  void Replace(int) override {}
  void Tick() override {}
  std::int64_t HeldAt(int, int) override { return 0; }
  std::int64_t Ungranted(int budget) override { return Left(budget); }
  std::uint64_t TableWrites() override { return writes_; }

 private:
  BaselineInstance& At(int n) {
    return instances_[static_cast<std::size_t>(n)];
  }
  std::int64_t& Left(int budget) {
    return left_[static_cast<std::size_t>(budget)];
  }
  bool AllCut() const {
    return std::all_of(instances_.begin(), instances_.end(),
                       [](const BaselineInstance& at) { return at.cut; });
  }

  std::vector<BaselineInstance> instances_;
  std::vector<std::int64_t> left_;
  std::uint64_t writes_ = 0;
};

class StaticShareModel final : public BudgetModel {
 public:
  explicit StaticShareModel(const Deployment& deployment)
      : instances_(static_cast<std::size_t>(deployment.instances)) {}

  std::optional<Reservation> TryReserve(int instance, int budget,
                                        std::int64_t worst_case) override {
    std::int64_t& left = At(instance).left[budget];
    if (left < worst_case) return std::nullopt;
    left -= worst_case;
    return Reservation{.amount = Tokens(worst_case),
                       .grant = static_cast<std::uint64_t>(budget)};
  }

  void Settle(int instance, const Reservation& reservation,
              std::int64_t billed) override {
    At(instance).left[reservation.grant] += reservation.amount.value() - billed;
  }

  // An instance that is cut off gets its share once it is connected again.
  bool TopUp(int budget, std::int64_t amount) override {
    bool any = false;
    for (const Share& share : instances_) any |= !share.state.cut;
    if (!any) return false;
    ++writes_;
    const auto n = static_cast<std::int64_t>(instances_.size());
    for (Share& share : instances_) {
      (share.state.cut ? share.due : share.left)[budget] += amount / n;
    }
    return true;
  }

  void SetCut(int instance, bool cut) override {
    Share& share = At(instance);
    share.state.cut = cut;
    if (!cut) Collect(&share);
  }

  // The share of a failed instance may have been spent, so it is lost.
  void Kill(int instance) override {
    std::fill(std::begin(At(instance).left), std::end(At(instance).left), 0);
  }
  void Replace(int) override {}
  void Tick() override {}
  std::int64_t HeldAt(int instance, int budget) override {
    return At(instance).left[budget];
  }
  std::int64_t Ungranted(int) override { return 0; }
  std::uint64_t TableWrites() override { return writes_; }

 private:
  struct Share {
    BaselineInstance state;
    std::int64_t left[kExperimentBudgets] = {};
    std::int64_t due[kExperimentBudgets] = {};
  };

  Share& At(int n) { return instances_[static_cast<std::size_t>(n)]; }
  static void Collect(Share* share) {
    for (int i = 0; i < kExperimentBudgets; ++i) {
      share->left[i] += share->due[i];
      share->due[i] = 0;
    }
  }

  std::vector<Share> instances_;
  std::uint64_t writes_ = 0;
};

}  // namespace

std::unique_ptr<BudgetModel> MakePerRequestModel(const Deployment& deployment) {
  return std::make_unique<PerRequestModel>(deployment);
}

std::unique_ptr<BudgetModel> MakeStaticShareModel(
    const Deployment& deployment) {
  return std::make_unique<StaticShareModel>(deployment);
}

}  // namespace wisteriareel
