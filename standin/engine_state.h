#ifndef WISTERIAREEL_STANDIN_ENGINE_STATE_H_
#define WISTERIAREEL_STANDIN_ENGINE_STATE_H_

#include <array>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Slots of an engine's batch. A waiting sequence acquires a free slot only
// while no sequence of a higher priority waits. Thread-safe.
class BatchSlots {
 public:
  explicit BatchSlots(int size) : size_(size) {}

  // Waits for a free slot. Returns false if `aborted()` returns true first.
  bool Acquire(Priority priority, const std::function<bool()>& aborted);
  void Release();

  int running() const;
  int waiting() const;

 private:
  bool CanAcquire(std::size_t priority) const;

  const int size_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  int running_ = 0;
  std::array<int, kPriorityCount> waiting_{};
};

// LRU cache of the prompt prefixes that an engine has already prefilled, and
// the events that report its changes. Thread-safe.
class PrefixCache {
 public:
  // `capacity` is the maximum number of prefixes.
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  // Marks a prefix as the most recently used and stores it if it is missing.
  // Returns whether it was cached already. Drops every `drop_every`-th event;
  // zero drops none.
  bool Use(std::uint64_t prefix, std::int64_t drop_every);

  // Returns the events numbered above `after` that are at least `lag` old.
  // Dropped events leave gaps in the numbers.
  nlohmann::json EventsAfter(std::uint64_t after, absl::Duration lag) const;

 private:
  struct Event {
    std::uint64_t number = 0;
    bool stored = false;
    std::uint64_t prefix = 0;
    absl::Time time;
  };

  void RecordEvent(bool stored, std::uint64_t prefix, std::int64_t drop_every);

  const std::size_t capacity_;
  mutable std::mutex mutex_;
  // Most recently used first.
  std::list<std::uint64_t> prefixes_;
  std::deque<Event> events_;
  std::uint64_t next_event_ = 1;
};

// Models, adapters, version and role that target orders have set on an engine.
// Thread-safe.
class EngineOrders {
 public:
  EngineOrders(std::set<std::string> models, bool checks_fencing)
      : checks_fencing_(checks_fencing), models_(std::move(models)) {}

  // Executes one order: {"order_id", "fencing_number", "kind", "name"} with
  // kind load_model, unload_model, load_adapter, unload_adapter, set_version or
  // set_role. An order id executed before isn't executed again. Returns the
  // HTTP status and sets `*response`: 400 for a malformed order or an unknown
  // kind, 409 for a fencing number below the highest one seen.
  int Apply(const nlohmann::json& order, nlohmann::json* response);

  nlohmann::json ToJson() const;
  bool HasModel(const std::string& model) const;

 private:
  // Returns false for an unknown kind.
  bool ExecuteOrder(const std::string& kind, const std::string& name);

  const bool checks_fencing_;
  mutable std::mutex mutex_;
  std::set<std::string> models_;
  std::set<std::string> adapters_;
  std::string version_;
  std::string role_ = "both";
  std::set<std::string> executed_ids_;
  std::uint64_t highest_fencing_ = 0;
};

// History of an engine's load, reported with a configurable lag. Thread-safe.
class LoadReports {
 public:
  void Record(int running, int waiting);
  // Returns the newest entry that is at least `lag` old, or zeros without one.
  nlohmann::json Report(absl::Duration lag) const;

 private:
  struct Entry {
    absl::Time time;
    int running = 0;
    int waiting = 0;
  };

  mutable std::mutex mutex_;
  std::deque<Entry> entries_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_ENGINE_STATE_H_
