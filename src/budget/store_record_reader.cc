#include "src/budget/store_record_reader.h"

#include "absl/container/flat_hash_set.h"
#include "src/budget/request_id_generator.h"

namespace wisteriareel {
namespace {

constexpr int kListLimit = 1000;
// Max number of hours from the creation of a request to its end.
constexpr std::int64_t kMaxRequestHours = 2;

}  // namespace

Tokens HolderRecords::BilledFrom(std::uint64_t from,
                                 const BudgetId& budget) const {
  Tokens sum;
  for (const Batch& batch : batches) {
    if (batch.number < from) continue;
    const auto it = batch.billed.find(budget);
    if (it != batch.billed.end()) sum += it->second;
  }
  return sum;
}

bool StoreRecordReader::Visit(const std::string& prefix, const Filter& filter,
                              const Visitor& visitor, absl::Duration timeout,
                              LastReason* reason) {
  std::string after;
  while (true) {
    const auto names = store_->List(prefix, after, kListLimit, timeout, reason);
    if (!names) return false;
    for (const std::string& text : *names) {
      const auto name = DecodeBatchName(text);
      if (!name || !filter(*name)) continue;
      const auto bytes = store_->Get(text, timeout, reason);
      if (!bytes) return false;
      const auto records = DecodeRecords(*bytes);
      if (!records) {
        reason->Set(Reason::kMalformed, text);
        return false;
      }
      visitor(*name, *records);
    }
    if (static_cast<int>(names->size()) < kListLimit) return true;
    after = names->back();
  }
}

std::optional<RequestRecord> StoreRecordReader::Find(const RequestId& request,
                                                     absl::Duration timeout,
                                                     LastReason* reason) {
  const auto fields = ParseRequestId(request);
  if (!fields) {
    reason->Set(Reason::kMalformed,
                "request id does not have the form "
                "<instance>-<hex milliseconds>-<hex number>");
    return std::nullopt;
  }
  std::optional<RequestRecord> found;
  const Filter may_contain = [&](const BatchName& name) {
    return !found && name.first_created <= fields->created &&
           fields->created <= name.last_created;
  };
  const Visitor find = [&](const BatchName&,
                           const std::vector<RequestRecord>& records) {
    for (const RequestRecord& record : records) {
      if (record.request == request) found = record;
    }
  };
  const std::int64_t first = HourOf(fields->created);
  for (std::int64_t i = first; i <= first + kMaxRequestHours; ++i) {
    const std::string prefix = InstancePrefix(i, fields->instance);
    if (!Visit(prefix, may_contain, find, timeout, reason)) return std::nullopt;
    if (found) return found;
  }
  // A retry may have run on another instance.
  for (std::int64_t i = first; i <= first + kMaxRequestHours; ++i) {
    if (!Visit(HourPrefix(i), may_contain, find, timeout, reason)) {
      return std::nullopt;
    }
    if (found) return found;
  }
  reason->Set(Reason::kNotFound, request.value());
  return std::nullopt;
}

std::optional<std::vector<RequestRecord>> StoreRecordReader::Range(
    absl::Time from, absl::Time to, absl::Duration timeout,
    LastReason* reason) {
  std::vector<RequestRecord> all;
  absl::flat_hash_set<RequestId> seen;
  const Visitor collect = [&](const BatchName&,
                              const std::vector<RequestRecord>& records) {
    for (const RequestRecord& record : records) {
      if (record.finished < from || record.finished >= to) continue;
      if (seen.insert(record.request).second) all.push_back(record);
    }
  };
  const Filter accept_all = [](const BatchName&) { return true; };
  for (std::int64_t i = HourOf(from); i <= HourOf(to); ++i) {
    if (!Visit(HourPrefix(i), accept_all, collect, timeout, reason)) {
      return std::nullopt;
    }
  }
  return all;
}

std::optional<HolderRecords> StoreRecordReader::ReadHolder(
    const InstanceId& instance, std::uint64_t grant, std::int64_t first,
    std::int64_t last, absl::Duration timeout, LastReason* reason) {
  HolderRecords sums;
  absl::flat_hash_set<RequestId> seen;
  const Visitor sum = [&](const BatchName& name,
                          const std::vector<RequestRecord>& records) {
    HolderRecords::Batch batch{.number = name.number, .billed = {}};
    for (const RequestRecord& record : records) {
      if (record.grant != grant) continue;
      if (!seen.insert(record.request).second) continue;
      batch.billed[record.budget] += record.billed;
    }
    if (!batch.billed.empty()) sums.batches.push_back(std::move(batch));
  };
  const Filter accept_all = [](const BatchName&) { return true; };
  for (std::int64_t i = first; i <= last; ++i) {
    if (!Visit(InstancePrefix(i, instance), accept_all, sum, timeout, reason)) {
      return std::nullopt;
    }
  }
  return sums;
}

}  // namespace wisteriareel
