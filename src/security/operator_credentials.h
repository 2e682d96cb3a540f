#ifndef WISTERIAREEL_SRC_SECURITY_OPERATOR_CREDENTIALS_H_
#define WISTERIAREEL_SRC_SECURITY_OPERATOR_CREDENTIALS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriareel/reason.h"

namespace wisteriareel {

// Permissions of a credential. A higher role includes the lower ones.
enum class OperatorRole : std::uint8_t {
  kRead = 1,     // Read-only calls.
  kOperate = 2,  // All calls.
};

// An operator's credential. The token itself is not stored.
struct OperatorCredential {
  std::string name;
  OperatorRole role = OperatorRole::kRead;
  // Lower-case hexadecimal SHA-256 of the token.
  std::string token_sha256;

  friend bool operator==(const OperatorCredential&,
                         const OperatorCredential&) = default;
};

// The operator credentials that an instance accepts. Immutable; thread-safe.
class OperatorCredentials {
 public:
  OperatorCredentials() = default;
  explicit OperatorCredentials(std::vector<OperatorCredential> credentials);

  // Returns the credential that matches `authorization`, the value of the
  // authorization metadata ("Bearer TOKEN"). Returns nullopt with
  // kUnauthenticated if none matches, and with kForbidden if its role doesn't
  // include `needed`. The time taken doesn't depend on which credential
  // matches.
  std::optional<OperatorCredential> Authorize(std::string_view authorization,
                                              OperatorRole needed,
                                              LastReason* reason) const;

 private:
  std::vector<OperatorCredential> credentials_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_SECURITY_OPERATOR_CREDENTIALS_H_
