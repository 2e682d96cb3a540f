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
    reason->Set(Reason::kUnauthenticated, "no bearer token");
    return std::nullopt;
  }
  const std::string hash =
      Sha256Hex(authorization.substr(kBearerScheme.size()));
  const OperatorCredential* found = nullptr;
  // No early exit: the time must not tell which credential matches.
  for (const OperatorCredential& credential : credentials_) {
    if (EqualInConstantTime(hash, credential.token_sha256)) found = &credential;
  }
  if (found == nullptr) {
    reason->Set(Reason::kUnauthenticated, "unknown token");
    return std::nullopt;
  }
  if (found->role < needed) {
    reason->Set(Reason::kForbidden, "the operate role is needed");
    return std::nullopt;
  }
  return *found;
}

}  // namespace wisteriareel
