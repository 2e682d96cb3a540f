#ifndef WISTERIAREEL_STANDIN_FAKES_MEMORY_INSTANCE_LIST_H_
#define WISTERIAREEL_STANDIN_FAKES_MEMORY_INSTANCE_LIST_H_

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/instance_list.h"

namespace wisteriareel {

// An instance list that returns the instances set by the test, or fails while
// an outage is set. Thread-safe.
class MemoryInstanceList final : public InstanceList {
 public:
  void Set(std::vector<ListedInstance> instances) {
    std::lock_guard<std::mutex> lock(mutex_);
    instances_ = std::move(instances);
  }

  void SetOutage(bool outage) {
    std::lock_guard<std::mutex> lock(mutex_);
    outage_ = outage;
  }

  std::optional<std::vector<ListedInstance>> List(absl::Duration /*timeout*/,
                                                  LastReason* reason) override {
    std::lock_guard<std::mutex> lock(mutex_);
    if (outage_) {
      reason->Set(Reason::kPlatformUnavailable, "instance list outage");
      return std::nullopt;
    }
    return instances_;
  }

 private:
  std::mutex mutex_;
  bool outage_ = false;
  std::vector<ListedInstance> instances_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_MEMORY_INSTANCE_LIST_H_
