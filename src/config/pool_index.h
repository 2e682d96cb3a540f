#ifndef WISTERIAREEL_SRC_CONFIG_POOL_INDEX_H_
#define WISTERIAREEL_SRC_CONFIG_POOL_INDEX_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/config/persistent_map.h"
#include "wisteriareel/config_delta.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Index of pools by model and by path, and of idempotency rules by pool. A
// configuration has few of them, so the index is rebuilt after each change.
// Immutable; holds pointers into the maps that it was built from.
class PoolIndex {
 public:
  PoolIndex() = default;
  PoolIndex(const PersistentMap<VersionedEntry>& pools,
            const PersistentMap<VersionedEntry>& rules);

  // Returns the pool that serves `model`, or null. If there are several,
  // returns the one with the lowest id.
  const Pool* FindByModel(const ModelName& model) const;

  // Returns the service pool with the longest prefix of `path`, or null.
  const Pool* FindByPath(std::string_view path) const;

  // Returns whether the rule with the longest matching prefix declares the
  // request idempotent. A rule for the method takes precedence over one for any
  // method; among equal rules, one that declares it non-idempotent does.
  // Returns false if no rule matches.
  bool IsIdempotent(const PoolId& pool, std::string_view method,
                    std::string_view path) const;

 private:
  absl::flat_hash_map<ModelName, const Pool*> by_model_;
  // Longest prefix first.
  std::vector<const Pool*> by_path_;
  // Most specific rule first.
  absl::flat_hash_map<PoolId, std::vector<const IdempotencyRule*>> rules_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_POOL_INDEX_H_
