#ifndef WISTERIAREEL_SRC_ROUTING_PAIR_RANK_H_
#define WISTERIAREEL_SRC_ROUTING_PAIR_RANK_H_

#include <cstdint>

namespace wisteriareel {

// Returns the rank of the pair for rendezvous hashing: each `a` selects the `b`
// with the highest rank. The result is the same in every process.
inline std::uint64_t PairRank(std::uint64_t a, std::uint64_t b) {
  // Finalizer of SplitMix64.
  std::uint64_t x = a * 0x9e3779b97f4a7c15 ^ b;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTING_PAIR_RANK_H_
