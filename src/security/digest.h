#ifndef WISTERIAREEL_SRC_SECURITY_DIGEST_H_
#define WISTERIAREEL_SRC_SECURITY_DIGEST_H_

#include <string>
#include <string_view>

// Digests and secrets, from OpenSSL. This header needs C++17 only, so that
// sources which can't be built as C++20 may use it. All functions are
// thread-safe.
namespace wisteriareel {

// Bytes of a SHA-256 digest.
inline constexpr int kSha256Bytes = 32;

// Returns the lower-case hexadecimal SHA-256 of `data`.
std::string Sha256Hex(std::string_view data);

// Returns the 32 bytes of HMAC-SHA-256 of `data` under `key`.
std::string HmacSha256(std::string_view key, std::string_view data);

// Returns whether `a` and `b` are equal, in a time that depends on their
// sizes only.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// Returns `count` bytes from the system's cryptographic generator. Aborts if
// there is none, since no secret may be made without it.
std::string RandomBytes(int count);

// Returns a fresh secret of 256 random bits: `prefix` and 64 hexadecimal
// digits.
std::string GenerateSecret(std::string_view prefix);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_SECURITY_DIGEST_H_
