#include "src/config/pool_index.h"

#include <algorithm>
#include <tuple>
#include <variant>

namespace wisteriareel {
namespace {

bool StartsWith(std::string_view path, const std::string& prefix) {
  return path.substr(0, prefix.size()) == prefix;
}

// Less-than comparison that orders rules from the most to the least specific.
bool IsMoreSpecific(const IdempotencyRule* a, const IdempotencyRule* b) {
  const auto rank = [](const IdempotencyRule* rule) {
    return std::make_tuple(-static_cast<int>(rule->path_prefix.size()),
                           rule->method == "*", rule->idempotent);
  };
  return rank(a) < rank(b);
}

}  // namespace

PoolIndex::PoolIndex(const PersistentMap<VersionedEntry>& pools,
                     const PersistentMap<VersionedEntry>& rules) {
  pools.Visit("", [this](const std::string&, const VersionedEntry& entry) {
    const Pool* pool = std::get_if<Pool>(&entry.value);
    for (const ModelName& model : pool->models) by_model_.emplace(model, pool);
    if (!pool->path_prefix.empty()) by_path_.push_back(pool);
    return true;
  });
  std::stable_sort(by_path_.begin(), by_path_.end(),
                   [](const Pool* a, const Pool* b) {
                     return a->path_prefix.size() > b->path_prefix.size();
                   });
  rules.Visit("", [this](const std::string&, const VersionedEntry& entry) {
    const auto* rule = std::get_if<IdempotencyRule>(&entry.value);
    rules_[rule->pool].push_back(rule);
    return true;
  });
  for (auto& [pool, list] : rules_) {
    std::stable_sort(list.begin(), list.end(), IsMoreSpecific);
  }
}

const Pool* PoolIndex::FindByModel(const ModelName& model) const {
  const auto it = by_model_.find(model);
  return it == by_model_.end() ? nullptr : it->second;
}

const Pool* PoolIndex::FindByPath(std::string_view path) const {
  for (const Pool* pool : by_path_) {
    if (StartsWith(path, pool->path_prefix)) return pool;
  }
  return nullptr;
}

bool PoolIndex::IsIdempotent(const PoolId& pool, std::string_view method,
                             std::string_view path) const {
  const auto it = rules_.find(pool);
  if (it == rules_.end()) return false;
  for (const IdempotencyRule* rule : it->second) {
    if (rule->method != "*" && rule->method != method) continue;
    if (StartsWith(path, rule->path_prefix)) return rule->idempotent;
  }
  return false;
}

}  // namespace wisteriareel
