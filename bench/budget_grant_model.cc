#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/budget_models.h"
#include "src/budget/budget_snapshot.h"
#include "test/budget_fleet.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(1);

class GrantModel final : public BudgetModel {
 public:
  GrantModel(const Deployment& deployment, const SizingPolicy* policy)
      : deployment_(deployment), policy_(policy) {
    for (int i = 0; i < deployment.instances; ++i) {
      BudgetInstance instance;
      instance.clock =
          std::make_unique<SkewedClock>(&clock_, absl::Seconds(i), 1);
      instance.link = std::make_unique<PlatformLink>(&table_, &store_);
      instances_.push_back(std::move(instance));
      Replace(i);
    }
  }

  std::optional<Reservation> TryReserve(int instance, int budget,
                                        std::int64_t worst_case) override {
    LastReason reason;
    GrantManager& manager = At(instance).process->manager;
    const RequestId request = ids_.Next();
    auto reservation = manager.Reserve(Id(budget), request, Tokens(worst_case),
                                       absl::InfinitePast(), &reason);
    if (reservation) return reservation;
    manager.Step();
    return manager.Reserve(Id(budget), request, Tokens(worst_case),
                           absl::InfinitePast(), &reason);
  }

  void Settle(int instance, const Reservation& reservation,
              std::int64_t billed) override {
    const absl::Time now = At(instance).clock->Now();
    At(instance).process->manager.Settle(
        reservation, RequestRecord{.request = reservation.request,
                                   .billed = Tokens(billed),
                                   .started = now,
                                   .finished = now});
  }

  bool TopUp(int budget, std::int64_t amount) override {
    const bool all_cut =
        std::all_of(instances_.begin(), instances_.end(),
                    [](const BudgetInstance& at) { return at.link->cut; });
    if (all_cut) return false;
    LastReason reason;
    const OrderId order(absl::StrCat("t", ++orders_));
    return admin_
        .TopUp(Id(budget), order, Tokens(amount), "op", kTimeout, &reason)
        .has_value();
  }

  void SetCut(int instance, bool cut) override { At(instance).link->cut = cut; }
  void Kill(int instance) override { At(instance).process.reset(); }

  void Replace(int instance) override {
    const GrantManagerOptions options{
        .instance = InstanceId(absl::StrCat("i", instance)),
        .account_buckets = 16,
        .holders = deployment_.instances};
    At(instance).process = std::make_unique<BudgetProcess>(
        options, At(instance).link.get(), policy_, At(instance).clock.get(),
        random_.get());
  }

  void Tick() override {
    clock_.Advance(absl::Seconds(1));
    ++seconds_;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (!instances_[i].process) continue;
      BudgetProcess& process = *instances_[i].process;
      if ((seconds_ + i) % 5 == 0) process.journal.Step();
      if ((seconds_ + i) % 2 != 0) continue;
      for (int n = 0; n < 4; ++n) {
        if (process.manager.Step() != absl::ZeroDuration()) break;
      }
    }
  }

  std::int64_t HeldAt(int instance, int budget) override {
    if (!At(instance).process) return 0;
    return At(instance)
        .process->manager.BalanceOf(Id(budget))
        .spendable.value();
  }

  std::int64_t Ungranted(int budget) override {
    LastReason reason;
    const auto snapshots =
        ReadBudgetSnapshots(&table_, {Id(budget)}, {0}, kTimeout, &reason);
    return snapshots->front() ? snapshots->front()->Ungranted().value() : 0;
  }

  std::uint64_t TableWrites() override { return table_.commits(); }

 private:
  BudgetInstance& At(int n) { return instances_[static_cast<std::size_t>(n)]; }
  static BudgetId Id(int budget) { return BudgetId(absl::StrCat("b", budget)); }

  const Deployment deployment_;
  const SizingPolicy* const policy_;
  ManualClock clock_;
  MemoryTable table_;
  MemoryObjectStore store_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(5);
  RequestIdGenerator ids_{InstanceId("ids"), &clock_, random_.get()};
  TableBudgetAdmin admin_{{}, &table_, &clock_};
  std::vector<BudgetInstance> instances_;
  std::uint64_t orders_ = 0;
  std::size_t seconds_ = 0;
};

}  // namespace

std::unique_ptr<BudgetModel> MakeGrantModel(const Deployment& deployment,
                                            const SizingPolicy* policy) {
  return std::make_unique<GrantModel>(deployment, policy);
}

}  // namespace wisteriareel
