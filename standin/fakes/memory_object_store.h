#ifndef WISTERIAREEL_STANDIN_FAKES_MEMORY_OBJECT_STORE_H_
#define WISTERIAREEL_STANDIN_FAKES_MEMORY_OBJECT_STORE_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/object_store.h"

namespace wisteriareel {

// Faults that a MemoryObjectStore injects until they are reset.
struct ObjectStoreFaults {
  // Rejects every call without effect.
  bool outage = false;
  // Number of puts that store their object but return kUnknown.
  int lose_replies = 0;
};

// In-memory object store with fault injection. Thread-safe.
class MemoryObjectStore final : public ObjectStore {
 public:
  // Replaces the injected faults.
  void SetFaults(const ObjectStoreFaults& faults);

  CommitOutcome Put(const std::string& name, const std::string& bytes,
                    absl::Duration timeout) override;
  std::optional<std::string> Get(const std::string& name,
                                 absl::Duration timeout,
                                 LastReason* reason) override;
  std::optional<std::vector<std::string>> List(const std::string& prefix,
                                               const std::string& after,
                                               int limit,
                                               absl::Duration timeout,
                                               LastReason* reason) override;

 private:
  std::mutex mutex_;
  ObjectStoreFaults faults_;
  std::map<std::string, std::string> objects_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_MEMORY_OBJECT_STORE_H_
