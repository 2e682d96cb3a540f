#ifndef WISTERIAREEL_TEST_RPC_FAKES_H_
#define WISTERIAREEL_TEST_RPC_FAKES_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/rpc/drain_control.h"
#include "wisteriareel/budget_manager.h"
#include "wisteriareel/claim_admin.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/config_store.h"
#include "wisteriareel/request_record.h"

// In-memory fakes of the dependencies of the operator calls.
namespace wisteriareel {

using FakeEntries = std::map<ConfigKey, EntryVersion>;

class FakeSnapshot final : public ConfigSnapshot {
 public:
  FakeSnapshot(FakeEntries entries, Revision revision)
      : entries_(std::move(entries)), revision_(revision) {
    for (const auto& [key, entry] : entries_) {
      if (const auto* target = std::get_if<Target>(&*entry.value)) {
        targets_[target->pool].push_back(target);
      }
    }
  }

  Revision revision() const override { return revision_; }
  const Customer* FindCustomer(const CustomerId& id) const override {
    return Find<Customer>(ConfigKind::kCustomer, id.value());
  }
  const ApiKey* FindKeyByHash(const std::string& hash) const override {
    return Find<ApiKey>(ConfigKind::kApiKey, hash);
  }
  const Budget* FindBudget(const BudgetId& id) const override {
    return Find<Budget>(ConfigKind::kBudget, id.value());
  }
  const Pool* FindPool(const PoolId& id) const override {
    return Find<Pool>(ConfigKind::kPool, id.value());
  }
  const Pool* FindPoolForModel(const ModelName& model) const override {
    for (const auto& [key, entry] : entries_) {
      const auto* pool = std::get_if<Pool>(&*entry.value);
      if (pool == nullptr) continue;
      for (const ModelName& it : pool->models) {
        if (it == model) return pool;
      }
    }
    return nullptr;
  }
  const Pool* FindPoolForPath(std::string_view) const override {
    return nullptr;
  }
  const Target* FindTarget(const TargetId& id) const override {
    return Find<Target>(ConfigKind::kTarget, id.value());
  }
  const PoolPlan* FindPlan(const PoolId& pool) const override {
    return Find<PoolPlan>(ConfigKind::kPoolPlan, pool.value());
  }
  const std::vector<const Target*>& TargetsOf(
      const PoolId& pool) const override {
    static const std::vector<const Target*> none;
    const auto it = targets_.find(pool);
    return it == targets_.end() ? none : it->second;
  }
  bool IsIdempotent(const PoolId&, std::string_view,
                    std::string_view) const override {
    return false;
  }
  void Visit(
      ConfigKind kind, const std::string& after,
      const std::function<bool(const ConfigValue&)>& visit) const override {
    for (auto it = entries_.upper_bound({kind, after}); it != entries_.end();
         ++it) {
      if (it->first.kind != kind || !visit(*it->second.value)) return;
    }
  }

 private:
  template <typename Value>
  const Value* Find(ConfigKind kind, const std::string& id) const {
    const auto it = entries_.find({kind, id});
    return it == entries_.end() ? nullptr
                                : std::get_if<Value>(&*it->second.value);
  }

  const FakeEntries entries_;
  const Revision revision_;
  std::map<PoolId, std::vector<const Target*>> targets_;
};

// In-memory configuration that can lose replies. Thread-safe.
class FakeConfig final : public ConfigStore, public ConfigView {
 public:
  // Applies the next `count` orders and fails with kPlatformReplyLost.
  void LoseReplies(int count) {
    std::lock_guard<std::mutex> lock(mutex_);
    lose_replies_ = count;
  }

  std::optional<AcceptedOrder> Apply(const ChangeOrder& order, absl::Duration,
                                     LastReason* reason) override {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto known = orders_.find(order.order);
    if (known != orders_.end()) return AcceptedOrder{known->second, true};
    for (const ConfigChange& it : order.changes) {
      const auto found = entries_.find(it.key);
      const std::uint64_t version =
          found == entries_.end() ? 0 : found->second.version;
      if (it.expected_version.value_or(version) == version) continue;
      reason->Set(Reason::kConflict, absl::StrCat("at version ", version));
      return std::nullopt;
    }
    revision_ = revision_.Next();
    for (const ConfigChange& it : order.changes) {
      entries_.erase(it.key);
      if (it.value) entries_[it.key] = {revision_.value(), it.value};
    }
    orders_[order.order] = revision_;
    if (lose_replies_ > 0) {
      --lose_replies_;
      reason->Set(Reason::kPlatformReplyLost, "lost");
      return std::nullopt;
    }
    return AcceptedOrder{revision_, false};
  }

  std::optional<EntryVersion> ReadEntry(const ConfigKey& key, absl::Duration,
                                        LastReason*) override {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto it = entries_.find(key);
    return it == entries_.end() ? EntryVersion{} : it->second;
  }

