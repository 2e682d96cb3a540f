#include "src/config/peer_copy.h"

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

ConfigPull PeerCopy::NextPull() const {
  ConfigPull pull{.whole = true};
  if (!entries_.empty()) pull.after = KeyOf(entries_.back().value);
  return pull;
}

std::shared_ptr<const ImmutableConfigSnapshot> PeerCopy::Add(
    const ConfigChunk& part) {
  if (!entries_.empty() && part.revision != revision_) {
    entries_.clear();
    return nullptr;
  }
  revision_ = part.revision;
  entries_.insert(entries_.end(), part.entries.begin(), part.entries.end());
  if (!part.last) return nullptr;
  auto copy = Assemble(entries_, {}, {part.revision, part.digest});
  entries_.clear();
  return copy;
}

ConfigChunk PartFor(const ImmutableConfigSnapshot& snapshot,
                    const ConfigPull& pull, std::size_t entries) {
  ConfigChunk part{.revision = snapshot.revision(),
                   .digest = snapshot.digest(),
                   .entries = snapshot.EntriesAfter(pull.after, entries)};
  part.last = part.entries.size() < entries;
  return part;
}

}  // namespace wisteriareel
