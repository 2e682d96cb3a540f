#ifndef WISTERIAREEL_SRC_BASE_CONTENT_HASH_H_
#define WISTERIAREEL_SRC_BASE_CONTENT_HASH_H_

#include <cstdint>
#include <string_view>

namespace wisteriareel {

// FNV-1a hash over a sequence of strings. Equal in every process, unlike
// absl::Hash, so that instances can compare stored hashes.
class ContentHash {
 public:
  // Adds a string and a separator, so that the same bytes split differently
  // hash differently.
  ContentHash& Add(std::string_view text) {
    for (const char c : text) AddByte(static_cast<unsigned char>(c));
    AddByte(kSeparator);
    return *this;
  }

  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  static constexpr std::uint64_t kPrime = 0x100000001b3;
  // Never occurs in valid UTF-8.
  static constexpr unsigned char kSeparator = 0xff;

  void AddByte(unsigned char byte) { value_ = (value_ ^ byte) * kPrime; }

  std::uint64_t value_ = kOffsetBasis;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_BASE_CONTENT_HASH_H_
