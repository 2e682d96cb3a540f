#ifndef WISTERIAREEL_SRC_RPC_OPERATOR_VALIDATION_H_
#define WISTERIAREEL_SRC_RPC_OPERATOR_VALIDATION_H_

#include <string>

#include "wisteriareel/reason.h"
#include "wisteriareel/v1/operator.pb.h"

// Validation of operators' requests. Each function returns true, or false with
// kMalformed and a detail that names the field. Pure functions.
namespace wisteriareel {

// Size limit of an id, display name, path prefix or other short text.
inline constexpr int kMaxNameBytes = 128;
// Maximum number of models, and of adapters, in one entry.
inline constexpr int kMaxListedNames = 256;

bool CheckId(const std::string& field, const std::string& id,
             LastReason* reason);
bool ValidateCustomer(const v1::Customer& customer, LastReason* reason);
bool ValidateBudget(const v1::Budget& budget, LastReason* reason);
bool ValidatePool(const v1::Pool& pool, LastReason* reason);
bool ValidateTarget(const v1::Target& target, LastReason* reason);
bool ValidateIdempotencyRule(const v1::IdempotencyRule& rule,
                             LastReason* reason);
bool ValidatePoolPlan(const v1::PoolPlan& plan, LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_OPERATOR_VALIDATION_H_
