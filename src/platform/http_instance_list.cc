#include "src/platform/http_instance_list.h"

#include <utility>

#include "src/platform/platform_codec.h"

namespace wisteriareel {

HttpInstanceList::HttpInstanceList(PlatformClientOptions options)
    : client_(std::move(options)) {}

std::optional<std::vector<ListedInstance>> HttpInstanceList::List(
    absl::Duration timeout, LastReason* reason) {
  const PlatformReply reply =
      client_.Call("GET", "/instances", "", "", timeout);
  if (reply.reason != Reason::kNone) {
    reason->Set(reply.reason, "instance list request failed");
    return std::nullopt;
  }
  std::optional<std::vector<ListedInstance>> list = DecodeInstances(reply.body);
  if (!list) {
    reason->Set(Reason::kPlatformUnavailable,
                "instance list: invalid response body");
  }
  return list;
}

}  // namespace wisteriareel
