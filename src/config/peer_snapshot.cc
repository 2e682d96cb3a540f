#include "src/config/peer_snapshot.h"

#include "src/config/config_reader.h"

namespace wisteriareel {

void RecentDeltas::Add(const ConfigDelta& delta) {
  if (!deltas_.empty() && deltas_.back().revision.Next() != delta.revision) {
    deltas_.clear();
  }
  deltas_.push_back(delta);
  if (deltas_.size() > limit_) deltas_.pop_front();
}

std::optional<std::vector<ConfigDelta>> RecentDeltas::After(
    Revision have) const {
  if (deltas_.empty()) return std::nullopt;
  const Revision first = deltas_.front().revision;
  const Revision last = deltas_.back().revision;
  if (have.Next() < first || have > last) return std::nullopt;
  const auto skipped =
      static_cast<std::ptrdiff_t>(have.Next().value() - first.value());
  return std::vector<ConfigDelta>(deltas_.begin() + skipped, deltas_.end());
}

ConfigPull PeerSnapshotBuilder::NextPull() const {
  ConfigPull pull{.full_snapshot = true};
  if (!entries_.empty()) pull.after = KeyOf(entries_.back().value);
  return pull;
}

std::shared_ptr<const ImmutableConfigSnapshot> PeerSnapshotBuilder::Add(
    const ConfigChunk& chunk) {
  if (!entries_.empty() && chunk.revision != revision_) {
    entries_.clear();
    return nullptr;
  }
  revision_ = chunk.revision;
  entries_.insert(entries_.end(), chunk.entries.begin(), chunk.entries.end());
  if (!chunk.last) return nullptr;
  auto snapshot =
      AssembleSnapshot(entries_, {}, {chunk.revision, chunk.digest});
  entries_.clear();
  return snapshot;
}

ConfigChunk MakeChunk(const ImmutableConfigSnapshot& snapshot,
                      const ConfigPull& pull, std::size_t entries) {
  ConfigChunk chunk{.revision = snapshot.revision(),
                    .digest = snapshot.digest(),
                    .entries = snapshot.EntriesAfter(pull.after, entries)};
  chunk.last = chunk.entries.size() < entries;
  return chunk;
}

}  // namespace wisteriareel
