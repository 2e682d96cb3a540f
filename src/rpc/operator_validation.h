#ifndef WISTERIAREEL_SRC_RPC_OPERATOR_VALIDATION_H_
#define WISTERIAREEL_SRC_RPC_OPERATOR_VALIDATION_H_

#include <string>

#include "wisteriareel/reason.h"
#include "wisteriareel/v1/operator.pb.h"

// Checks what operators send. Each function returns true, or false with
// kMalformed and a detail that names the field. Pure functions.
namespace wisteriareel {

// Longest id, display name, path prefix or other short text, in bytes.
inline constexpr int kMaxNameBytes = 128;
// Most models or adapters of one entry.
inline constexpr int kMaxListedNames = 256;

bool CheckId(const std::string& field, const std::string& id,
             LastReason* reason);
bool Check(const v1::Customer& customer, LastReason* reason);
bool Check(const v1::Budget& budget, LastReason* reason);
bool Check(const v1::Pool& pool, LastReason* reason);
bool Check(const v1::Target& target, LastReason* reason);
bool Check(const v1::IdempotencyRule& rule, LastReason* reason);
bool Check(const v1::PoolPlan& plan, LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_OPERATOR_VALIDATION_H_
