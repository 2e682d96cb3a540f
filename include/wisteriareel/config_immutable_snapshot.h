#ifndef WISTERIAREEL_CONFIG_IMMUTABLE_SNAPSHOT_H_
#define WISTERIAREEL_CONFIG_IMMUTABLE_SNAPSHOT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriareel/config_delta.h"
#include "wisteriareel/config_snapshot.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A persistent configuration snapshot: it shares structure with the snapshot
// that it was derived from, so a change takes time logarithmic in the number
// of entries. Immutable and thread-safe.
class ImmutableConfigSnapshot final : public ConfigSnapshot {
 public:
  // Creates the empty configuration at revision zero.
  ImmutableConfigSnapshot();
  ~ImmutableConfigSnapshot() override;

  ImmutableConfigSnapshot(const ImmutableConfigSnapshot&) = delete;
  ImmutableConfigSnapshot& operator=(const ImmutableConfigSnapshot&) = delete;

  // Returns this configuration with `delta` applied. Returns null if the
  // revision of `delta` is not the next one, or if the resulting digest differs
  // from the one in `delta`.
  std::shared_ptr<const ImmutableConfigSnapshot> Apply(
      const ConfigDelta& delta) const;

  // Returns the configuration at `revision` that consists of `entries`.
  static std::shared_ptr<const ImmutableConfigSnapshot> Build(
      Revision revision, const std::vector<VersionedEntry>& entries);

  // Returns the digest over all entries and their versions.
  std::uint64_t digest() const;

  // Returns the number of entries.
  std::size_t size() const;

  // Returns the entry at `key`, or null.
  const VersionedEntry* FindEntry(const ConfigKey& key) const;

  // Returns up to `limit` entries with key > `after`, in order of key.
  std::vector<VersionedEntry> EntriesAfter(const ConfigKey& after,
                                           std::size_t limit) const;

  Revision revision() const override;
  const Customer* FindCustomer(const CustomerId& id) const override;
  const ApiKey* FindKeyByHash(const std::string& hash) const override;
  const Budget* FindBudget(const BudgetId& id) const override;
  const Pool* FindPool(const PoolId& id) const override;
  const Pool* FindPoolForModel(const ModelName& model) const override;
  const Pool* FindPoolForPath(std::string_view path) const override;
  const Target* FindTarget(const TargetId& id) const override;
  const PoolPlan* FindPlan(const PoolId& pool) const override;
  const std::vector<const Target*>& TargetsOf(
      const PoolId& pool) const override;
  bool IsIdempotent(const PoolId& pool, std::string_view method,
                    std::string_view path) const override;
  void Visit(
      ConfigKind kind, const std::string& after,
      const std::function<bool(const ConfigValue&)>& visit) const override;

 private:
  struct State;

  explicit ImmutableConfigSnapshot(std::unique_ptr<const State> state);

  const std::unique_ptr<const State> state_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_IMMUTABLE_SNAPSHOT_H_
