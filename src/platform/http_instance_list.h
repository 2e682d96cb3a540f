#ifndef WISTERIAREEL_SRC_PLATFORM_HTTP_INSTANCE_LIST_H_
#define WISTERIAREEL_SRC_PLATFORM_HTTP_INSTANCE_LIST_H_

#include <optional>
#include <vector>

#include "src/platform/platform_client.h"
#include "wisteriareel/instance_list.h"

namespace wisteriareel {

// The platform's list of instances over HTTP. Thread-safe.
class HttpInstanceList final : public InstanceList {
 public:
  explicit HttpInstanceList(PlatformClientOptions options);

  std::optional<std::vector<ListedInstance>> List(absl::Duration timeout,
                                                  LastReason* reason) override;

 private:
  PlatformClient client_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PLATFORM_HTTP_INSTANCE_LIST_H_
