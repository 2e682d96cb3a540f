#ifndef WISTERIAREEL_OBJECT_STORE_H_
#define WISTERIAREEL_OBJECT_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// The platform's object store. Thread-safe. Calls block for at most their
// timeout. Objects are immutable: a second Put of a name succeeds with the same
// bytes and is a conflict with other bytes.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  virtual CommitOutcome Put(const std::string& name, const std::string& bytes,
                            absl::Duration timeout) = 0;

  // Returns the object's bytes, or nullopt with kNotFound or, if the read
  // failed, a platform reason.
  virtual std::optional<std::string> Get(const std::string& name,
                                         absl::Duration timeout,
                                         LastReason* reason) = 0;

  // Returns up to `limit` names with `prefix` that sort after `after`, or
  // nullopt with a reason.
  virtual std::optional<std::vector<std::string>> List(
      const std::string& prefix, const std::string& after, int limit,
      absl::Duration timeout, LastReason* reason) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_OBJECT_STORE_H_
