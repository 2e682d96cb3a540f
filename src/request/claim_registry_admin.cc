#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/request/claim_registry.h"

namespace wisteriareel {
namespace {

constexpr int kPageRows = 256;
constexpr absl::Duration kBusyCleanupInterval = absl::Seconds(1);

}  // namespace

std::optional<std::vector<ClaimInfo>> ClaimRegistry::ListOpenClaims(
    const std::string& after, int limit, absl::Duration timeout,
    LastReason* reason) {
  const absl::Time deadline = options_.clock->Now() + timeout;
  std::vector<ClaimInfo> claims;
  std::string position = after;
  while (options_.clock->Now() < deadline) {
    const std::optional<std::vector<Row>> rows =
        options_.table->Scan(ClaimRowKey({}, {}).table, position, kPageRows,
                             options_.call_timeout, reason);
    if (!rows) return std::nullopt;
    for (const Row& row : *rows) {
      position = row.key.key;
      const std::optional<ClaimRow> claim = DecodeClaimRow(row.value, reason);
      if (!claim || claim->state == ClaimState::kDone) continue;
      claims.push_back({.customer = claim->customer,
                        .key = claim->key,
                        .request = claim->request,
                        .holder = claim->holder,
                        .state = EffectiveState(*claim),
                        .claimed = claim->claimed,
                        .position = position});
      if (static_cast<int>(claims.size()) == limit) return claims;
    }
    if (rows->size() < kPageRows) return claims;
  }
  reason->Set(Reason::kDeadlineExceeded,
              "listing the claims exceeded the deadline");
  return std::nullopt;
}

bool ClaimRegistry::Resolve(const CustomerId& customer,
                            const IdempotencyKey& key,
                            ClaimResolution resolution,
                            const std::string& operator_name,
                            absl::Duration timeout, LastReason* reason) {
  const RowKey row_key = ClaimRowKey(customer, key);
  const std::optional<Row> row = ReadRow(row_key, reason);
  if (!row) return false;
  std::optional<ClaimRow> claim = DecodeClaimRow(row->value, reason);
  if (!claim) return false;
  if (EffectiveState(*claim) != ClaimState::kInDoubt) {
    reason->Set(Reason::kConflict, "the claim is not in doubt");
    return false;
  }
  // A holder that is considered dead may still be running and dispatch.
  if (resolution == ClaimResolution::kNotRun && MayStillRun(*claim)) {
    reason->Set(Reason::kClaimHeldElsewhere,
                "the holder of the claim may still run the request");
    return false;
  }
  RowChange change{.key = row_key, .expected = row->value};
  if (resolution == ClaimResolution::kRan) {
    claim->state = ClaimState::kDone;
    claim->ended = options_.clock->Now();
    claim->resolved_by = operator_name;
    change.value = EncodeClaimRow(*claim);
  }
  const RowChangeResult result = batcher_.Apply(change, timeout);
  switch (result.outcome) {
    case RowChangeOutcome::kApplied:
      break;
    case RowChangeOutcome::kConflict:
      reason->Set(Reason::kConflict, "the claim was changed concurrently");
      return false;
    case RowChangeOutcome::kRejected:
      reason->Set(Reason::kPlatformUnavailable);
      return false;
    case RowChangeOutcome::kUnknown:
      reason->Set(Reason::kPlatformReplyLost);
      return false;
  }
  options_.events->Write(EventId::kClaimResolved, Severity::kInfo,
                         "an operator resolved a claim in doubt",
                         {{"customer", customer.value()},
                          {"key", key.value()},
                          {"operator", operator_name}});
  return true;
}

void ClaimRegistry::RemoveExpiredOutcomes() {
  LastReason reason;
  const std::optional<std::vector<Row>> rows =
      options_.table->Scan(ClaimRowKey({}, {}).table, cleanup_position_,
                           kPageRows, options_.call_timeout, &reason);
  next_cleanup_ = options_.clock->Now() + options_.cleanup_interval;
  if (!rows) return;
  bool removed = false;
  for (const Row& row : *rows) RemoveIfExpired(row, &removed);
  const bool last_page = rows->size() < kPageRows;
  cleanup_position_ = last_page ? "" : rows->back().key.key;
  if (removed) next_cleanup_ = options_.clock->Now() + kBusyCleanupInterval;
}

void ClaimRegistry::RemoveIfExpired(const Row& row, bool* removed) {
  LastReason reason;
  const std::optional<ClaimRow> claim = DecodeClaimRow(row.value, &reason);
  if (!claim || claim->state != ClaimState::kDone) return;
  if (options_.clock->Now() - claim->ended < options_.outcome_retention) return;
  batcher_.Apply({.key = row.key, .expected = row.value},
                 options_.call_timeout);
  *removed = true;
}

}  // namespace wisteriareel
