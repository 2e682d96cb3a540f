#include <exception>
#include <string>

#include "absl/strings/str_split.h"
#include "nlohmann/json.hpp"
#include "src/budget/record_batch.h"

namespace wisteriareel {
namespace {

using Json = nlohmann::json;

Json ToJson(const RequestRecord& record) {
  return Json{{"request", record.request.value()},
              {"customer", record.customer.value()},
              {"budget", record.budget.value()},
              {"pool", record.pool.value()},
              {"model", record.model.value()},
              {"target", record.target.value()},
              {"instance", record.instance.value()},
              {"zone", record.zone.value()},
              {"verdict", static_cast<int>(record.verdict)},
              {"reason", static_cast<int>(record.reason)},
              {"prompt_tokens", record.prompt_tokens.value()},
              {"output_tokens", record.output_tokens.value()},
              {"billed", record.billed.value()},
              {"grant", record.grant},
              {"attempts", record.attempts},
              {"started_ns", absl::ToUnixNanos(record.started)},
              {"finished_ns", absl::ToUnixNanos(record.finished)}};
}

template <typename Id>
Id ReadId(const Json& json, const char* name) {
  return Id(json.at(name).get<std::string>());
}

Tokens ReadTokens(const Json& json, const char* name) {
  return Tokens(json.at(name).get<std::int64_t>());
}

absl::Time ReadTime(const Json& json, const char* name) {
  return absl::FromUnixNanos(json.at(name).get<std::int64_t>());
}

RequestRecord FromJson(const Json& json) {
  return RequestRecord{
      .request = ReadId<RequestId>(json, "request"),
      .customer = ReadId<CustomerId>(json, "customer"),
      .budget = ReadId<BudgetId>(json, "budget"),
      .pool = ReadId<PoolId>(json, "pool"),
      .model = ReadId<ModelName>(json, "model"),
      .target = ReadId<TargetId>(json, "target"),
      .instance = ReadId<InstanceId>(json, "instance"),
      .zone = ReadId<ZoneId>(json, "zone"),
      .verdict = static_cast<Verdict>(json.at("verdict").get<int>()),
      .reason = static_cast<Reason>(json.at("reason").get<int>()),
      .prompt_tokens = ReadTokens(json, "prompt_tokens"),
      .output_tokens = ReadTokens(json, "output_tokens"),
      .billed = ReadTokens(json, "billed"),
      .grant = json.at("grant").get<std::uint64_t>(),
      .attempts = json.at("attempts").get<int>(),
      .started = ReadTime(json, "started_ns"),
      .finished = ReadTime(json, "finished_ns")};
}

}  // namespace

std::string EncodeRecords(const std::vector<RequestRecord>& records) {
  std::string text;
  for (const RequestRecord& record : records) {
    text += ToJson(record).dump(-1, ' ', false, Json::error_handler_t::replace);
    text += '\n';
  }
  return text;
}

std::optional<std::vector<RequestRecord>> DecodeRecords(
    const std::string& text) {
  std::vector<RequestRecord> records;
  try {
    for (const auto line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
      records.push_back(FromJson(Json::parse(line.begin(), line.end())));
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return records;
}

}  // namespace wisteriareel
