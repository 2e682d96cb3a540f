#include "standin/engine_text.h"

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

constexpr std::uint64_t kMinResponseTokens = 8;
// Number of distinct response lengths.
constexpr std::uint64_t kResponseLengthCount = 248;

// The SplitMix64 finalizer.
std::uint64_t Mix(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9;
  x ^= x >> 27;
  x *= 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

}  // namespace

EngineText::EngineText(std::string_view last_message) {
  for (const char c : last_message) {
    seed_ = Mix(seed_ + static_cast<unsigned char>(c) + 0x9e3779b97f4a7c15);
  }
}

std::string EngineText::Token(std::uint64_t index) const {
  return absl::StrCat(absl::Hex(Mix(seed_ + index) & 0xffff, absl::kZeroPad4),
                      " ");
}

std::string EngineText::Prefix(std::uint64_t count) const {
  std::string text;
  for (std::uint64_t i = 0; i < count; ++i) text += Token(i);
  return text;
}

std::uint64_t EngineText::unlimited_length() const {
  return kMinResponseTokens + seed_ % kResponseLengthCount;
}

std::string EngineText::Id() const {
  return absl::StrCat("chatcmpl-", absl::Hex(seed_, absl::kZeroPad16));
}

}  // namespace wisteriareel
