#ifndef WISTERIAREEL_STANDIN_ENGINE_TEXT_H_
#define WISTERIAREEL_STANDIN_ENGINE_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriareel {

// What the model engine answers to a prompt; the same at every engine, so
// that a client can tell whether it got the whole answer to its own prompt.
// Depends on the last message only.
class EngineText {
 public:
  explicit EngineText(std::string_view last_message);

  // Returns the token at `index`.
  std::string Token(std::uint64_t index) const;

  // Returns the first `count` tokens together.
  std::string Prefix(std::uint64_t count) const;

  // Returns how many tokens the answer has if no limit cuts it.
  std::uint64_t unlimited_length() const;

  // Returns a name that two prompts don't share.
  std::string Id() const;

 private:
  std::uint64_t seed_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_ENGINE_TEXT_H_
