#include <cstdint>
#include <optional>
#include <string>

#include "nlohmann/json.hpp"
#include "src/membership/lease_decision.h"

namespace wisteriareel {

using Json = nlohmann::json;

std::string EncodeLeaseRow(const LeaseRow& row) {
  const Json object = {{"holder", row.holder.value()},
                       {"fencing", row.fencing.value()},
                       {"write", row.write}};
  return object.dump();
}

std::optional<LeaseRow> DecodeLeaseRow(const std::string& text) {
  try {
    const Json object = Json::parse(text);
    return LeaseRow{
        InstanceId(object.at("holder").get<std::string>()),
        FencingNumber(
            object.at("fencing").get_ref<const Json::number_unsigned_t&>()),
        object.at("write").get<std::string>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wisteriareel
