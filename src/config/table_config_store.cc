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

// Records, over the attempts of one order, whether the order may have been
// accepted.
class CommitDoubt {
 public:
  void Raise() { raised_ = true; }

  // Sets the reason of a failed call: `known` if no attempt is in doubt, else
  // kPlatformReplyLost.
  void SetFailure(Reason known, const std::string& detail,
                  LastReason* reason) const {
    reason->Set(raised_ ? Reason::kPlatformReplyLost : known, detail);
  }

 private:
  bool raised_ = false;
};

// Returns the result of an order that has a row already.
std::optional<AcceptedOrder> ResolveRepeatedOrder(const ConfigDelta& delta,
                                                  const OrderRecord& record,
                                                  LastReason* reason) {
  if (record.fingerprint == ComputeFingerprint(delta)) {
    return AcceptedOrder{record.revision, true};
  }
  reason->Set(Reason::kConflict,
              absl::StrCat("order ", delta.order.value(),
                           " was already used for other changes at revision ",
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
  CommitDoubt doubt;
  std::optional<OrderRows> conflicted;
  for (int attempt = 0; attempt < options_.max_attempts; ++attempt) {
    const absl::Duration left = deadline - options_.clock->Now();
    if (left <= absl::ZeroDuration()) break;
    LastReason read_reason;
    const auto found =
        options_.table->Read(OrderRowKeys(order), left, &read_reason);
    if (!found) {
      doubt.SetFailure(read_reason.reason(), read_reason.detail(), reason);
      return std::nullopt;
    }
    const auto rows = ParseOrderRows(order, *found);
    if (!rows) {
      doubt.SetFailure(Reason::kMalformed, "a configuration row is malformed",
                       reason);
      return std::nullopt;
    }
    const ConfigDelta delta = MakeDelta(order, *rows);
    // The order was accepted before: by an earlier call, or by an attempt of
    // this call whose outcome was unknown.
    if (rows->record) {
      return ResolveRepeatedOrder(delta, *rows->record, reason);
    }
    if (!VersionsMatch(order, *rows, reason)) return std::nullopt;
    // No row of this order has changed since the conflict, so the conflict came
    // from a condition of the companion transaction.
    if (conflicted == rows) {
      reason->Set(Reason::kConflict,
                  "a row of the companion transaction has changed");
      return std::nullopt;
    }
    Transaction transaction = MakeTransaction(order, *rows, delta);
    if (delta.revision.value() > options_.log_length) {
      const Revision oldest(delta.revision.value() - options_.log_length);
      transaction.writes.push_back({ConfigLogRow(oldest), std::nullopt});
      const auto trimmed = FindOrderToTrim(oldest, left);
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
        doubt.SetFailure(Reason::kPlatformUnavailable,
                         "the platform rejected the commit", reason);
        return std::nullopt;
      case CommitOutcome::kUnknown:
        // A retry is safe: at most one attempt, the one that finds the head row
        // unchanged, takes effect, and the order row then shows it.
        options_.counters->Retried(Reason::kPlatformReplyLost);
        doubt.Raise();
        break;
    }
  }
  doubt.SetFailure(Reason::kDeadlineExceeded,
                   "concurrent orders conflicted with every attempt", reason);
  return std::nullopt;
}

std::optional<RowKey> TableConfigStore::FindOrderToTrim(
    Revision revision, absl::Duration timeout) {
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
    reason->Set(Reason::kMalformed, "the entry's row is malformed");
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
    std::erase_if(lagging, [&](const RolloutLine& entry) {
      return entry.revision >= revision;
    });
    const absl::Duration left = deadline - options_.clock->Now();
    if (lagging.empty() || left <= absl::ZeroDuration()) return lagging;
    options_.clock->Sleep(std::min(left, options_.rollout_poll));
  }
}

}  // namespace wisteriareel
