#ifndef WISTERIAREEL_SRC_HTTP_KEY_HASH_H_
#define WISTERIAREEL_SRC_HTTP_KEY_HASH_H_

#include <string>
#include <string_view>

namespace wisteriareel {

// Returns the lower-case hexadecimal SHA-256 of `secret`, under which a key
// is stored.
std::string HashKey(std::string_view secret);

// Compares in a time that depends on the sizes only.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_KEY_HASH_H_
