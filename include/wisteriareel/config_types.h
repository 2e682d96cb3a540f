#ifndef WISTERIAREEL_CONFIG_TYPES_H_
#define WISTERIAREEL_CONFIG_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "wisteriareel/types.h"

namespace wisteriareel {

// An organization that buys tokens in advance.
struct Customer {
  CustomerId id;
  std::string display_name;
  bool suspended = false;
  // Relative share of capacity under saturation; positive.
  std::uint32_t weight = 1;

  friend bool operator==(const Customer&, const Customer&) = default;
};

// A credential of a customer. The key itself is never stored.
struct ApiKey {
  // Lower-case hexadecimal SHA-256 of the key; names the entry.
  std::string hash;
  CustomerId customer;
  // The budget that requests with this key are charged to.
  BudgetId budget;
  bool revoked = false;

  friend bool operator==(const ApiKey&, const ApiKey&) = default;
};

// A prepaid budget. Amounts are stored separately; see budget_manager.h.
struct Budget {
  BudgetId id;
  CustomerId customer;
  // While set, new reservations are refused.
  bool frozen = false;

  friend bool operator==(const Budget&, const Budget&) = default;
};

enum class PoolKind : std::uint8_t { kModel, kService };

// A group of interchangeable targets.
struct Pool {
  PoolId id;
  PoolKind kind = PoolKind::kModel;
  // Models that the pool serves. Empty for service pools.
  std::vector<ModelName> models;
  // Path prefix of a service pool, such as "/records/". Empty for model pools.
  std::string path_prefix;
  // Maximum number of requests in flight at one target. The pool is saturated
  // when all its targets have reached it.
  std::uint32_t max_in_flight_per_target = 64;
  // Tokens charged for one call of a service pool; zero if calls are free.
  Tokens service_call_tokens;
  // Output limit, in tokens, of a model call that states none.
  std::uint32_t default_output_limit = 1024;

  friend bool operator==(const Pool&, const Pool&) = default;
};

// A backend server.
struct Target {
  TargetId id;
  PoolId pool;
  RegionId region;
  ZoneId zone;
  Endpoint endpoint;
  // Set by an operator's drain order: the target gets no new requests.
  bool draining = false;
  // Whether the target refuses orders with an outdated fencing number.
  bool checks_fencing = false;

  friend bool operator==(const Target&, const Target&) = default;
};

// Declares which calls of a pool are idempotent and may be retried. The rule
// with the longest matching path prefix applies; a call without a matching rule
// is not idempotent.
struct IdempotencyRule {
  std::string id;
  PoolId pool;
  // HTTP method, or "*" for any.
  std::string method = "*";
  std::string path_prefix;
  bool idempotent = false;

  friend bool operator==(const IdempotencyRule&,
                         const IdempotencyRule&) = default;
};

// The desired state of a pool's targets.
struct PoolPlan {
  PoolId pool;
  std::vector<ModelName> loaded_models;
  std::vector<std::string> loaded_adapters;
  std::string version;
  // Role of the pool's engines, such as "prefill", "decode" or "both".
  std::string role = "both";

  friend bool operator==(const PoolPlan&, const PoolPlan&) = default;
};

// Kinds of configuration entries. The numbers are stored: append only.
enum class ConfigKind : std::uint8_t {
  kCustomer = 1,
  kApiKey = 2,
  kBudget = 3,
  kPool = 4,
  kTarget = 5,
  kIdempotencyRule = 6,
  kPoolPlan = 7,
};

using ConfigValue = std::variant<Customer, ApiKey, Budget, Pool, Target,
                                 IdempotencyRule, PoolPlan>;

// Identifies one configuration entry.
struct ConfigKey {
  ConfigKind kind = ConfigKind::kCustomer;
  std::string id;

  friend bool operator==(const ConfigKey&, const ConfigKey&) = default;
  friend auto operator<=>(const ConfigKey&, const ConfigKey&) = default;
};

// Returns the key under which `value` is stored.
ConfigKey KeyOf(const ConfigValue& value);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_TYPES_H_
