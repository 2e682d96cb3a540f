#ifndef WISTERIAREEL_CONFIG_DELTA_H_
#define WISTERIAREEL_CONFIG_DELTA_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "wisteriareel/config_types.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Writes or removes one entry.
struct EntryChange {
  ConfigKey key;
  // The new value; nullopt removes the entry.
  std::optional<ConfigValue> value;

  friend bool operator==(const EntryChange&, const EntryChange&) = default;
};

// All changes of one accepted change order.
struct ConfigDelta {
  Revision revision;
  OrderId order;
  std::vector<EntryChange> changes;
  // Digest of the complete configuration after the change.
  std::uint64_t digest = 0;

  friend bool operator==(const ConfigDelta&, const ConfigDelta&) = default;
};

// An entry and the revision at which it was last written.
struct VersionedEntry {
  ConfigValue value;
  Revision version;

  friend bool operator==(const VersionedEntry&,
                         const VersionedEntry&) = default;
};

// Returns the digest of the entry at `key`, last written at `version`. The
// digest of a configuration is the exclusive or of its entries' digests.
std::uint64_t EntryDigest(const ConfigKey& key, Revision version);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_DELTA_H_
