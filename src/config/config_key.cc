#include <cstdint>
#include <string>
#include <variant>

#include "absl/strings/str_cat.h"
#include "wisteriareel/config_delta.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

struct KeyVisitor {
  ConfigKey operator()(const Customer& value) const {
    return {ConfigKind::kCustomer, value.id.value()};
  }
  ConfigKey operator()(const ApiKey& value) const {
    return {ConfigKind::kApiKey, value.hash};
  }
  ConfigKey operator()(const Budget& value) const {
    return {ConfigKind::kBudget, value.id.value()};
  }
  ConfigKey operator()(const Pool& value) const {
    return {ConfigKind::kPool, value.id.value()};
  }
  ConfigKey operator()(const Target& value) const {
    return {ConfigKind::kTarget, value.id.value()};
  }
  ConfigKey operator()(const IdempotencyRule& value) const {
    return {ConfigKind::kIdempotencyRule, value.id};
  }
  ConfigKey operator()(const PoolPlan& value) const {
    return {ConfigKind::kPoolPlan, value.pool.value()};
  }
};

}  // namespace

ConfigKey KeyOf(const ConfigValue& value) {
  return std::visit(KeyVisitor{}, value);
}

std::uint64_t EntryDigest(const ConfigKey& key, Revision version) {
  return StableHash(absl::StrCat(static_cast<int>(key.kind), "/", key.id),
                    version.value());
}

}  // namespace wisteriareel
