#include <exception>

#include "nlohmann/json.hpp"
#include "src/budget/budget_rows.h"

namespace wisteriareel {
namespace {

using Json = nlohmann::json;

Tokens ReadTokens(const Json& json, const char* name) {
  return Tokens(json.at(name).get<std::int64_t>());
}

// Returns the result of `read` on the parsed text, or nullopt if the text is
// malformed.
template <typename T, typename Reader>
std::optional<T> Parse(const std::string& text, Reader read) {
  try {
    return read(Json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string Encode(const TopUpRow& row) {
  return Json{{"topped_up", row.topped_up.value()}, {"stripes", row.stripes}}
      .dump();
}

std::optional<TopUpRow> DecodeTopUp(const std::string& text) {
  return Parse<TopUpRow>(text, [](const Json& json) {
    return TopUpRow{.topped_up = ReadTokens(json, "topped_up"),
                    .stripes = json.at("stripes").get<int>()};
  });
}

std::string Encode(const StripeRow& row) {
  return Json{{"granted", row.granted.value()},
              {"returned", row.returned.value()},
              {"settled", row.settled.value()},
              {"written_off", row.written_off.value()}}
      .dump();
}

std::optional<StripeRow> DecodeStripe(const std::string& text) {
  return Parse<StripeRow>(text, [](const Json& json) {
    return StripeRow{.granted = ReadTokens(json, "granted"),
                     .returned = ReadTokens(json, "returned"),
                     .settled = ReadTokens(json, "settled"),
                     .written_off = ReadTokens(json, "written_off")};
  });
}

std::string Encode(const GrantRow& row) {
  return Json{{"granted", row.granted.value()},
              {"returned", row.returned.value()},
              {"settled", row.settled.value()},
              {"written_off", row.written_off.value()},
              {"batches", row.batches}}
      .dump();
}

std::optional<GrantRow> DecodeGrant(const std::string& text) {
  return Parse<GrantRow>(text, [](const Json& json) {
    return GrantRow{.granted = ReadTokens(json, "granted"),
                    .returned = ReadTokens(json, "returned"),
                    .settled = ReadTokens(json, "settled"),
                    .written_off = ReadTokens(json, "written_off"),
                    .batches = json.at("batches").get<std::uint64_t>()};
  });
}

std::string Encode(const HolderRow& row) {
  return Json{{"instance", row.instance.value()},
              {"state", static_cast<int>(row.state)},
              {"lease_ms", absl::ToInt64Milliseconds(row.lease)},
              {"renewed_ms", absl::ToUnixMillis(row.renewed)},
              {"last_order", row.last_order.value()},
              {"grants", row.grants}}
      .dump();
}

std::optional<HolderRow> DecodeHolder(const std::string& text) {
  return Parse<HolderRow>(text, [](const Json& json) {
    return HolderRow{
        .instance = InstanceId(json.at("instance").get<std::string>()),
        .state = static_cast<HolderState>(json.at("state").get<int>()),
        .lease = absl::Milliseconds(json.at("lease_ms").get<std::int64_t>()),
        .renewed =
            absl::FromUnixMillis(json.at("renewed_ms").get<std::int64_t>()),
        .last_order = OrderId(json.at("last_order").get<std::string>()),
        .grants = json.at("grants").get<int>()};
  });
}

std::string Encode(const AcceptedTopUp& entry) {
  return Json{{"order", entry.order.value()},
              {"amount", entry.amount.value()},
              {"operator", entry.operator_name},
              {"accepted_ms", absl::ToUnixMillis(entry.accepted)}}
      .dump();
}

std::optional<AcceptedTopUp> DecodeAcceptedTopUp(const std::string& text) {
  return Parse<AcceptedTopUp>(text, [](const Json& json) {
    return AcceptedTopUp{
        .order = OrderId(json.at("order").get<std::string>()),
        .amount = ReadTokens(json, "amount"),
        .operator_name = json.at("operator").get<std::string>(),
        .accepted =
            absl::FromUnixMillis(json.at("accepted_ms").get<std::int64_t>())};
  });
}

}  // namespace wisteriareel
