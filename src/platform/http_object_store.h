#ifndef WISTERIAREEL_SRC_PLATFORM_HTTP_OBJECT_STORE_H_
#define WISTERIAREEL_SRC_PLATFORM_HTTP_OBJECT_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "src/platform/platform_client.h"
#include "wisteriareel/object_store.h"

namespace wisteriareel {

// The platform's object store over HTTP. Thread-safe.
class HttpObjectStore final : public ObjectStore {
 public:
  explicit HttpObjectStore(PlatformClientOptions options);

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
  PlatformClient client_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PLATFORM_HTTP_OBJECT_STORE_H_
