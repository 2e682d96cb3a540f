#include <functional>
#include <optional>
#include <string>

#include "nlohmann/json.hpp"
#include "src/config/config_codec.h"
#include "src/config/config_json.h"
#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

using Json = nlohmann::json;

std::uint64_t UnsignedAt(const Json& object, const char* name) {
  return object.at(name).get_ref<const Json::number_unsigned_t&>();
}

// Parses `text` and converts it with `read`. Returns nullopt if either fails.
template <typename T, typename Read>
std::optional<T> Decode(const std::string& text, const Read& read) {
  try {
    return read(Json::parse(text));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeEntryRow(const VersionedEntry& entry) {
  return ToJson(entry).dump();
}

std::optional<VersionedEntry> DecodeEntryRow(const std::string& text) {
  return Decode<VersionedEntry>(text, EntryFromJson);
}

std::string EncodeDeltaRow(const ConfigDelta& delta,
                           const std::string& operator_name) {
  Json object = ToJson(delta);
  object["operator"] = operator_name;
  return object.dump();
}

std::optional<ConfigDelta> DecodeDeltaRow(const std::string& text) {
  return Decode<ConfigDelta>(text, DeltaFromJson);
}

std::string EncodeHeadRow(const ConfigHead& head) {
  const Json object = {{"revision", head.revision.value()},
                       {"digest", head.digest}};
  return object.dump();
}

std::optional<ConfigHead> DecodeHeadRow(const std::string& text) {
  return Decode<ConfigHead>(text, [](const Json& object) {
    return ConfigHead{Revision(UnsignedAt(object, "revision")),
                      UnsignedAt(object, "digest")};
  });
}

std::string EncodeOrderRow(const OrderRecord& record) {
  const Json object = {{"revision", record.revision.value()},
                       {"fingerprint", record.fingerprint}};
  return object.dump();
}

std::optional<OrderRecord> DecodeOrderRow(const std::string& text) {
  return Decode<OrderRecord>(text, [](const Json& object) {
    return OrderRecord{Revision(UnsignedAt(object, "revision")),
                       UnsignedAt(object, "fingerprint")};
  });
}

bool CanEncode(const ConfigDelta& delta, const std::string& operator_name) {
  try {
    return !EncodeDeltaRow(delta, operator_name).empty();
  } catch (const Json::exception&) {
    return false;
  }
}

std::uint64_t ComputeFingerprint(const ConfigDelta& delta) {
  return StableHash(ToJson(delta).at("changes").dump());
}

}  // namespace wisteriareel
