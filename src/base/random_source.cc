#include "wisteriareel/random_source.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

class Mt19937Source final : public RandomSource {
 public:
  explicit Mt19937Source(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() override {
    std::lock_guard<std::mutex> lock(mutex_);
    return engine_();
  }

 private:
  std::mutex mutex_;
  std::mt19937_64 engine_;
};

}  // namespace

std::string RandomSource::HexId() {
  const std::uint64_t high = Next();
  const std::uint64_t low = Next();
  return absl::StrCat(absl::Hex(high, absl::kZeroPad16),
                      absl::Hex(low, absl::kZeroPad16));
}

std::unique_ptr<RandomSource> MakeSystemRandom() {
  std::random_device device;
  const std::uint64_t high = device();
  return std::make_unique<Mt19937Source>((high << 32) | device());
}

std::unique_ptr<RandomSource> MakeSeededRandom(std::uint64_t seed) {
  return std::make_unique<Mt19937Source>(seed);
}

}  // namespace wisteriareel
