#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "nlohmann/json.hpp"
#include "src/config/cbor.h"
#include "src/membership/member_messages.h"

namespace wisteriareel {
namespace {

using Json = nlohmann::json;

// Payloads are arrays rather than maps with names, to keep heartbeats small:
// each member of the zone receives one every other second.

std::uint64_t Unsigned(const Json& value) {
  return value.get_ref<const Json::number_unsigned_t&>();
}

template <typename Id>
Id IdFrom(const Json& value) {
  return Id(value.get<std::string>());
}

struct Encoder {
  PeerMessage operator()(const Heartbeat& message) const {
    Json suspected = Json::array();
    for (const SuspectedMember& member : message.suspected) {
      suspected.push_back(Json::array({member.id.value(), member.incarnation}));
    }
    Json fields = Json::array({message.incarnation, message.sequence,
                               message.revision.value(), std::move(suspected)});
    if (message.introduction) {
      const Introduction& introduction = *message.introduction;
      fields.push_back(introduction.region.value());
      fields.push_back(introduction.zone.value());
      fields.push_back(introduction.endpoint.host);
      fields.push_back(introduction.endpoint.port);
    }
    return {PeerMessageKind::kHeartbeat, ToCbor(fields)};
  }

  PeerMessage operator()(const ZoneDigest& message) const {
    Json lagging = Json::array();
    for (const LaggingMember& member : message.lagging) {
      lagging.push_back(
          Json::array({member.id.value(), member.revision.value()}));
    }
    Json dead = Json::array();
    for (const InstanceId& id : message.dead) dead.push_back(id.value());
    return {PeerMessageKind::kZoneDigest,
            ToCbor(Json::array({message.zone.value(), message.revision.value(),
                                message.highest.value(), message.lowest.value(),
                                std::move(lagging), std::move(dead),
                                message.reply_wanted}))};
  }

  PeerMessage operator()(const TargetLeavingNotice& message) const {
    const std::int64_t ms =
        absl::ToInt64Milliseconds(std::max(message.age, absl::ZeroDuration()));
    return {PeerMessageKind::kTargetState,
            ToCbor(Json::array(
                {message.target.value(), static_cast<std::uint64_t>(ms)}))};
  }
};

MemberMessage HeartbeatFrom(const Json& fields) {
  Heartbeat message{.incarnation = Unsigned(fields.at(0)),
                    .sequence = Unsigned(fields.at(1)),
                    .revision = Revision(Unsigned(fields.at(2)))};
  for (const Json& item : fields.at(3)) {
    message.suspected.push_back(
        {IdFrom<InstanceId>(item.at(0)), Unsigned(item.at(1))});
  }
  if (fields.size() == 4) return message;
  const std::uint64_t port = Unsigned(fields.at(7));
  if (port > UINT16_MAX) {
    throw Json::other_error::create(600, "port too large", &fields);
  }
  message.introduction =
      Introduction{.region = IdFrom<RegionId>(fields.at(4)),
                   .zone = IdFrom<ZoneId>(fields.at(5)),
                   .endpoint = {fields.at(6).get<std::string>(),
                                static_cast<std::uint16_t>(port)}};
  return message;
}

MemberMessage DigestFrom(const Json& fields) {
  ZoneDigest message{.zone = IdFrom<ZoneId>(fields.at(0)),
                     .revision = Revision(Unsigned(fields.at(1))),
                     .highest = Revision(Unsigned(fields.at(2))),
                     .lowest = Revision(Unsigned(fields.at(3))),
                     .reply_wanted = fields.at(6).get<bool>()};
  for (const Json& item : fields.at(4)) {
    message.lagging.push_back(
        {IdFrom<InstanceId>(item.at(0)), Revision(Unsigned(item.at(1)))});
  }
  for (const Json& id : fields.at(5)) {
    message.dead.push_back(IdFrom<InstanceId>(id));
  }
  return message;
}

MemberMessage NoticeFrom(const Json& fields) {
  const std::uint64_t ms = Unsigned(fields.at(1));
  if (ms > INT64_MAX) {
    throw Json::other_error::create(601, "age too large", &fields);
  }
  return TargetLeavingNotice{IdFrom<TargetId>(fields.at(0)),
                             absl::Milliseconds(static_cast<std::int64_t>(ms))};
}

}  // namespace

PeerMessage EncodeMemberMessage(const MemberMessage& message) {
  return std::visit(Encoder{}, message);
}

std::optional<MemberMessage> DecodeMemberMessage(const PeerMessage& message) {
  const auto fields = FromCbor(message.payload);
  if (!fields || !fields->is_array()) return std::nullopt;
  try {
    switch (message.kind) {
      case PeerMessageKind::kHeartbeat:
        return HeartbeatFrom(*fields);
      case PeerMessageKind::kZoneDigest:
        return DigestFrom(*fields);
      case PeerMessageKind::kTargetState:
        return NoticeFrom(*fields);
      default:
        return std::nullopt;
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wisteriareel
