#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "nlohmann/json.hpp"
#include "src/config/cbor.h"
#include "src/config/config_json.h"
#include "src/config/config_messages.h"

namespace wisteriareel {
namespace {

using Json = nlohmann::json;

std::uint64_t UnsignedAt(const Json& object, const char* name) {
  return object.at(name).get_ref<const Json::number_unsigned_t&>();
}

struct Encoder {
  PeerMessage operator()(const RevisionNotice& message) const {
    return {PeerMessageKind::kRevision,
            ToCbor({{"revision", message.revision.value()}})};
  }
  PeerMessage operator()(const ConfigPull& message) const {
    return {PeerMessageKind::kConfigPull,
            ToCbor({{"have", message.have.value()},
                    {"whole", message.full_snapshot},
                    {"kind", static_cast<unsigned>(message.after.kind)},
                    {"after", message.after.id}})};
  }
  PeerMessage operator()(const ConfigDeltas& message) const {
    Json deltas = Json::array();
    for (const ConfigDelta& delta : message.deltas) {
      deltas.push_back(ToJson(delta));
    }
    return {PeerMessageKind::kConfigDeltas,
            ToCbor({{"newest", message.newest.value()},
                    {"deltas", std::move(deltas)}})};
  }
  PeerMessage operator()(const ConfigChunk& message) const {
    Json entries = Json::array();
    for (const VersionedEntry& entry : message.entries) {
      entries.push_back(ToJson(entry));
    }
    return {PeerMessageKind::kConfigDeltas,
            ToCbor({{"revision", message.revision.value()},
                    {"digest", message.digest},
                    {"entries", std::move(entries)},
                    {"last", message.last}})};
  }
};

ConfigMessage ChunkFromJson(const Json& object) {
  ConfigChunk chunk{.revision = Revision(UnsignedAt(object, "revision")),
                    .digest = UnsignedAt(object, "digest"),
                    .last = object.at("last").get<bool>()};
  for (const Json& entry : object.at("entries")) {
    chunk.entries.push_back(EntryFromJson(entry));
  }
  return chunk;
}

ConfigMessage DeltasFromJson(const Json& object) {
  if (object.contains("entries")) return ChunkFromJson(object);
  ConfigDeltas message{.newest = Revision(UnsignedAt(object, "newest"))};
  for (const Json& delta : object.at("deltas")) {
    message.deltas.push_back(DeltaFromJson(delta));
  }
  return message;
}

std::optional<ConfigMessage> FromJson(PeerMessageKind kind,
                                      const Json& object) {
  switch (kind) {
    case PeerMessageKind::kRevision:
      return RevisionNotice{Revision(UnsignedAt(object, "revision"))};
    case PeerMessageKind::kConfigPull:
      return ConfigPull{
          .have = Revision(UnsignedAt(object, "have")),
          .full_snapshot = object.at("whole").get<bool>(),
          .after = {static_cast<ConfigKind>(UnsignedAt(object, "kind")),
                    object.at("after").get<std::string>()}};
    case PeerMessageKind::kConfigDeltas:
      return DeltasFromJson(object);
    default:
      return std::nullopt;
  }
}

}  // namespace

PeerMessage EncodeConfigMessage(const ConfigMessage& message) {
  return std::visit(Encoder{}, message);
}

std::optional<ConfigMessage> DecodeConfigMessage(const PeerMessage& message) {
  const auto object = FromCbor(message.payload);
  if (!object) return std::nullopt;
  try {
    return FromJson(message.kind, *object);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wisteriareel
