#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "src/config/persistent_map.h"
#include "src/config/pool_index.h"
#include "wisteriareel/config_immutable_snapshot.h"

namespace wisteriareel {
namespace {

constexpr std::size_t kKindSlots = 8;

using EntryMap = PersistentMap<VersionedEntry>;
using TargetList = std::vector<const Target*>;

std::size_t SlotOf(ConfigKind kind) { return static_cast<std::size_t>(kind); }

bool IsPoolKind(ConfigKind kind) {
  return kind == ConfigKind::kPool || kind == ConfigKind::kIdempotencyRule;
}

}  // namespace

struct ImmutableConfigSnapshot::State {
  // Targets changed by one delta, by pool.
  using ChangedTargets =
      absl::flat_hash_map<PoolId, absl::flat_hash_set<std::string>>;

  Revision revision;
  std::uint64_t digest = 0;
  std::array<EntryMap, kKindSlots> entries;
  PersistentMap<TargetList> targets_of;
  std::shared_ptr<const PoolIndex> pools = std::make_shared<const PoolIndex>();

  const EntryMap& EntriesOf(ConfigKind kind) const {
    return entries[SlotOf(kind)];
  }

  template <typename T>
  const T* Find(ConfigKind kind, const std::string& id) const {
    const VersionedEntry* entry = EntriesOf(kind).Find(id);
    return entry == nullptr ? nullptr : std::get_if<T>(&entry->value);
  }

  void RecordChangedTarget(const ConfigKey& key,
                           ChangedTargets* changed) const {
    if (key.kind != ConfigKind::kTarget) return;
    const Target* target = Find<Target>(key.kind, key.id);
    if (target != nullptr) (*changed)[target->pool].insert(key.id);
  }

  void Remove(const ConfigKey& key, ChangedTargets* changed) {
    EntryMap& map = entries[SlotOf(key.kind)];
    const VersionedEntry* old = map.Find(key.id);
    if (old == nullptr) return;
    RecordChangedTarget(key, changed);
    digest ^= EntryDigest(key, old->version);
    map.Erase(key.id);
  }

  void Put(const VersionedEntry& entry, ChangedTargets* changed) {
    const ConfigKey key = KeyOf(entry.value);
    EntryMap& map = entries[SlotOf(key.kind)];
    if (const VersionedEntry* old = map.Find(key.id); old != nullptr) {
      RecordChangedTarget(key, changed);
      digest ^= EntryDigest(key, old->version);
    }
    digest ^= EntryDigest(key, entry.version);
    map.Put(key.id, std::make_shared<const VersionedEntry>(entry));
    RecordChangedTarget(key, changed);
  }

  // Rebuilds the indexes that depend on the changed entries.
  void Reindex(const ChangedTargets& changed, bool pools_changed) {
    for (const auto& [pool, ids] : changed) ReindexTargets(pool, ids);
    if (!pools_changed) return;
    pools = std::make_shared<const PoolIndex>(
        EntriesOf(ConfigKind::kPool), EntriesOf(ConfigKind::kIdempotencyRule));
  }

