#ifndef WISTERIAREEL_RENDEZVOUS_H_
#define WISTERIAREEL_RENDEZVOUS_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "wisteriareel/stable_hash.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Returns the members in the order of their rendezvous rank for `topic`,
// highest first. All instances that know the same members compute the same
// order; adding or removing a member does not reorder the others.
inline std::vector<InstanceId> RendezvousOrder(
    const std::string& topic, std::vector<InstanceId> members) {
  const std::uint64_t seed = StableHash(topic);
  std::sort(members.begin(), members.end(),
            [seed](const InstanceId& a, const InstanceId& b) {
              const std::uint64_t x = StableHash(a.value(), seed);
              const std::uint64_t y = StableHash(b.value(), seed);
              return x != y ? x > y : a < b;
            });
  return members;
}

// Returns the position of `self` in RendezvousOrder, or the number of members
// if `self` is not one of them.
inline std::size_t RendezvousRank(const std::string& topic,
                                  const InstanceId& self,
                                  const std::vector<InstanceId>& members) {
  const std::uint64_t seed = StableHash(topic);
  const std::uint64_t own = StableHash(self.value(), seed);
  std::size_t rank = 0;
  bool found = false;
  for (const InstanceId& id : members) {
    if (id == self) {
      found = true;
      continue;
    }
    const std::uint64_t other = StableHash(id.value(), seed);
    if (other > own || (other == own && id < self)) ++rank;
  }
  return found ? rank : members.size();
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_RENDEZVOUS_H_
