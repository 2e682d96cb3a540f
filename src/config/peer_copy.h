#ifndef WISTERIAREEL_SRC_CONFIG_PEER_COPY_H_
#define WISTERIAREEL_SRC_CONFIG_PEER_COPY_H_

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

// The newest deltas, for peers that lag a little. Not thread-safe.
class RecentDeltas {
 public:
  explicit RecentDeltas(std::size_t limit) : limit_(limit) {}

  // Appends a delta; drops all others if it does not follow the last one.
  void Add(const ConfigDelta& delta);

  // Returns all deltas after `have`, or nullopt if they are not all kept.
  std::optional<std::vector<ConfigDelta>> After(Revision have) const;

 private:
  const std::size_t limit_;
  std::deque<ConfigDelta> deltas_;
};

// Puts together a whole copy that a peer sends in parts. Not thread-safe.
class PeerCopy {
 public:
  explicit PeerCopy(InstanceId source) : source_(std::move(source)) {}

  const InstanceId& source() const { return source_; }

  // Returns the request for the next part.
  ConfigPull NextPull() const;

  // Adds a part. Starts again if the source has moved on to another revision
  // meanwhile. Returns the copy when it is whole and has the stated digest.
  std::shared_ptr<const ImmutableConfigSnapshot> Add(const ConfigChunk& part);

 private:
  InstanceId source_;
  Revision revision_;
  std::vector<VersionedEntry> entries_;
};

// Returns the part of `snapshot` that `pull` asks for.
ConfigChunk PartFor(const ImmutableConfigSnapshot& snapshot,
                    const ConfigPull& pull, std::size_t entries);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_PEER_COPY_H_
