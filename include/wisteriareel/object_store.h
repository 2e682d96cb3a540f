#ifndef WISTERIAREEL_OBJECT_STORE_H_
#define WISTERIAREEL_OBJECT_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// The platform's object store. Thread-safe. Objects are immutable: a second
// put of a name with other bytes is a conflict, with the same bytes a success.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  virtual CommitOutcome Put(const std::string& name, const std::string& bytes,
                            absl::Duration timeout) = 0;

  // Returns the object's bytes, or nullopt with kNotFound or a platform
  // reason.
  virtual std::optional<std::string> Get(const std::string& name,
                                         absl::Duration timeout,
                                         LastReason* reason) = 0;

  // Returns up to `limit` names with `prefix` that sort after `after`.
  virtual std::optional<std::vector<std::string>> List(
      const std::string& prefix, const std::string& after, int limit,
      absl::Duration timeout, LastReason* reason) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_OBJECT_STORE_H_
