#ifndef WISTERIAREEL_STANDIN_ENGINE_TEXT_H_
#define WISTERIAREEL_STANDIN_ENGINE_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriareel {

// The model engine's response to a prompt. It is a deterministic function of
// the last message and equal at every engine, so that a client can check that
// it received the complete response to its own prompt. Immutable.
class EngineText {
 public:
  explicit EngineText(std::string_view last_message);

  std::string Token(std::uint64_t index) const;

  // Returns the concatenation of the first `count` tokens.
  std::string Prefix(std::uint64_t count) const;

  // Returns the number of tokens in the response without an output limit.
  std::uint64_t unlimited_length() const;

  // Returns the response id, a 64-bit hash of the last message.
  std::string Id() const;

 private:
  std::uint64_t seed_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_ENGINE_TEXT_H_
