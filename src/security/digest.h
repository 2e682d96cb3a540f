#ifndef WISTERIAREEL_SRC_SECURITY_DIGEST_H_
#define WISTERIAREEL_SRC_SECURITY_DIGEST_H_

#include <string>
#include <string_view>

// Digests and secrets, based on OpenSSL. This header requires only C++17, for
// sources that can't be built as C++20. All functions are thread-safe.
namespace wisteriareel {

// Size of a SHA-256 digest.
inline constexpr int kSha256Bytes = 32;

// Returns the lower-case hexadecimal SHA-256 of `data`.
std::string Sha256Hex(std::string_view data);

// Returns the 32-byte HMAC-SHA-256 of `data` with `key`.
std::string HmacSha256(std::string_view key, std::string_view data);

// Returns whether `a` and `b` are equal. The time taken depends only on their
// sizes.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// Returns `count` bytes from the cryptographic random generator. Aborts if it
// fails, since secrets must not be generated without it.
std::string RandomBytes(int count);

// Returns a new secret: `prefix` followed by 256 random bits as 64 hexadecimal
// digits.
std::string GenerateSecret(std::string_view prefix);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_SECURITY_DIGEST_H_
