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

struct PrefixHintsOptions {
  // A hint counts for this long after it was last confirmed.
  absl::Duration validity = absl::Seconds(60);
  // Hints kept, in each of two generations.
  std::size_t max_hints = 4'096;
};

// Where the beginnings of prompts were last seen in a cache. Hints only: they
// are lost, outlive what they point at, and decay. Thread-safe.
class PrefixHints {
 public:
  explicit PrefixHints(const PrefixHintsOptions& options) : options_(options) {}

  PrefixHints(const PrefixHints&) = delete;
  PrefixHints& operator=(const PrefixHints&) = delete;

  void Add(std::uint64_t prefix, const TargetId& target, absl::Time now);

  // Forgets that `target` keeps the prefix.
  void Remove(std::uint64_t prefix, const TargetId& target);

  // Distrusts all that was remembered of `target` until `now`: events of it
  // were lost.
  void Invalidate(const TargetId& target, absl::Time now);

  // Returns the target that was last known to keep the prefix.
  std::optional<TargetId> Find(std::uint64_t prefix, absl::Time now) const;

 private:
  struct Hint {
    TargetId target;
    absl::Time seen;
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