  std::vector<RolloutLine> Rollout() const override {
    return {{InstanceId("entry-2"), ZoneId("a"), Revision(1),
             absl::Milliseconds(1500)}};
  }

  std::vector<RolloutLine> AwaitRollout(Revision revision,
                                        absl::Duration) override {
    if (revision <= Revision(1)) return {};
    return Rollout();
  }

  std::shared_ptr<const ConfigSnapshot> Current() const override {
    std::lock_guard<std::mutex> lock(mutex_);
    return std::make_shared<FakeSnapshot>(entries_, revision_);
  }

  absl::Time ConfirmedAt() const override { return absl::InfinitePast(); }

 private:
  mutable std::mutex mutex_;
  int lose_replies_ = 0;
  Revision revision_;
  FakeEntries entries_;
  std::map<OrderId, Revision> orders_;
};

// In-memory top-ups, summed over all budgets. Thread-safe.
class FakeBudgetAdmin final : public BudgetAdmin {
 public:
  std::optional<BudgetStatus> TopUp(const BudgetId& budget,
                                    const OrderId& order, Tokens amount,
                                    const std::string& operator_name,
                                    absl::Duration, LastReason*) override {
    std::lock_guard<std::mutex> lock(mutex_);
    if (orders_.insert(order).second) {
      top_ups_.push_back({order, amount, operator_name, absl::UnixEpoch()});
      total_ += amount;
    }
    return BudgetStatus{.budget = budget, .topped_up = total_};
  }
  std::optional<BudgetStatus> Status(const BudgetId& budget, absl::Duration,
                                     LastReason*) override {
    std::lock_guard<std::mutex> lock(mutex_);
    return BudgetStatus{.budget = budget, .topped_up = total_};
  }
  std::optional<std::vector<AcceptedTopUp>> History(const BudgetId&,
                                                    absl::Duration,
                                                    LastReason*) override {
    std::lock_guard<std::mutex> lock(mutex_);
    return top_ups_;
  }

 private:
  std::mutex mutex_;
  std::set<OrderId> orders_;
  std::vector<AcceptedTopUp> top_ups_;
  Tokens total_;
};

// Serves a fixed list of records.
class FakeRecordReader final : public RecordReader {
 public:
  explicit FakeRecordReader(std::vector<RequestRecord> records)
      : records_(std::move(records)) {}

  std::optional<RequestRecord> Find(const RequestId& request, absl::Duration,
                                    LastReason* reason) override {
    for (const RequestRecord& it : records_) {
      if (it.request == request) return it;
    }
    reason->Set(Reason::kNotFound, request.value());
    return std::nullopt;
  }
  std::optional<std::vector<RequestRecord>> Range(absl::Time from,
                                                  absl::Time to, absl::Duration,
                                                  LastReason*) override {
    std::vector<RequestRecord> found;
    for (const RequestRecord& it : records_) {
      if (it.finished >= from && it.finished < to) found.push_back(it);
    }
    return found;
  }

 private:
  const std::vector<RequestRecord> records_;
};

// Serves a fixed list of claims and records the last resolution.
class FakeClaimAdmin final : public ClaimAdmin {
 public:
  explicit FakeClaimAdmin(std::vector<ClaimInfo> claims)
      : claims_(std::move(claims)) {}

  std::optional<std::vector<ClaimInfo>> ListOpenClaims(const std::string& after,
                                                       int limit,
                                                       absl::Duration,
                                                       LastReason*) override {
    std::vector<ClaimInfo> found;
    for (const ClaimInfo& it : claims_) {
      if (it.position <= after) continue;
      if (static_cast<int>(found.size()) == limit) break;
      found.push_back(it);
    }
    return found;
  }
  bool Resolve(const CustomerId&, const IdempotencyKey& key,
               ClaimResolution resolution, const std::string& operator_name,
               absl::Duration, LastReason* reason) override {
    for (const ClaimInfo& it : claims_) {
      if (it.key != key) continue;
      if (it.state != ClaimState::kInDoubt) {
        reason->Set(Reason::kClaimHeldElsewhere, "held");
        return false;
      }
      resolved_ = absl::StrCat(operator_name, " ", key.value(), " ",
                               static_cast<int>(resolution));
      return true;
    }
    reason->Set(Reason::kNotFound, key.value());
    return false;
  }

  const std::string& resolved() const { return resolved_; }

 private:
  const std::vector<ClaimInfo> claims_;
  std::string resolved_;
};

class FakeDrainControl final : public DrainControl {
 public:
  void RequestDrain() override { draining_ = true; }
  DrainProgress Progress() const override {
    return {.draining = draining_, .requests_in_flight = 3};
  }

 private:
  std::atomic<bool> draining_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_RPC_FAKES_H_
