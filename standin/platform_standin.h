#ifndef WISTERIAREEL_STANDIN_PLATFORM_STANDIN_H_
#define WISTERIAREEL_STANDIN_PLATFORM_STANDIN_H_

#include <deque>
#include <functional>
#include <mutex>
#include <vector>

#include "absl/time/time.h"
#include "standin/fakes/memory_object_store.h"
#include "standin/fakes/memory_table.h"
#include "standin/standin_listener.h"
#include "wisteriareel/instance_list.h"

namespace wisteriareel {

// Limits the number of calls per one-second window. Thread-safe.
class CallRateLimiter {
 public:
  // Returns whether one more call fits into the current window, and counts it
  // if so. Zero is no limit.
  bool TryAcquire(std::int64_t calls_per_second);

 private:
  std::mutex mutex_;
  absl::Time second_start_;
  std::int64_t acquired_ = 0;
};

// The platform behind HTTP: table, object store and instance list, each with
// configurable faults. Holds all data in memory. Thread-safe.
class PlatformStandin final : public StandinListener {
 public:
  PlatformStandin();
  ~PlatformStandin() override;

  MemoryTable* table() { return &table_; }
  MemoryObjectStore* objects() { return &objects_; }

  // Adds an instance to the list or replaces it. Readers see the change after
  // the fault instances_lag_ms.
  void UpsertInstance(const ListedInstance& instance);
  // Removes an instance from the list, with the same lag.
  void RemoveInstance(const std::string& id);

 private:
  struct ListVersion {
    absl::Time since;
    std::vector<ListedInstance> instances;
  };

  void HandleRequest(const httplib::Request& request, HttpExchange* exchange,
                     httplib::Response* response) override;
  void OnFaultsChanged(const nlohmann::json& faults) override;

  void HandleTableCall(const httplib::Request& request, HttpExchange* exchange,
                       httplib::Response* response);
  void HandleCommit(const httplib::Request& request, HttpExchange* exchange,
                    httplib::Response* response);
  void HandleObjectCall(const httplib::Request& request, HttpExchange* exchange,
                        httplib::Response* response);
  void HandleInstanceCall(const httplib::Request& request,
                          httplib::Response* response);
  std::vector<ListedInstance> LaggedInstances();
  void ChangeInstances(
      const std::function<void(std::vector<ListedInstance>*)>& change);

  MemoryTable table_;
  MemoryObjectStore objects_;
  CallRateLimiter table_writes_;
  CallRateLimiter table_reads_;
  std::mutex list_mutex_;
  // Oldest first; never empty.
  std::deque<ListVersion> list_versions_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_PLATFORM_STANDIN_H_
