#include "standin/engine_state.h"

#include <algorithm>
#include <chrono>

#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kDisconnectPollInterval{50};
constexpr std::size_t kMaxStoredEvents = 4096;
constexpr std::size_t kMaxStoredReports = 4096;

}  // namespace

bool BatchSlots::CanAcquire(std::size_t priority) const {
  if (running_ >= size_) return false;
  for (std::size_t higher = 0; higher < priority; ++higher) {
    if (waiting_[higher] > 0) return false;
  }
  return true;
}

bool BatchSlots::Acquire(Priority priority,
                         const std::function<bool()>& aborted) {
  const auto rank = static_cast<std::size_t>(priority);
  std::unique_lock<std::mutex> lock(mutex_);
  ++waiting_[rank];
  bool acquired = CanAcquire(rank);
  while (!acquired && !aborted()) {
    changed_.wait_for(lock, kDisconnectPollInterval);
    acquired = CanAcquire(rank);
  }
  --waiting_[rank];
  if (acquired) ++running_;
  changed_.notify_all();
  return acquired;
}

void BatchSlots::Release() {
  std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  changed_.notify_all();
}

int BatchSlots::running() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return running_;
}

int BatchSlots::waiting() const {
  std::lock_guard<std::mutex> lock(mutex_);
  int sum = 0;
  for (const int count : waiting_) sum += count;
  return sum;
}

bool PrefixCache::Use(std::uint64_t prefix, std::int64_t drop_every) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = std::find(prefixes_.begin(), prefixes_.end(), prefix);
  if (it != prefixes_.end()) {
    prefixes_.splice(prefixes_.begin(), prefixes_, it);
    return true;
  }
  prefixes_.push_front(prefix);
  RecordEvent(/*stored=*/true, prefix, drop_every);
  if (prefixes_.size() > capacity_) {
    RecordEvent(/*stored=*/false, prefixes_.back(), drop_every);
    prefixes_.pop_back();
  }
  return false;
}

void PrefixCache::RecordEvent(bool stored, std::uint64_t prefix,
                              std::int64_t drop_every) {
  const std::uint64_t number = next_event_++;
  const auto every =
      static_cast<std::uint64_t>(std::max<std::int64_t>(drop_every, 0));
  if (every > 0 && number % every == 0) return;
  events_.push_back({number, stored, prefix, SystemClock()->Now()});
  if (events_.size() > kMaxStoredEvents) events_.pop_front();
}

json PrefixCache::EventsAfter(std::uint64_t after, absl::Duration lag) const {
  const absl::Time as_of = SystemClock()->Now() - lag;
  json list = json::array();
  std::lock_guard<std::mutex> lock(mutex_);
  for (const Event& event : events_) {
    if (event.number <= after || event.time > as_of) continue;
    list.push_back({{"number", event.number},
                    {"kind", event.stored ? "stored" : "evicted"},
                    {"prefix_hash", event.prefix}});
  }
  return {{"events", std::move(list)}};
}

bool EngineOrders::ExecuteOrder(const std::string& kind,
                                const std::string& name) {
  if (kind == "load_model") {
    models_.insert(name);
  } else if (kind == "unload_model") {
    models_.erase(name);
  } else if (kind == "load_adapter") {
    adapters_.insert(name);
  } else if (kind == "unload_adapter") {
    adapters_.erase(name);
  } else if (kind == "set_version") {
    version_ = name;
  } else if (kind == "set_role") {
    role_ = name;
  } else {
    return false;
  }
  return true;
}

int EngineOrders::Apply(const json& order, json* response) {
  std::lock_guard<std::mutex> lock(mutex_);
  try {
    const auto id = order.at("order_id").get<std::string>();
    const auto fencing = order.at("fencing_number").get<std::uint64_t>();
    const auto kind = order.at("kind").get<std::string>();
    const auto name = order.at("name").get<std::string>();
    if (checks_fencing_ && fencing < highest_fencing_) {
      *response = {{"error", "fencing_number_old"},
                   {"highest", highest_fencing_}};
      return 409;
    }
    highest_fencing_ = std::max(highest_fencing_, fencing);
    if (!executed_ids_.contains(id) && !ExecuteOrder(kind, name)) {
      *response = {{"error", "unknown kind"}};
      return 400;
    }
    executed_ids_.insert(id);
    *response = {{"accepted", true}};
    return 200;
  } catch (const json::exception&) {
    *response = {{"error", "bad order"}};
    return 400;
  }
}

json EngineOrders::ToJson() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return {{"models", models_},
          {"adapters", adapters_},
          {"version", version_},
          {"role", role_},
          {"orders", executed_ids_.size()},
          {"highest_fencing", highest_fencing_}};
}

bool EngineOrders::HasModel(const std::string& model) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return models_.contains(model);
}

void LoadReports::Record(int running, int waiting) {
  std::lock_guard<std::mutex> lock(mutex_);
  entries_.push_back({SystemClock()->Now(), running, waiting});
  if (entries_.size() > kMaxStoredReports) entries_.pop_front();
}

json LoadReports::Report(absl::Duration lag) const {
  const absl::Time as_of = SystemClock()->Now() - lag;
  Entry newest;
  std::lock_guard<std::mutex> lock(mutex_);
  for (const Entry& entry : entries_) {
    if (entry.time <= as_of) newest = entry;
  }
  return {{"running", newest.running}, {"waiting", newest.waiting}};
}

}  // namespace wisteriareel
