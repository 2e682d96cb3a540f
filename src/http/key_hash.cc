#include "src/http/key_hash.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

#include "absl/strings/escaping.h"
#include "absl/strings/string_view.h"

namespace wisteriareel {

std::string HashKey(std::string_view secret) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
         digest.data());
  return absl::BytesToHexString(absl::string_view(
      reinterpret_cast<const char*>(digest.data()), digest.size()));
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace wisteriareel
