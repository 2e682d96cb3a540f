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

// Finds pools by model and path, and rules by pool. Built from the few pools
// and rules of a configuration. Immutable; points into the trees that it was
// built from.
class PoolIndex {
 public:
  PoolIndex() = default;
  PoolIndex(const PersistentMap<VersionedEntry>& pools,
            const PersistentMap<VersionedEntry>& rules);

  // Returns the pool that serves `model`; of several the one with the lowest
  // id. Null if there is none.
  const Pool* ForModel(const ModelName& model) const;

  // Returns the service pool with the longest prefix of `path`, or null.
  const Pool* ForPath(std::string_view path) const;

  // Returns whether the rule with the longest matching prefix calls the
  // request idempotent. A rule for the method goes before one for any method;
  // between equals the one that says no wins. False without a rule.
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
