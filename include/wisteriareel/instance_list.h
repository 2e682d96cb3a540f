#ifndef WISTERIAREEL_INSTANCE_LIST_H_
#define WISTERIAREEL_INSTANCE_LIST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

enum class InstanceRole : std::uint8_t { kEntry, kTarget };
enum class InstanceState : std::uint8_t { kLive, kLeaving };

// One entry of the platform's list. A target's `id` is its TargetId.
struct ListedInstance {
  std::string id;
  InstanceRole role = InstanceRole::kEntry;
  InstanceState state = InstanceState::kLive;
  RegionId region;
  ZoneId zone;
  Endpoint endpoint;

  friend bool operator==(const ListedInstance&,
                         const ListedInstance&) = default;
};

// The platform's list of instances, which may be outdated. Thread-safe.
class InstanceList {
 public:
  virtual ~InstanceList() = default;

  // Returns all listed instances, or nullopt with a reason.
  virtual std::optional<std::vector<ListedInstance>> List(
      absl::Duration timeout, LastReason* reason) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_INSTANCE_LIST_H_
