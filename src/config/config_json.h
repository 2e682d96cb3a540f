#ifndef WISTERIAREEL_SRC_CONFIG_CONFIG_JSON_H_
#define WISTERIAREEL_SRC_CONFIG_CONFIG_JSON_H_

#include <optional>

#include "nlohmann/json.hpp"
#include "wisteriareel/config_delta.h"

// JSON conversions shared by the codecs of rows and of peer messages, and
// included by them only. The FromJson functions throw
// nlohmann::json::exception on malformed input.

namespace wisteriareel {

nlohmann::json ToJson(const ConfigValue& value);
ConfigValue ValueFromJson(ConfigKind kind, const nlohmann::json& object);
nlohmann::json ToJson(const VersionedEntry& entry);
VersionedEntry EntryFromJson(const nlohmann::json& object);
nlohmann::json ToJson(const ConfigDelta& delta);
ConfigDelta DeltaFromJson(const nlohmann::json& object);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_CONFIG_JSON_H_
