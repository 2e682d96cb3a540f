#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/config/config_codec.h"
#include "src/config/config_rows.h"
#include "src/config/order_decision.h"
#include "wisteriareel/config_table_store.h"

namespace wisteriareel {
namespace {

// Remembers, over the tries of one order, whether it may have been accepted.
class Doubt {
 public:
  void Raise() { raised_ = true; }

  // Sets `reason` for giving up: without doubt the platform's, else that the
  // reply was lost.
  void GiveUp(Reason without_doubt, const std::string& detail,
              LastReason* reason) const {
    reason->Set(raised_ ? Reason::kPlatformReplyLost : without_doubt, detail);
  }

 private:
  bool raised_ = false;
};

// Returns the answer to an order whose row is there.
std::optional<AcceptedOrder> Repeated(const ConfigDelta& delta,
                                      const OrderRecord& record,
                                      LastReason* reason) {
  if (record.fingerprint == FingerprintOf(delta)) {
    return AcceptedOrder{record.revision, true};
  }
  reason->Set(Reason::kConflict,
              absl::StrCat("order ", delta.order.value(),
                           " was used for other changes at revision ",
                           record.revision.value()));
  return std::nullopt;
}

}  // namespace

TableConfigStore::TableConfigStore(Options options)
    : options_(std::move(options)) {}

std::optional<AcceptedOrder> TableConfigStore::Apply(const ChangeOrder& order,
                                                     absl::Duration timeout,
                                                     LastReason* reason) {
  if (!IsWellFormed(order, reason)) return std::nullopt;
  const absl::Time deadline = options_.clock->Now() + timeout;
  Doubt doubt;
  std::optional<OrderRows> conflicted;
  for (int attempt = 0; attempt < options_.max_attempts; ++attempt) {
    const absl::Duration left = deadline - options_.clock->Now();
    if (left <= absl::ZeroDuration()) break;
    LastReason read_reason;
    const auto found = options_.table->Read(KeysOf(order), left, &read_reason);
    if (!found) {
      doubt.GiveUp(read_reason.reason(), read_reason.detail(), reason);
      return std::nullopt;
    }
    const auto rows = ParseOrderRows(order, *found);
    if (!rows) {
      doubt.GiveUp(Reason::kMalformed, "a configuration row is unreadable",
                   reason);
      return std::nullopt;
    }
    const ConfigDelta delta = DeltaOf(order, *rows);
    // An earlier try that was left in doubt counts as this call's own.
    if (rows->record) return Repeated(delta, *rows->record, reason);
    if (!VersionsMatch(order, *rows, reason)) return std::nullopt;
    if (conflicted == rows) {
      reason->Set(Reason::kConflict, "a companion row has changed");
      return std::nullopt;
    }
    Transaction transaction = TransactionOf(order, *rows, delta);
    if (delta.revision.value() > options_.log_length) {
      const Revision oldest(delta.revision.value() - options_.log_length);
      transaction.writes.push_back({ConfigLogRow(oldest), std::nullopt});
      const auto trimmed = OrderToTrim(oldest, left);
      if (trimmed) transaction.writes.push_back({*trimmed, std::nullopt});
    }
    switch (
        options_.table->Commit(transaction, deadline - options_.clock->Now())) {
      case CommitOutcome::kCommitted:
        if (options_.on_accepted) options_.on_accepted();
        return AcceptedOrder{delta.revision, false};
      case CommitOutcome::kConflict:
        options_.counters->Retried(Reason::kConflict);
        conflicted = rows;
        break;
      case CommitOutcome::kRejected:
        doubt.GiveUp(Reason::kPlatformUnavailable, "commit rejected", reason);
        return std::nullopt;
      case CommitOutcome::kUnknown:
        // Harmless to try again: of all tries at most the one whose head row
        // is unchanged takes effect, and then the order row shows it.
        options_.counters->Retried(Reason::kPlatformReplyLost);
        doubt.Raise();
        break;
    }
  }
  doubt.GiveUp(Reason::kDeadlineExceeded, "other orders kept winning", reason);
  return std::nullopt;
}

std::optional<RowKey> TableConfigStore::OrderToTrim(Revision revision,
                                                    absl::Duration timeout) {
  LastReason ignored;
  const auto rows =
      options_.table->Read({ConfigLogRow(revision)}, timeout, &ignored);
  if (!rows || rows->empty()) return std::nullopt;
  const auto delta = DecodeDeltaRow(rows->front().value);
  if (!delta) return std::nullopt;
  return ConfigOrderRow(delta->order);
}

std::optional<EntryVersion> TableConfigStore::ReadEntry(const ConfigKey& key,
                                                        absl::Duration timeout,
                                                        LastReason* reason) {
  const auto rows =
      options_.table->Read({ConfigEntryRow(key)}, timeout, reason);
  if (!rows) return std::nullopt;
  if (rows->empty()) return EntryVersion{};
  const auto entry = DecodeEntryRow(rows->front().value);
  if (!entry) {
    reason->Set(Reason::kMalformed, "the entry's row is unreadable");
    return std::nullopt;
  }
  return EntryVersion{entry->version.value(), entry->value};
}

std::vector<RolloutLine> TableConfigStore::Rollout() const {
  if (options_.rollout == nullptr) return {};
  return options_.rollout->Lines();
}

std::vector<RolloutLine> TableConfigStore::AwaitRollout(
    Revision revision, absl::Duration timeout) {
  const absl::Time deadline = options_.clock->Now() + timeout;
  if (options_.rollout != nullptr) options_.rollout->RequestReports(revision);
  while (true) {
    std::vector<RolloutLine> lagging = Rollout();
    std::erase_if(lagging, [&](const RolloutLine& line) {
      return line.revision >= revision;
    });
    const absl::Duration left = deadline - options_.clock->Now();
    if (lagging.empty() || left <= absl::ZeroDuration()) return lagging;
    options_.clock->Sleep(std::min(left, options_.rollout_poll));
  }
}

}  // namespace wisteriareel
