#include "standin/fakes/memory_object_store.h"

#include <algorithm>

namespace wisteriareel {

void MemoryObjectStore::SetFaults(const ObjectStoreFaults& faults) {
  std::lock_guard<std::mutex> lock(mutex_);
  faults_ = faults;
}

CommitOutcome MemoryObjectStore::Put(const std::string& name,
                                     const std::string& bytes,
                                     absl::Duration /*timeout*/) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (faults_.outage) return CommitOutcome::kRejected;
  const auto [it, inserted] = objects_.emplace(name, bytes);
  if (!inserted && it->second != bytes) return CommitOutcome::kConflict;
  if (faults_.lose_replies > 0) {
    --faults_.lose_replies;
    return CommitOutcome::kUnknown;
  }
  return CommitOutcome::kCommitted;
}

std::optional<std::string> MemoryObjectStore::Get(const std::string& name,
                                                  absl::Duration /*timeout*/,
                                                  LastReason* reason) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (faults_.outage) {
    reason->Set(Reason::kPlatformUnavailable, "object store outage");
    return std::nullopt;
  }
  const auto it = objects_.find(name);
  if (it == objects_.end()) {
    reason->Set(Reason::kNotFound, name);
    return std::nullopt;
  }
  return it->second;
}

std::optional<std::vector<std::string>> MemoryObjectStore::List(
    const std::string& prefix, const std::string& after, int limit,
    absl::Duration /*timeout*/, LastReason* reason) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (faults_.outage) {
    reason->Set(Reason::kPlatformUnavailable, "object store outage");
    return std::nullopt;
  }
  std::vector<std::string> names;
  auto it = std::max(objects_.lower_bound(prefix), objects_.upper_bound(after),
                     [&](const auto& a, const auto& b) {
                       if (a == objects_.end()) return false;
                       return b == objects_.end() || a->first < b->first;
                     });
  for (; it != objects_.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    if (static_cast<int>(names.size()) == limit) break;
    names.push_back(it->first);
  }
  return names;
}

}  // namespace wisteriareel
