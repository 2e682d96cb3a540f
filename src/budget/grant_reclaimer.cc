#include "src/budget/grant_reclaimer.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "src/budget/budget_snapshot.h"

namespace wisteriareel {
namespace {

constexpr int kScanPageRows = 500;
constexpr int kMaxWriteOffAttempts = 4;
// Range of hours in which a holder's records are read, before the last renewal
// of its lease and after the end of the lease. Older records have already been
// reported to the table.
constexpr std::int64_t kHoursBeforeRenewal = 24;
constexpr std::int64_t kHoursAfterLease = 2;

// Returns the grant number at the end of a holder name.
std::optional<std::uint64_t> GrantNumber(const std::string& holder) {
  const std::size_t dot = holder.rfind('.');
  std::uint64_t number = 0;
  if (dot == std::string::npos) return std::nullopt;
  if (!absl::SimpleHexAtoi(holder.substr(dot + 1), &number)) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

GrantReclaimer::GrantReclaimer(const GrantReclaimerOptions& options,
                               TableService* table, ObjectStore* store,
                               Counters* counters, EventLog* events)
    : options_(options),
      table_(table),
      records_(store),
      counters_(counters),
      events_(events) {}

absl::Duration GrantReclaimer::ReclaimStep(absl::Time now) {
  std::string after;
  absl::flat_hash_set<std::string> seen;
  while (true) {
    LastReason reason;
    const auto rows = table_->Scan(kHolderTable, after, kScanPageRows,
                                   options_.timeout, &reason);
    if (!rows) return options_.interval;
    for (const Row& row : *rows) {
      seen.insert(row.key.key);
      CheckHolder(row, now);
    }
    if (rows->size() < kScanPageRows) break;
    after = rows->back().key.key;
  }
  absl::erase_if(observed_, [&](const auto& entry) {
    return !seen.contains(entry.first);
  });
  return options_.interval;
}

// Measures only the time since this instance first saw the version of the row,
// so that timestamps of different clocks are never compared.
void GrantReclaimer::CheckHolder(const Row& row, absl::Time now) {
  const auto holder_row = DecodeHolder(row.value);
  if (!holder_row) return;
  const std::string& holder = row.key.key;
  Observation& observation = observed_[holder];
  if (observation.version != row.version) {
    observation = Observation{.version = row.version, .first_seen = now};
  }
  if (observation.done) return;
  if (holder_row->state == HolderState::kActive) {
    const absl::Duration wait =
        holder_row->lease * (1 + options_.clock_rate_margin) + options_.slack;
    if (now - observation.first_seen < wait) return;
    MarkReclaimed(holder, *holder_row, row.version);
    return;
  }
  observation.done = WriteOff(holder, *holder_row);
}

void GrantReclaimer::MarkReclaimed(const std::string& holder,
                                   const HolderRow& row,
                                   std::uint64_t version) {
  HolderRow reclaimed = row;
  reclaimed.state = HolderState::kReclaimed;
  const RowKey key = HolderKey(holder);
  const Transaction transaction{.conditions = {{key, version}},
                                .writes = {{key, Encode(reclaimed)}}};
  if (table_->Commit(transaction, options_.timeout) !=
      CommitOutcome::kCommitted) {
    return;
  }
  events_->Write(EventId::kHolderReclaimed, Severity::kWarning,
                 "lease of a holder expired; writing off its grants",
                 {{"holder", holder}});
}

// Returns true if no work is left while the holder's row does not change.
bool GrantReclaimer::WriteOff(const std::string& holder, const HolderRow& row) {
  const auto grants = ReadGrants(holder, row);
  if (!grants) return false;
  const bool accounted_for = std::all_of(
      grants->begin(), grants->end(), [](const VersionedGrantRow& grant) {
        return grant.row.Outstanding() == Tokens(0) &&
               grant.row.written_off == Tokens(0);
      });
  LastReason reason;
  if (accounted_for) {
    const auto rows =
        table_->Read({HolderKey(holder)}, options_.timeout, &reason);
    if (!rows || rows->empty()) return false;
    return RemoveRows(holder, rows->front().version, *grants);
  }
  const auto number = GrantNumber(holder);
  if (!number) return true;
  const std::int64_t first = HourOf(row.renewed) - kHoursBeforeRenewal;
  const std::int64_t last = HourOf(row.renewed + row.lease) + kHoursAfterLease;
  const auto records = records_.ReadHolder(row.instance, *number, first, last,
                                           options_.timeout, &reason);
  if (!records) return false;
  bool done = true;
  for (const VersionedGrantRow& grant : *grants) {
    if (grant.row.Outstanding() == Tokens(0)) continue;
    done &= WriteOffGrant(holder, grant, *records);
  }
  return done;
}

bool GrantReclaimer::WriteOffGrant(const std::string& holder,
                                   const VersionedGrantRow& grant,
                                   const HolderRecords& records) {
  const Tokens recorded = records.BilledFrom(grant.row.batches, grant.budget);
  const Tokens settled = std::min(recorded, grant.row.Outstanding());
  const Tokens lost = grant.row.Outstanding() - settled;
  GrantRow row = grant.row;
  row.settled += settled;
  row.written_off += lost;
  const RowKey key = GrantKey(holder, grant.budget);
  for (int i = 0; i < kMaxWriteOffAttempts; ++i) {
    LastReason reason;
    auto snapshots = ReadBudgetSnapshots(table_, {grant.budget}, {0},
                                         options_.timeout, &reason);
    if (!snapshots || !snapshots->front()) return false;
    BudgetSnapshot& snapshot = *snapshots->front();
    StripeRow& stripe = snapshot.MutableStripe(0);
    stripe.settled += settled;
    stripe.written_off += lost;
    Transaction transaction{.conditions = {{key, grant.version}},
                            .writes = {{key, Encode(row)}}};
    snapshot.AddWritesTo(&transaction);
    const CommitOutcome outcome = table_->Commit(transaction, options_.timeout);
    if (outcome == CommitOutcome::kCommitted) {
      counters_->Add(Counter::kTokensWrittenOff,
                     static_cast<std::uint64_t>(lost.value()));
      return true;
    }
    if (outcome != CommitOutcome::kConflict) return false;
  }
  return false;
}

// A scan may return stale results, so the number of rows is compared with the
// count in the holder's row, and the rows are read again by key.
std::optional<std::vector<GrantReclaimer::VersionedGrantRow>>
GrantReclaimer::ReadGrants(const std::string& holder, const HolderRow& row) {
  LastReason reason;
  std::vector<RowKey> keys;
  std::string after = holder + "/";
  bool more = true;
  while (more) {
    const auto rows = table_->Scan(kGrantTable, after, kScanPageRows,
                                   options_.timeout, &reason);
    if (!rows) return std::nullopt;
    more = rows->size() == kScanPageRows;
    for (const Row& found : *rows) {
      if (!BudgetOfGrantKey(holder, found.key.key)) {
        more = false;
        break;
      }
      keys.push_back(found.key);
      after = found.key.key;
    }
  }
  if (static_cast<int>(keys.size()) < row.grants) return std::nullopt;
  const auto rows = table_->Read(keys, options_.timeout, &reason);
  if (!rows) return std::nullopt;
  std::vector<VersionedGrantRow> grants;
  for (const Row& found : *rows) {
    const auto grant = DecodeGrant(found.value);
    const auto budget = BudgetOfGrantKey(holder, found.key.key);
    if (!grant || !budget) return std::nullopt;
    grants.push_back({*budget, *grant, found.version});
  }
  return grants;
}

bool GrantReclaimer::RemoveRows(const std::string& holder,
                                std::uint64_t version,
                                const std::vector<VersionedGrantRow>& grants) {
  const RowKey holder_key = HolderKey(holder);
  Transaction transaction{.conditions = {{holder_key, version}},
                          .writes = {{holder_key, std::nullopt}}};
  for (const VersionedGrantRow& grant : grants) {
    const RowKey key = GrantKey(holder, grant.budget);
    transaction.conditions.push_back({key, grant.version});
    transaction.writes.push_back({key, std::nullopt});
  }
  return table_->Commit(transaction, options_.timeout) ==
         CommitOutcome::kCommitted;
}

}  // namespace wisteriareel
