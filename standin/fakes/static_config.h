#ifndef WISTERIAREEL_STANDIN_FAKES_STATIC_CONFIG_H_
#define WISTERIAREEL_STANDIN_FAKES_STATIC_CONFIG_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriareel/config_snapshot.h"

namespace wisteriareel {

// A configuration built by a test. Must be complete before it is shared.
class StaticSnapshot final : public ConfigSnapshot {
 public:
  void Add(const Customer& customer) { customers_[customer.id] = customer; }
  void Add(const Pool& pool) { pools_[pool.id] = pool; }
  void Add(const IdempotencyRule& rule) { rules_.push_back(rule); }
  void Add(const Target& target) { targets_[target.id] = target; }
  void Remove(const TargetId& target) { targets_.erase(target); }
  void SetRevision(Revision revision) { revision_ = revision; }
  // Builds the lists of targets by pool. Call it after the last change.
  void IndexTargets() {
    by_pool_.clear();
    for (const auto& [id, target] : targets_) {
      by_pool_[target.pool].push_back(&target);
    }
  }

  Revision revision() const override { return revision_; }
  const Customer* FindCustomer(const CustomerId& id) const override {
    return Find(customers_, id);
  }
  const ApiKey* FindKeyByHash(const std::string& /*hash*/) const override {
    return nullptr;
  }
  const Budget* FindBudget(const BudgetId& /*id*/) const override {
    return nullptr;
  }
  const Pool* FindPool(const PoolId& id) const override {
    return Find(pools_, id);
  }
  const Pool* FindPoolForModel(const ModelName& model) const override {
    for (const auto& [id, pool] : pools_) {
      for (const ModelName& served : pool.models) {
        if (served == model) return &pool;
      }
    }
    return nullptr;
  }
  const Pool* FindPoolForPath(std::string_view path) const override {
    const Pool* best = nullptr;
    for (const auto& [id, pool] : pools_) {
      const std::string& prefix = pool.path_prefix;
      if (prefix.empty() || !path.starts_with(prefix)) continue;
      if (best != nullptr && best->path_prefix.size() > prefix.size()) continue;
      best = &pool;
    }
    return best;
  }
  const Target* FindTarget(const TargetId& id) const override {
    return Find(targets_, id);
  }
  const PoolPlan* FindPlan(const PoolId& /*pool*/) const override {
    return nullptr;
  }
  const std::vector<const Target*>& TargetsOf(
      const PoolId& pool) const override {
    static const std::vector<const Target*> none;
    const auto it = by_pool_.find(pool);
    return it == by_pool_.end() ? none : it->second;
  }
  bool IsIdempotent(const PoolId& pool, std::string_view method,
                    std::string_view path) const override {
    const IdempotencyRule* best = nullptr;
    for (const IdempotencyRule& rule : rules_) {
      if (rule.pool != pool || !path.starts_with(rule.path_prefix)) continue;
      if (rule.method != "*" && rule.method != method) continue;
      if (best != nullptr &&
          best->path_prefix.size() > rule.path_prefix.size()) {
        continue;
      }
      best = &rule;
    }
    return best != nullptr && best->idempotent;
  }
  void Visit(
      ConfigKind kind, const std::string& /*after*/,
      const std::function<bool(const ConfigValue&)>& visit) const override {
    if (kind != ConfigKind::kPool) return;
    for (const auto& [id, pool] : pools_) {
      if (!visit(pool)) return;
    }
  }

 private:
  template <typename Map, typename Id>
  static const typename Map::mapped_type* Find(const Map& map, const Id& id) {
    const auto it = map.find(id);
    return it == map.end() ? nullptr : &it->second;
  }

  Revision revision_ = Revision(1);
  std::map<CustomerId, Customer> customers_;
  std::map<PoolId, Pool> pools_;
  std::map<TargetId, Target> targets_;
  std::vector<IdempotencyRule> rules_;
  std::map<PoolId, std::vector<const Target*>> by_pool_;
};

// Returns a given snapshot. Not thread-safe during Replace.
class StaticConfig final : public ConfigView {
 public:
  explicit StaticConfig(std::shared_ptr<const ConfigSnapshot> snapshot)
      : snapshot_(std::move(snapshot)) {}

  void Replace(std::shared_ptr<const ConfigSnapshot> snapshot) {
    snapshot_ = std::move(snapshot);
  }

  std::shared_ptr<const ConfigSnapshot> Current() const override {
    return snapshot_;
  }
  absl::Time ConfirmedAt() const override { return absl::InfiniteFuture(); }

 private:
  std::shared_ptr<const ConfigSnapshot> snapshot_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_STATIC_CONFIG_H_
