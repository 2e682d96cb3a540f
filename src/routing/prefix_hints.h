#ifndef WISTERIAREEL_SRC_ROUTING_PREFIX_HINTS_H_
#define WISTERIAREEL_SRC_ROUTING_PREFIX_HINTS_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Options of a PrefixHints.
struct PrefixHintsOptions {
  // How long a hint is valid after it was last confirmed.
  absl::Duration validity = absl::Seconds(60);
  // Max number of hints in each of the two generations.
  std::size_t max_hints = 4'096;
};

// Maps prompt prefixes to the target that last cached them. The entries are
// only hints: they may be evicted, become stale, and expire. Thread-safe.
class PrefixHints {
 public:
  explicit PrefixHints(const PrefixHintsOptions& options) : options_(options) {}

  PrefixHints(const PrefixHints&) = delete;
  PrefixHints& operator=(const PrefixHints&) = delete;

  void Add(std::uint64_t prefix, const TargetId& target, absl::Time now);

  // Removes the hint for `prefix` if it refers to `target`.
  void Remove(std::uint64_t prefix, const TargetId& target);

  // Invalidates all hints for `target` up to `now`, because events of the
  // target were lost.
  void Invalidate(const TargetId& target, absl::Time now);

  // Returns the target of the valid hint for `prefix`, or nullopt.
  std::optional<TargetId> Find(std::uint64_t prefix, absl::Time now) const;

 private:
  struct Hint {
    TargetId target;
    absl::Time confirmed;
  };
  using Hints = absl::flat_hash_map<std::uint64_t, Hint>;

  const PrefixHintsOptions options_;
  mutable std::mutex mutex_;
  Hints current_;
  Hints previous_;
  absl::flat_hash_map<TargetId, absl::Time> invalidated_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_PREFIX_HINTS_H_
