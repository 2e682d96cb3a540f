#ifndef WISTERIAREEL_STABLE_HASH_H_
#define WISTERIAREEL_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace wisteriareel {

// Returns a 64-bit hash of `bytes`: FNV-1a with a mixing step at the end. It is
// the same at every instance and in every release, unlike absl::Hash. Not
// cryptographic.
constexpr std::uint64_t StableHash(std::string_view bytes,
                                   std::uint64_t seed = 0) {
  std::uint64_t hash = 0xcbf29ce484222325 ^ seed;
  for (const char c : bytes) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3;
  }
  hash += 0x9e3779b97f4a7c15;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
  return hash ^ (hash >> 31);
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STABLE_HASH_H_
