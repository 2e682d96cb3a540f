#ifndef WISTERIAREEL_RANDOM_SOURCE_H_
#define WISTERIAREEL_RANDOM_SOURCE_H_

#include <cstdint>
#include <memory>
#include <string>

namespace wisteriareel {

// Source of random numbers. Implementations are thread-safe.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  // Returns 64 uniformly distributed bits.
  virtual std::uint64_t Next() = 0;

  // Returns an integer in [0, bound). `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }

  // Returns a number in [0, 1).
  double Fraction() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

  // Returns 32 lower-case hexadecimal digits, for use as a unique identifier.
  std::string HexId();
};

// Returns a source seeded by the operating system.
std::unique_ptr<RandomSource> MakeSystemRandom();

// Returns a source that yields the same sequence for the same seed.
std::unique_ptr<RandomSource> MakeSeededRandom(std::uint64_t seed);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_RANDOM_SOURCE_H_
