#ifndef WISTERIAREEL_SRC_CONFIG_PEER_SNAPSHOT_H_
#define WISTERIAREEL_SRC_CONFIG_PEER_SNAPSHOT_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "src/config/config_messages.h"
#include "wisteriareel/config_delta.h"
#include "wisteriareel/config_immutable_snapshot.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A bounded buffer of the newest deltas, for peers that lag by few revisions.
// Not thread-safe.
class RecentDeltas {
 public:
  explicit RecentDeltas(std::size_t limit) : limit_(limit) {}

  // Appends a delta. Drops all others first if there is a gap between them.
  void Add(const ConfigDelta& delta);

  // Returns all deltas after `have`, or nullopt if not all of them are
  // buffered.
  std::optional<std::vector<ConfigDelta>> After(Revision have) const;

 private:
  const std::size_t limit_;
  std::deque<ConfigDelta> deltas_;
};

// Assembles a full snapshot that a peer sends in chunks. Not thread-safe.
class PeerSnapshotBuilder {
 public:
  explicit PeerSnapshotBuilder(InstanceId source)
      : source_(std::move(source)) {}

  const InstanceId& source() const { return source_; }

  // Returns the request for the next chunk.
  ConfigPull NextPull() const;

  // Adds a chunk. Discards the previous ones if the revision of the source has
  // changed in the meantime. Returns the snapshot after the last chunk if its
  // digest matches; null otherwise.
  std::shared_ptr<const ImmutableConfigSnapshot> Add(const ConfigChunk& chunk);

 private:
  InstanceId source_;
  Revision revision_;
  std::vector<VersionedEntry> entries_;
};

// Returns the chunk of `snapshot` that `pull` requests, with up to `entries`
// entries.
ConfigChunk MakeChunk(const ImmutableConfigSnapshot& snapshot,
                      const ConfigPull& pull, std::size_t entries);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_PEER_SNAPSHOT_H_
