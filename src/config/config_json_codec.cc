#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "nlohmann/json.hpp"
#include "src/config/config_json.h"
#include "wisteriareel/config_types.h"

namespace wisteriareel {
namespace {

using Json = nlohmann::json;

template <typename Id>
Id IdAt(const Json& object, const char* name) {
  return Id(object.at(name).get<std::string>());
}

// Throws unless the number is an unsigned integer; get() would convert others.
std::uint64_t UnsignedAt(const Json& object, const char* name) {
  return object.at(name).get_ref<const Json::number_unsigned_t&>();
}

std::uint32_t Unsigned32At(const Json& object, const char* name) {
  const std::uint64_t number = UnsignedAt(object, name);
  if (number > UINT32_MAX) {
    throw Json::other_error::create(500, "number too large", &object);
  }
  return static_cast<std::uint32_t>(number);
}

ConfigKind KindAt(const Json& object) {
  const std::uint64_t number = UnsignedAt(object, "kind");
  if (number < static_cast<std::uint64_t>(ConfigKind::kCustomer) ||
      number > static_cast<std::uint64_t>(ConfigKind::kPoolPlan)) {
    throw Json::other_error::create(501, "unknown kind", &object);
  }
  return static_cast<ConfigKind>(number);
}

struct JsonEncoder {
  Json operator()(const Customer& value) const {
    return {{"id", value.id.value()},
            {"name", value.display_name},
            {"suspended", value.suspended},
            {"weight", value.weight}};
  }
  Json operator()(const ApiKey& value) const {
    return {{"hash", value.hash},
            {"customer", value.customer.value()},
            {"budget", value.budget.value()},
            {"revoked", value.revoked}};
  }
  Json operator()(const Budget& value) const {
    return {{"id", value.id.value()},
            {"customer", value.customer.value()},
            {"frozen", value.frozen}};
  }
  Json operator()(const Pool& value) const {
    std::vector<std::string> models;
    for (const ModelName& model : value.models) models.push_back(model.value());
    return {{"id", value.id.value()},
            {"service", value.kind == PoolKind::kService},
            {"models", models},
            {"path_prefix", value.path_prefix},
            {"max_in_flight", value.max_in_flight_per_target},
            {"call_tokens", value.service_call_tokens.value()},
            {"output_limit", value.default_output_limit}};
  }
  Json operator()(const Target& value) const {
    return {{"id", value.id.value()},
            {"pool", value.pool.value()},
            {"region", value.region.value()},
            {"zone", value.zone.value()},
            {"host", value.endpoint.host},
            {"port", value.endpoint.port},
            {"draining", value.draining},
            {"checks_fencing", value.checks_fencing}};
  }
  Json operator()(const IdempotencyRule& value) const {
    return {{"id", value.id},
            {"pool", value.pool.value()},
            {"method", value.method},
            {"path_prefix", value.path_prefix},
            {"idempotent", value.idempotent}};
  }
  Json operator()(const PoolPlan& value) const {
    std::vector<std::string> models;
    for (const ModelName& model : value.loaded_models) {
      models.push_back(model.value());
    }
    return {{"pool", value.pool.value()},
            {"models", models},
            {"adapters", value.loaded_adapters},
            {"version", value.version},
            {"role", value.role}};
  }
};

std::vector<ModelName> ModelsAt(const Json& object) {
  std::vector<ModelName> models;
  for (const Json& model : object.at("models")) {
    models.emplace_back(model.get<std::string>());
  }
  return models;
}

Pool PoolFromJson(const Json& object) {
  return {.id = IdAt<PoolId>(object, "id"),
          .kind = object.at("service").get<bool>() ? PoolKind::kService
                                                   : PoolKind::kModel,
          .models = ModelsAt(object),
          .path_prefix = object.at("path_prefix").get<std::string>(),
          .max_in_flight_per_target = Unsigned32At(object, "max_in_flight"),
          .service_call_tokens =
              Tokens(object.at("call_tokens").get<std::int64_t>()),
          .default_output_limit = Unsigned32At(object, "output_limit")};
}

Target TargetFromJson(const Json& object) {
  const std::uint32_t port = Unsigned32At(object, "port");
  if (port > UINT16_MAX) {
    throw Json::other_error::create(500, "port too large", &object);
  }
  return {.id = IdAt<TargetId>(object, "id"),
          .pool = IdAt<PoolId>(object, "pool"),
          .region = IdAt<RegionId>(object, "region"),
          .zone = IdAt<ZoneId>(object, "zone"),
          .endpoint = {object.at("host").get<std::string>(),
                       static_cast<std::uint16_t>(port)},
          .draining = object.at("draining").get<bool>(),
          .checks_fencing = object.at("checks_fencing").get<bool>()};
}

}  // namespace

Json ToJson(const ConfigValue& value) {
  return std::visit(JsonEncoder{}, value);
}

ConfigValue ValueFromJson(ConfigKind kind, const Json& object) {
  switch (kind) {
    case ConfigKind::kCustomer:
      return Customer{.id = IdAt<CustomerId>(object, "id"),
                      .display_name = object.at("name").get<std::string>(),
                      .suspended = object.at("suspended").get<bool>(),
                      .weight = Unsigned32At(object, "weight")};
    case ConfigKind::kApiKey:
      return ApiKey{.hash = object.at("hash").get<std::string>(),
                    .customer = IdAt<CustomerId>(object, "customer"),
                    .budget = IdAt<BudgetId>(object, "budget"),
                    .revoked = object.at("revoked").get<bool>()};
    case ConfigKind::kBudget:
      return Budget{.id = IdAt<BudgetId>(object, "id"),
                    .customer = IdAt<CustomerId>(object, "customer"),
                    .frozen = object.at("frozen").get<bool>()};
    case ConfigKind::kPool:
      return PoolFromJson(object);
    case ConfigKind::kTarget:
      return TargetFromJson(object);
    case ConfigKind::kIdempotencyRule:
      return IdempotencyRule{
          .id = object.at("id").get<std::string>(),
          .pool = IdAt<PoolId>(object, "pool"),
          .method = object.at("method").get<std::string>(),
          .path_prefix = object.at("path_prefix").get<std::string>(),
          .idempotent = object.at("idempotent").get<bool>()};
    case ConfigKind::kPoolPlan:
      return PoolPlan{.pool = IdAt<PoolId>(object, "pool"),
                      .loaded_models = ModelsAt(object),
                      .loaded_adapters =
                          object.at("adapters").get<std::vector<std::string>>(),
                      .version = object.at("version").get<std::string>(),
                      .role = object.at("role").get<std::string>()};
  }
  throw Json::other_error::create(501, "unknown kind", &object);
}

Json ToJson(const VersionedEntry& entry) {
  return {{"kind", static_cast<int>(KeyOf(entry.value).kind)},
          {"version", entry.version.value()},
          {"entry", ToJson(entry.value)}};
}

VersionedEntry EntryFromJson(const Json& object) {
  const auto kind = KindAt(object);
  return {ValueFromJson(kind, object.at("entry")),
          Revision(UnsignedAt(object, "version"))};
}

Json ToJson(const ConfigDelta& delta) {
  Json changes = Json::array();
  for (const EntryChange& change : delta.changes) {
    Json item = {{"kind", static_cast<int>(change.key.kind)},
                 {"id", change.key.id}};
    if (change.value) item["entry"] = ToJson(*change.value);
    changes.push_back(std::move(item));
  }
  return {{"revision", delta.revision.value()},
          {"order", delta.order.value()},
          {"digest", delta.digest},
          {"changes", std::move(changes)}};
}

ConfigDelta DeltaFromJson(const Json& object) {
  ConfigDelta delta{.revision = Revision(UnsignedAt(object, "revision")),
                    .order = IdAt<OrderId>(object, "order"),
                    .digest = UnsignedAt(object, "digest")};
  for (const Json& item : object.at("changes")) {
    const auto kind = KindAt(item);
    EntryChange change{.key = {kind, item.at("id").get<std::string>()}};
    if (item.contains("entry")) {
      change.value = ValueFromJson(kind, item.at("entry"));
      if (KeyOf(*change.value) != change.key) {
        throw Json::other_error::create(502, "key mismatch", &item);
      }
    }
    delta.changes.push_back(std::move(change));
  }
  return delta;
}

}  // namespace wisteriareel
