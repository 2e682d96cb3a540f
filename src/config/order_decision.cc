#include "src/config/order_decision.h"

#include <cstddef>
#include <string>
#include <utility>
#include <variant>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "src/config/config_rows.h"

namespace wisteriareel {
namespace {

constexpr std::size_t kKeyHashDigits = 64;

// Returns a description of the first error of a value; empty if it is valid.
struct Validator {
  std::string operator()(const Customer& value) const {
    return value.weight == 0 ? "a customer's weight must be positive" : "";
  }
  std::string operator()(const ApiKey& value) const {
    if (value.hash.size() != kKeyHashDigits ||
        value.hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
      return "a key's hash must be a lower-case hexadecimal SHA-256";
    }
    if (value.customer.empty() || value.budget.empty()) {
      return "a key must name a customer and a budget";
    }
    return "";
  }
  std::string operator()(const Budget& value) const {
    return value.customer.empty() ? "a budget must name a customer" : "";
  }
  std::string operator()(const Pool& value) const {
    if (value.max_in_flight_per_target == 0) {
      return "a pool's limit of requests in flight must be positive";
    }
    if (value.service_call_tokens < Tokens(0)) {
      return "the tokens charged for a call must not be negative";
    }
    if (value.kind == PoolKind::kModel) {
      if (value.models.empty()) return "a model pool must name a model";
      return value.path_prefix.empty()
                 ? ""
                 : "a model pool must not have a path prefix";
    }
    if (!value.models.empty()) return "a service pool must not name models";
    return value.path_prefix.empty() ? "a service pool must have a path prefix"
                                     : "";
  }
  std::string operator()(const Target& value) const {
    if (value.pool.empty()) return "a target must name a pool";
    return value.endpoint.port == 0 ? "a target must have a port" : "";
  }
  std::string operator()(const IdempotencyRule& value) const {
    return value.pool.empty() ? "a rule must name a pool" : "";
  }
  std::string operator()(const PoolPlan&) const { return ""; }
};

std::string ValidationError(const ConfigChange& change) {
  if (change.key.id.empty()) return "an entry's id must not be empty";
  if (!change.value) return "";
  if (KeyOf(*change.value) != change.key) return "value and key do not match";
  return std::visit(Validator{}, *change.value);
}

}  // namespace

std::vector<RowKey> OrderRowKeys(const ChangeOrder& order) {
  std::vector<RowKey> keys = {ConfigHeadRow(), ConfigOrderRow(order.order)};
  for (const ConfigChange& change : order.changes) {
    keys.push_back(ConfigEntryRow(change.key));
  }
  return keys;
}

std::optional<OrderRows> ParseOrderRows(const ChangeOrder& order,
                                        const std::vector<Row>& rows) {
  absl::flat_hash_map<std::string, const Row*> by_key;
  for (const Row& row : rows) {
    by_key[absl::StrCat(row.key.table, "|", row.key.key)] = &row;
  }
  const auto find = [&](const RowKey& key) -> const Row* {
    const auto it = by_key.find(absl::StrCat(key.table, "|", key.key));
    return it == by_key.end() ? nullptr : it->second;
  };
  OrderRows parsed;
  if (const Row* row = find(ConfigHeadRow()); row != nullptr) {
    const auto head = DecodeHeadRow(row->value);
    if (!head) return std::nullopt;
    parsed.head = *head;
    parsed.head_version = row->version;
  }
  if (const Row* row = find(ConfigOrderRow(order.order)); row != nullptr) {
    parsed.record = DecodeOrderRow(row->value);
    if (!parsed.record) return std::nullopt;
  }
  for (const ConfigChange& change : order.changes) {
    const Row* row = find(ConfigEntryRow(change.key));
    parsed.entry_versions.push_back(row == nullptr ? 0 : row->version);
    parsed.entries.emplace_back();
    if (row == nullptr) continue;
    parsed.entries.back() = DecodeEntryRow(row->value);
    if (!parsed.entries.back()) return std::nullopt;
  }
  return parsed;
}

bool IsWellFormed(const ChangeOrder& order, LastReason* reason) {
  if (order.order.empty()) {
    reason->Set(Reason::kMalformed, "the order id must not be empty");
    return false;
  }
  ConfigDelta delta{.order = order.order};
  for (const ConfigChange& change : order.changes) {
    delta.changes.push_back({change.key, change.value});
  }
  if (!CanEncode(delta, order.operator_name)) {
    reason->Set(Reason::kMalformed, "a string of the order is not valid UTF-8");
    return false;
  }
  absl::flat_hash_set<std::string> seen;
  for (const ConfigChange& change : order.changes) {
    const std::string error = ValidationError(change);
    if (!error.empty()) {
      reason->Set(Reason::kMalformed, absl::StrCat(change.key.id, ": ", error));
      return false;
    }
    if (!seen.insert(ConfigEntryRow(change.key).key).second) {
      reason->Set(Reason::kMalformed,
                  absl::StrCat(change.key.id, ": changed twice in one order"));
      return false;
    }
  }
  return true;
}

bool VersionsMatch(const ChangeOrder& order, const OrderRows& rows,
                   LastReason* reason) {
  for (std::size_t i = 0; i < order.changes.size(); ++i) {
    const ConfigChange& change = order.changes[i];
    if (!change.expected_version) continue;
    const std::uint64_t current =
        rows.entries[i] ? rows.entries[i]->version.value() : 0;
    if (*change.expected_version == current) continue;
    reason->Set(Reason::kConflict,
                absl::StrCat(change.key.id, " is at version ", current,
                             ", expected ", *change.expected_version));
    return false;
  }
  return true;
}

ConfigDelta MakeDelta(const ChangeOrder& order, const OrderRows& rows) {
  ConfigDelta delta{.revision = rows.head.revision.Next(),
                    .order = order.order,
                    .digest = rows.head.digest};
  for (std::size_t i = 0; i < order.changes.size(); ++i) {
    const ConfigChange& change = order.changes[i];
    if (rows.entries[i]) {
      delta.digest ^= EntryDigest(change.key, rows.entries[i]->version);
    }
    if (change.value) delta.digest ^= EntryDigest(change.key, delta.revision);
    delta.changes.push_back({change.key, change.value});
  }
  return delta;
}

Transaction MakeTransaction(const ChangeOrder& order, const OrderRows& rows,
                            const ConfigDelta& delta) {
  Transaction transaction = order.companion;
  auto& conditions = transaction.conditions;
  auto& writes = transaction.writes;
  conditions.push_back({ConfigHeadRow(), rows.head_version});
  conditions.push_back({ConfigOrderRow(order.order), 0});
  writes.push_back(
      {ConfigHeadRow(), EncodeHeadRow({delta.revision, delta.digest})});
  writes.push_back({ConfigLogRow(delta.revision),
                    EncodeDeltaRow(delta, order.operator_name)});
  writes.push_back(
      {ConfigOrderRow(order.order),
       EncodeOrderRow({delta.revision, ComputeFingerprint(delta)})});
  for (std::size_t i = 0; i < order.changes.size(); ++i) {
    const ConfigChange& change = order.changes[i];
    const RowKey key = ConfigEntryRow(change.key);
    conditions.push_back({key, rows.entry_versions[i]});
    if (!change.value) {
      writes.push_back({key, std::nullopt});
      continue;
    }
    writes.push_back({key, EncodeEntryRow({*change.value, delta.revision})});
  }
  return transaction;
}

}  // namespace wisteriareel
