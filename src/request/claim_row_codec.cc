#include "src/request/claim_row_codec.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace wisteriareel {
namespace {

using Json = nlohmann::json;

constexpr char kTable[] = "claims";
// Occurs neither in a customer id nor in an idempotency key, which is the value
// of a header.
constexpr char kKeySeparator[] = "\n";
constexpr char kObjectPrefix[] = "answers/";

std::string SerializeJson(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

RowKey ClaimRowKey(const CustomerId& customer, const IdempotencyKey& key) {
  return {kTable, absl::StrCat(customer.value(), kKeySeparator, key.value())};
}

std::string ClaimResponseObject(const RequestId& request) {
  return absl::StrCat(kObjectPrefix, request.value());
}

std::string EncodeClaimRow(const ClaimRow& row) {
  Json json{{"customer", row.customer.value()},
            {"key", row.key.value()},
            {"request", row.request.value()},
            {"holder", row.holder.value()},
            {"content", row.content_hash},
            {"state", static_cast<int>(row.state)},
            {"claimed_us", absl::ToUnixMicros(row.claimed)},
            {"ended_us", absl::ToUnixMicros(row.ended)}};
  if (!row.resolved_by.empty()) json["resolved_by"] = row.resolved_by;
  if (!row.response_object.empty()) json["object"] = row.response_object;
  if (row.response) {
    json["status"] = row.response->status;
    json["type"] = row.response->content_type;
    json["body"] = absl::Base64Escape(row.response->body);
  }
  return SerializeJson(json);
}

std::optional<ClaimRow> DecodeClaimRow(const std::string& bytes,
                                       LastReason* reason) {
  const Json json = Json::parse(bytes, nullptr, false);
  try {
    ClaimRow row{
        .customer = CustomerId(json.at("customer").get<std::string>()),
        .key = IdempotencyKey(json.at("key").get<std::string>()),
        .request = RequestId(json.at("request").get<std::string>()),
        .holder = InstanceId(json.at("holder").get<std::string>()),
        .content_hash = json.at("content").get<std::uint64_t>(),
        .state = static_cast<ClaimState>(json.at("state").get<int>()),
        .claimed =
            absl::FromUnixMicros(json.at("claimed_us").get<std::int64_t>()),
        .ended = absl::FromUnixMicros(json.at("ended_us").get<std::int64_t>())};
    row.resolved_by = json.value("resolved_by", "");
    row.response_object = json.value("object", "");
    if (!json.contains("status")) return row;
    StoredResponse response{.status = json.at("status").get<int>(),
                            .content_type = json.at("type").get<std::string>()};
    const std::string body = json.at("body").get<std::string>();
    if (!absl::Base64Unescape(body, &response.body)) {
      reason->Set(Reason::kMalformed,
                  "claim row: the body is not valid base64");
      return std::nullopt;
    }
    row.response = std::move(response);
    return row;
  } catch (const Json::exception& exception) {
    reason->Set(Reason::kMalformed,
                absl::StrCat("claim row: ", exception.what()));
    return std::nullopt;
  }
}

}  // namespace wisteriareel
