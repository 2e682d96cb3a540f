#ifndef WISTERIAREEL_SRC_BASE_CONTENT_HASH_H_
#define WISTERIAREEL_SRC_BASE_CONTENT_HASH_H_

#include <cstdint>
#include <string_view>

namespace wisteriareel {

// FNV-1a over several parts. Equal in every process, unlike absl::Hash, so
// that instances can compare what they stored.
class ContentHash {
 public:
  // Adds a part; parts that are split differently hash differently.
  ContentHash& Add(std::string_view part) {
    for (const char c : part) AddByte(static_cast<unsigned char>(c));
    AddByte(kSeparator);
    return *this;
  }

  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  static constexpr std::uint64_t kPrime = 0x100000001b3;
  // No valid UTF-8 text holds this byte.
  static constexpr unsigned char kSeparator = 0xff;

  void AddByte(unsigned char byte) { value_ = (value_ ^ byte) * kPrime; }

  std::uint64_t value_ = kOffsetBasis;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_BASE_CONTENT_HASH_H_
