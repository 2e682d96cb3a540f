#ifndef WISTERIAREEL_CONFIG_DELTA_H_
#define WISTERIAREEL_CONFIG_DELTA_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "wisteriareel/config_types.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Puts or removes one entry.
struct EntryChange {
  ConfigKey key;
  std::optional<ConfigValue> value;

  friend bool operator==(const EntryChange&, const EntryChange&) = default;
};

// All that one accepted order changed.
struct ConfigDelta {
  Revision revision;
  OrderId order;
  std::vector<EntryChange> changes;
  // Digest of the whole configuration after the change.
  std::uint64_t digest = 0;

  friend bool operator==(const ConfigDelta&, const ConfigDelta&) = default;
};

// One entry and the revision that last wrote it.
struct VersionedEntry {
  ConfigValue value;
  Revision version;

  friend bool operator==(const VersionedEntry&,
                         const VersionedEntry&) = default;
};

// Returns what the entry at `key`, last written at `version`, contributes to
// the digest of a configuration: the exclusive or over all its entries.
std::uint64_t EntryDigest(const ConfigKey& key, Revision version);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_DELTA_H_
