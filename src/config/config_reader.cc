#include "src/config/config_reader.h"

#include <algorithm>
#include <map>
#include <string>

#include "absl/strings/str_cat.h"
#include "src/config/config_rows.h"

namespace wisteriareel {
namespace {

constexpr std::uint64_t kInitialScanLag = 256;
constexpr std::uint64_t kScanLagGrowth = 8;
constexpr std::uint64_t kMaxScanLag = 100'000;

// The newest known state of one entry. No value if it was removed.
struct KnownEntry {
  Revision version;
  std::optional<ConfigValue> value;
};

}  // namespace

std::shared_ptr<const ImmutableConfigSnapshot> AssembleSnapshot(
    const std::vector<VersionedEntry>& entries,
    const std::vector<ConfigDelta>& deltas, const ConfigHead& head) {
  std::map<ConfigKey, KnownEntry> known;
  for (const VersionedEntry& entry : entries) {
    KnownEntry& current = known[KeyOf(entry.value)];
    if (entry.version < current.version) continue;
    current = KnownEntry{entry.version, entry.value};
  }
  // Deltas are applied unconditionally: if an entry is newer than a delta, a
  // later delta, the one that wrote the entry, restores it.
  for (const ConfigDelta& delta : deltas) {
    for (const EntryChange& change : delta.changes) {
      known[change.key] = KnownEntry{delta.revision, change.value};
    }
  }
  std::vector<VersionedEntry> live;
  for (const auto& [key, entry] : known) {
    if (entry.value) live.push_back({*entry.value, entry.version});
  }
  auto snapshot = ImmutableConfigSnapshot::Build(head.revision, live);
  if (snapshot->digest() != head.digest) return nullptr;
  return snapshot;
}

ConfigReader::ConfigReader(TableService* table, Counters* counters)
    : table_(table), counters_(counters), scan_lag_(kInitialScanLag) {}

std::optional<ConfigHead> ConfigReader::ReadHead(absl::Duration timeout,
                                                 LastReason* reason) {
  const auto rows = table_->Read({ConfigHeadRow()}, timeout, reason);
  if (!rows) return std::nullopt;
  counters_->Add(Counter::kTableReads, 1);
  if (rows->empty()) return ConfigHead{};
  const auto head = DecodeHeadRow(rows->front().value);
  if (!head) reason->Set(Reason::kMalformed, "the head row is malformed");
  return head;
}

std::optional<std::vector<ConfigDelta>> ConfigReader::ReadNewestDeltas(
    Revision after, Revision until, absl::Duration timeout,
    LastReason* reason) {
  std::vector<ConfigDelta> deltas;
  std::vector<RowKey> keys;
  for (Revision r = after.Next(); r <= until; r = r.Next()) {
    keys.push_back(ConfigLogRow(r));
    if (keys.size() < kDeltaBatch && r != until) continue;
    auto rows = table_->Read(keys, timeout, reason);
    if (!rows) return std::nullopt;
    counters_->Add(Counter::kTableReads, 1);
    keys.clear();
    std::sort(rows->begin(), rows->end(),
              [](const Row& a, const Row& b) { return a.key.key < b.key.key; });
    for (const Row& row : *rows) {
      auto delta = DecodeDeltaRow(row.value);
      if (!delta) {
        reason->Set(Reason::kMalformed,
                    absl::StrCat("malformed log row ", row.key.key));
        return std::nullopt;
      }
      if (!deltas.empty() && deltas.back().revision.Next() != delta->revision) {
        deltas.clear();
      }
      deltas.push_back(*std::move(delta));
    }
  }
  const bool reaches_end = !deltas.empty() && deltas.back().revision == until;
  if (!reaches_end) deltas.clear();
  return deltas;
}

std::optional<std::vector<ConfigDelta>> ConfigReader::ReadDeltas(
    Revision after, Revision until, absl::Duration timeout,
    LastReason* reason) {
  if (until <= after) return std::vector<ConfigDelta>{};
  auto deltas = ReadNewestDeltas(after, until, timeout, reason);
  if (!deltas) return std::nullopt;
  if (deltas->empty() || deltas->front().revision != after.Next()) {
    reason->Set(Reason::kRevisionStale, "a required log row was trimmed");
    return std::nullopt;
  }
  return deltas;
}

std::optional<std::vector<VersionedEntry>> ConfigReader::ScanEntries(
    absl::Duration timeout, LastReason* reason) {
  std::vector<VersionedEntry> entries;
  std::string after;
  while (true) {
    const auto rows =
        table_->Scan(kConfigEntryTable, after, kScanBatch, timeout, reason);
    if (!rows) return std::nullopt;
    counters_->Add(Counter::kTableReads, 1);
    for (const Row& row : *rows) {
      auto entry = DecodeEntryRow(row.value);
      if (!entry) {
        reason->Set(Reason::kMalformed,
                    absl::StrCat("malformed entry row ", row.key.key));
        return std::nullopt;
      }
      entries.push_back(*std::move(entry));
    }
    if (rows->size() < kScanBatch) return entries;
    after = rows->back().key.key;
  }
}

std::shared_ptr<const ImmutableConfigSnapshot> ConfigReader::ReadSnapshot(
    absl::Duration timeout, LastReason* reason) {
  const auto before = ReadHead(timeout, reason);
  if (!before) return nullptr;
  const auto entries = ScanEntries(timeout, reason);
  if (!entries) return nullptr;
  const auto head = ReadHead(timeout, reason);
  if (!head) return nullptr;
  const std::uint64_t newest = before->revision.value();
  const Revision from(newest > scan_lag_ ? newest - scan_lag_ : 0);
  const auto deltas = ReadNewestDeltas(from, head->revision, timeout, reason);
  if (!deltas) return nullptr;
  auto snapshot = AssembleSnapshot(*entries, *deltas, *head);
  if (snapshot == nullptr) {
    scan_lag_ = std::min(scan_lag_ * kScanLagGrowth, kMaxScanLag);
    reason->Set(Reason::kRevisionStale,
                "the scan lagged behind the replayed deltas");
    return nullptr;
  }
  scan_lag_ = kInitialScanLag;
  return snapshot;
}

}  // namespace wisteriareel
