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

// The places in an engine's batch. A sequence joins as soon as one is free,
// those of the highest priority first. Thread-safe.
class BatchSlots {
 public:
  explicit BatchSlots(int size) : size_(size) {}

  // Waits for a place. Returns false if `aborted` became true before.
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

// The prompt prefixes whose work an engine keeps, in limited memory, and the
// events that tell of them. Thread-safe.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  // Notes the use of a prefix. Returns whether it was kept already. Every
  // `drop_every`-th event is lost; zero loses none.
  bool Use(std::uint64_t prefix, std::int64_t drop_every);

  // Returns the events numbered above `after` that are older than `lag`.
  // Numbers of lost events are missing.
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
  // Used last in front.
  std::list<std::uint64_t> prefixes_;
  std::deque<Event> events_;
  std::uint64_t next_event_ = 1;
};

// What an engine was ordered to hold. Thread-safe.
class EngineOrders {
 public:
  EngineOrders(std::set<std::string> models, bool checks_fencing)
      : checks_fencing_(checks_fencing), models_(std::move(models)) {}

  // Carries out one order: {"order_id", "fencing_number", "kind", "name"}
  // with kind load_model, unload_model, load_adapter, unload_adapter,
  // set_version or set_role. An order id seen before changes nothing and gets
  // the same answer. Returns the HTTP status and fills `response`.
  int Apply(const nlohmann::json& order, nlohmann::json* response);

  nlohmann::json ToJson() const;
  bool HasModel(const std::string& model) const;

 private:
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

// Reports of an engine's load, which lag. Thread-safe.
class LoadReports {
 public:
  void Record(int running, int waiting);
  // Returns the newest report that is older than `lag`.
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
