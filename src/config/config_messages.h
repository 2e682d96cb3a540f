#ifndef WISTERIAREEL_SRC_CONFIG_CONFIG_MESSAGES_H_
#define WISTERIAREEL_SRC_CONFIG_CONFIG_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wisteriareel/config_delta.h"
#include "wisteriareel/peer_transport.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Announces the revision that the sender has in force.
struct RevisionNotice {
  Revision revision;

  friend bool operator==(const RevisionNotice&,
                         const RevisionNotice&) = default;
};

// Requests the deltas after revision `have`, or, if `full_snapshot` is set, the
// chunk of a full snapshot that starts after the key `after`.
struct ConfigPull {
  Revision have;
  bool full_snapshot = false;
  ConfigKey after;

  friend bool operator==(const ConfigPull&, const ConfigPull&) = default;
};

// Deltas in order of revision, without gaps.
struct ConfigDeltas {
  // Newest revision of the sender.
  Revision newest;
  std::vector<ConfigDelta> deltas;

  friend bool operator==(const ConfigDeltas&, const ConfigDeltas&) = default;
};

// A chunk of a full snapshot: entries in order of key.
struct ConfigChunk {
  Revision revision;
  std::uint64_t digest = 0;
  std::vector<VersionedEntry> entries;
  // Whether this is the last chunk of the snapshot.
  bool last = false;

  friend bool operator==(const ConfigChunk&, const ConfigChunk&) = default;
};

using ConfigMessage =
    std::variant<RevisionNotice, ConfigPull, ConfigDeltas, ConfigChunk>;

PeerMessage EncodeConfigMessage(const ConfigMessage& message);

// Returns nullopt for other kinds of messages and for a malformed payload.
std::optional<ConfigMessage> DecodeConfigMessage(const PeerMessage& message);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_CONFIG_MESSAGES_H_
