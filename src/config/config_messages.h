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

// Says which revision the sender has in force.
struct RevisionNotice {
  Revision revision;

  friend bool operator==(const RevisionNotice&,
                         const RevisionNotice&) = default;
};

// Asks for what follows `have`, or for the part of a whole copy that follows
// `after`.
struct ConfigPull {
  Revision have;
  bool whole = false;
  ConfigKey after;

  friend bool operator==(const ConfigPull&, const ConfigPull&) = default;
};

// Deltas in order of revision, without gaps.
struct ConfigDeltas {
  // Newest revision at the sender.
  Revision newest;
  std::vector<ConfigDelta> deltas;

  friend bool operator==(const ConfigDeltas&, const ConfigDeltas&) = default;
};

// A part of a whole copy: entries in order of key.
struct ConfigChunk {
  Revision revision;
  std::uint64_t digest = 0;
  std::vector<VersionedEntry> entries;
  bool last = false;

  friend bool operator==(const ConfigChunk&, const ConfigChunk&) = default;
};

using ConfigMessage =
    std::variant<RevisionNotice, ConfigPull, ConfigDeltas, ConfigChunk>;

PeerMessage EncodeConfigMessage(const ConfigMessage& message);

// Returns nullopt for another kind or a malformed payload.
std::optional<ConfigMessage> DecodeConfigMessage(const PeerMessage& message);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_CONFIG_MESSAGES_H_
