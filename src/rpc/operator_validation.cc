#include "src/rpc/operator_validation.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

constexpr std::uint32_t kMaxPort = 65535;

// Sets `reason` to kMalformed with a detail that says what is expected of
// `field`. Always returns false.
bool RefuseField(const std::string& field, const std::string& expectation,
                 LastReason* reason) {
  reason->Set(Reason::kMalformed, absl::StrCat(field, ": ", expectation));
  return false;
}

bool IsIdCharacter(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' ||
         c == '_' || c == '-';
}

// Returns whether `c` may occur in the name of a model or adapter. Such names
// may include their owner, as in "owner/name".
bool IsNameCharacter(char c) {
  return IsIdCharacter(c) || c == '/' || c == ':';
}

bool CheckText(const std::string& field, const std::string& text,
               LastReason* reason) {
  const bool no_controls = std::none_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_iscntrl(static_cast<unsigned char>(c));
  });
  if (no_controls && text.size() <= kMaxNameBytes) return true;
  return RefuseField(field,
                     absl::StrCat("at most ", kMaxNameBytes,
                                  " bytes without control characters"),
                     reason);
}

template <typename Names>
bool CheckNames(const std::string& field, const Names& names,
                LastReason* reason) {
  if (names.size() > kMaxListedNames) {
    return RefuseField(field, absl::StrCat("at most ", kMaxListedNames),
                       reason);
  }
  for (const std::string& name : names) {
    const bool valid = !name.empty() && name.size() <= kMaxNameBytes &&
                       std::all_of(name.begin(), name.end(), IsNameCharacter);
    if (valid) continue;
    return RefuseField(field, "1 to 128 bytes of [A-Za-z0-9._:/-] each",
                       reason);
  }
  return true;
}

bool IsIpAddress(const std::string& host) {
  in6_addr address{};
  return inet_pton(AF_INET, host.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &address) == 1;
}

}  // namespace

bool CheckId(const std::string& field, const std::string& id,
             LastReason* reason) {
  const bool valid = !id.empty() && id.size() <= kMaxNameBytes &&
                     std::all_of(id.begin(), id.end(), IsIdCharacter);
  return valid ||
         RefuseField(field, "1 to 128 bytes of [A-Za-z0-9._-]", reason);
}

bool ValidateCustomer(const v1::Customer& customer, LastReason* reason) {
  return CheckId("customer.id", customer.id(), reason) &&
         CheckText("customer.display_name", customer.display_name(), reason);
}

bool ValidateBudget(const v1::Budget& budget, LastReason* reason) {
  return CheckId("budget.id", budget.id(), reason) &&
         CheckId("budget.customer_id", budget.customer_id(), reason);
}

bool ValidatePool(const v1::Pool& pool, LastReason* reason) {
  if (!CheckId("pool.id", pool.id(), reason)) return false;
  if (!CheckNames("pool.models", pool.models(), reason)) return false;
  if (!CheckText("pool.path_prefix", pool.path_prefix(), reason)) return false;
  if (pool.service_call_tokens() < 0) {
    return RefuseField("pool.service_call_tokens", "0 or more", reason);
  }
  switch (pool.kind()) {
    case v1::POOL_KIND_MODEL:
      if (pool.models().empty()) {
        return RefuseField("pool.models", "at least one for a model pool",
                           reason);
      }
      return pool.path_prefix().empty() ||
             RefuseField("pool.path_prefix", "empty for a model pool", reason);
    case v1::POOL_KIND_SERVICE:
      if (!pool.models().empty()) {
        return RefuseField("pool.models", "none for a service pool", reason);
      }
      return pool.path_prefix().substr(0, 1) == "/" ||
             RefuseField("pool.path_prefix", "starts with / for a service pool",
                         reason);
    default:
      return RefuseField("pool.kind", "POOL_KIND_MODEL or POOL_KIND_SERVICE",
                         reason);
  }
}

bool ValidateTarget(const v1::Target& target, LastReason* reason) {
  if (!CheckId("target.id", target.id(), reason) ||
      !CheckId("target.pool_id", target.pool_id(), reason) ||
      !CheckId("target.region", target.region(), reason) ||
      !CheckId("target.zone", target.zone(), reason)) {
    return false;
  }
  if (!IsIpAddress(target.host())) {
    return RefuseField("target.host", "an IP address", reason);
  }
  const bool port_valid = target.port() > 0 && target.port() <= kMaxPort;
  return port_valid || RefuseField("target.port", "1 to 65535", reason);
}

bool ValidateIdempotencyRule(const v1::IdempotencyRule& rule,
                             LastReason* reason) {
  if (!CheckId("rule.id", rule.id(), reason) ||
      !CheckId("rule.pool_id", rule.pool_id(), reason) ||
      !CheckText("rule.path_prefix", rule.path_prefix(), reason)) {
    return false;
  }
  const std::string& method = rule.method();
  const bool method_valid =
      method.empty() || method == "*" ||
      std::all_of(method.begin(), method.end(),
                  [](unsigned char c) { return absl::ascii_isupper(c); });
  return method_valid ||
         RefuseField("rule.method", "an upper-case HTTP method or *", reason);
}

bool ValidatePoolPlan(const v1::PoolPlan& plan, LastReason* reason) {
  if (!CheckId("plan.pool_id", plan.pool_id(), reason) ||
      !CheckNames("plan.loaded_models", plan.loaded_models(), reason) ||
      !CheckNames("plan.loaded_adapters", plan.loaded_adapters(), reason) ||
      !CheckText("plan.version", plan.version(), reason)) {
    return false;
  }
  const std::string& role = plan.role();
  const bool role_valid =
      role.empty() || role == "prefill" || role == "decode" || role == "both";
  return role_valid ||
         RefuseField("plan.role", "prefill, decode or both", reason);
}

}  // namespace wisteriareel
