#include "src/security/operator_credentials.h"

#include <utility>

#include "src/security/digest.h"

namespace wisteriareel {
namespace {

constexpr std::string_view kBearerScheme = "Bearer ";

}  // namespace

OperatorCredentials::OperatorCredentials(
    std::vector<OperatorCredential> credentials)
    : credentials_(std::move(credentials)) {}

std::optional<OperatorCredential> OperatorCredentials::Authorize(
    std::string_view authorization, OperatorRole needed,
    LastReason* reason) const {
  if (authorization.substr(0, kBearerScheme.size()) != kBearerScheme) {
    reason->Set(Reason::kUnauthenticated,
                "authorization metadata has no bearer token");
    return std::nullopt;
  }
  const std::string hash =
      Sha256Hex(authorization.substr(kBearerScheme.size()));
  const OperatorCredential* found = nullptr;
  // Checks all credentials, so that the time doesn't reveal which one matches.
  for (const OperatorCredential& credential : credentials_) {
    if (EqualInConstantTime(hash, credential.token_sha256)) found = &credential;
  }
  if (found == nullptr) {
    reason->Set(Reason::kUnauthenticated, "unknown operator token");
    return std::nullopt;
  }
  if (found->role < needed) {
    reason->Set(Reason::kForbidden, "the call requires the operate role");
    return std::nullopt;
  }
  return *found;
}

}  // namespace wisteriareel
