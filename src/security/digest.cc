#include "src/security/digest.h"

#include <cstdlib>

#include "absl/strings/escaping.h"
#include "absl/strings/string_view.h"
#include "openssl/crypto.h"
#include "openssl/evp.h"
#include "openssl/hmac.h"
#include "openssl/rand.h"

namespace wisteriareel {
namespace {

constexpr int kSecretBytes = 32;

std::string Hex(const std::string& bytes) {
  return absl::BytesToHexString(absl::string_view(bytes.data(), bytes.size()));
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::string digest(kSha256Bytes, '\0');
  unsigned int n = 0;
  EVP_Digest(data.data(), data.size(),
             reinterpret_cast<unsigned char*>(digest.data()), &n, EVP_sha256(),
             nullptr);
  return Hex(digest);
}

std::string HmacSha256(std::string_view key, std::string_view data) {
  std::string digest(kSha256Bytes, '\0');
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       reinterpret_cast<unsigned char*>(digest.data()), &n);
  return digest;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomBytes(int count) {
  std::string bytes(static_cast<std::size_t>(count), '\0');
  const int ok =
      RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), count);
  if (ok != 1) std::abort();
  return bytes;
}

std::string GenerateSecret(std::string_view prefix) {
  return std::string(prefix) + Hex(RandomBytes(kSecretBytes));
}

}  // namespace wisteriareel