  void ReindexTargets(const PoolId& pool,
                      const absl::flat_hash_set<std::string>& ids) {
    auto list = std::make_shared<TargetList>();
    if (const TargetList* old = targets_of.Find(pool.value()); old != nullptr) {
      for (const Target* target : *old) {
        // A changed target may have been removed, but the snapshot that this
        // one is derived from still owns it.
        if (!ids.contains(target->id.value())) list->push_back(target);
      }
    }
    for (const std::string& id : ids) {
      const auto* target = Find<Target>(ConfigKind::kTarget, id);
      if (target != nullptr && target->pool == pool) list->push_back(target);
    }
    std::sort(list->begin(), list->end(),
              [](const Target* a, const Target* b) { return a->id < b->id; });
    targets_of.Put(pool.value(), std::move(list));
  }
};

ImmutableConfigSnapshot::ImmutableConfigSnapshot()
    : ImmutableConfigSnapshot(std::make_unique<const State>()) {}

ImmutableConfigSnapshot::ImmutableConfigSnapshot(
    std::unique_ptr<const State> state)
    : state_(std::move(state)) {}

ImmutableConfigSnapshot::~ImmutableConfigSnapshot() = default;

std::shared_ptr<const ImmutableConfigSnapshot> ImmutableConfigSnapshot::Apply(
    const ConfigDelta& delta) const {
  if (delta.revision != revision().Next()) return nullptr;
  auto next = std::make_unique<State>(*state_);
  next->revision = delta.revision;
  State::ChangedTargets changed;
  bool pools_changed = false;
  for (const EntryChange& change : delta.changes) {
    pools_changed = pools_changed || IsPoolKind(change.key.kind);
    if (!change.value) {
      next->Remove(change.key, &changed);
      continue;
    }
    next->Put(VersionedEntry{*change.value, delta.revision}, &changed);
  }
  if (next->digest != delta.digest) return nullptr;
  next->Reindex(changed, pools_changed);
  return std::shared_ptr<const ImmutableConfigSnapshot>(
      new ImmutableConfigSnapshot(std::move(next)));
}

std::shared_ptr<const ImmutableConfigSnapshot> ImmutableConfigSnapshot::Build(
    Revision revision, const std::vector<VersionedEntry>& entries) {
  auto state = std::make_unique<State>();
  state->revision = revision;
  State::ChangedTargets changed;
  for (const VersionedEntry& entry : entries) state->Put(entry, &changed);
  state->Reindex(changed, true);
  return std::shared_ptr<const ImmutableConfigSnapshot>(
      new ImmutableConfigSnapshot(std::move(state)));
}

std::uint64_t ImmutableConfigSnapshot::digest() const { return state_->digest; }

std::size_t ImmutableConfigSnapshot::size() const {
  std::size_t n = 0;
  for (const EntryMap& map : state_->entries) n += map.size();
  return n;
}

const VersionedEntry* ImmutableConfigSnapshot::FindEntry(
    const ConfigKey& key) const {
  return state_->EntriesOf(key.kind).Find(key.id);
}

std::vector<VersionedEntry> ImmutableConfigSnapshot::EntriesAfter(
    const ConfigKey& after, std::size_t limit) const {
  std::vector<VersionedEntry> found;
  const std::size_t first = SlotOf(after.kind);
  for (std::size_t slot = first; slot < kKindSlots; ++slot) {
    state_->entries[slot].Visit(
        slot == first ? after.id : "",
        [&](const std::string&, const VersionedEntry& entry) {
          if (found.size() == limit) return false;
          found.push_back(entry);
          return true;
        });
  }
  return found;
}

Revision ImmutableConfigSnapshot::revision() const { return state_->revision; }

const Customer* ImmutableConfigSnapshot::FindCustomer(
    const CustomerId& id) const {
  return state_->Find<Customer>(ConfigKind::kCustomer, id.value());
}

const ApiKey* ImmutableConfigSnapshot::FindKeyByHash(
    const std::string& hash) const {
  return state_->Find<ApiKey>(ConfigKind::kApiKey, hash);
}

const Budget* ImmutableConfigSnapshot::FindBudget(const BudgetId& id) const {
  return state_->Find<Budget>(ConfigKind::kBudget, id.value());
}

const Pool* ImmutableConfigSnapshot::FindPool(const PoolId& id) const {
  return state_->Find<Pool>(ConfigKind::kPool, id.value());
}

const Pool* ImmutableConfigSnapshot::FindPoolForModel(
    const ModelName& model) const {
  return state_->pools->FindByModel(model);
}

const Pool* ImmutableConfigSnapshot::FindPoolForPath(
    std::string_view path) const {
  return state_->pools->FindByPath(path);
}

const Target* ImmutableConfigSnapshot::FindTarget(const TargetId& id) const {
  return state_->Find<Target>(ConfigKind::kTarget, id.value());
}

const PoolPlan* ImmutableConfigSnapshot::FindPlan(const PoolId& pool) const {
  return state_->Find<PoolPlan>(ConfigKind::kPoolPlan, pool.value());
}

const std::vector<const Target*>& ImmutableConfigSnapshot::TargetsOf(
    const PoolId& pool) const {
  static const TargetList none;
  const TargetList* list = state_->targets_of.Find(pool.value());
  return list == nullptr ? none : *list;
}

bool ImmutableConfigSnapshot::IsIdempotent(const PoolId& pool,
                                           std::string_view method,
                                           std::string_view path) const {
  return state_->pools->IsIdempotent(pool, method, path);
}

void ImmutableConfigSnapshot::Visit(
    ConfigKind kind, const std::string& after,
    const std::function<bool(const ConfigValue&)>& visit) const {
  state_->EntriesOf(kind).Visit(
      after, [&](const std::string&, const VersionedEntry& entry) {
        return visit(entry.value);
      });
}

}  // namespace wisteriareel
