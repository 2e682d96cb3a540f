#include "src/platform/platform_codec.h"

#include <nlohmann/json.hpp>

namespace wisteriareel {
namespace {

using nlohmann::json;

std::optional<std::string> Dump(const json& body) {
  try {
    return body.dump();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

// Parses `body` and converts it with `read`, which may throw json::exception.
// Returns nullopt if either fails.
template <typename Read>
auto Decode(std::string_view body, const Read& read)
    -> std::optional<decltype(read(json()))> {
  const json parsed =
      json::parse(body.begin(), body.end(), nullptr, /*exceptions=*/false);
  if (parsed.is_discarded()) return std::nullopt;
  try {
    return read(parsed);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json KeyToJson(const RowKey& key) {
  return {{"table", key.table}, {"key", key.key}};
}

RowKey KeyFromJson(const json& entry) {
  return {entry.at("table").get<std::string>(),
          entry.at("key").get<std::string>()};
}

const char* StateName(InstanceState state) {
  return state == InstanceState::kLeaving ? "leaving" : "live";
}

const char* RoleName(InstanceRole role) {
  return role == InstanceRole::kTarget ? "target" : "entry";
}

}  // namespace

std::optional<std::string> EncodeTransaction(const Transaction& transaction) {
  json conditions = json::array();
  for (const RowCondition& condition : transaction.conditions) {
    json entry = KeyToJson(condition.key);
    entry["version"] = condition.version;
    conditions.push_back(std::move(entry));
  }
  json writes = json::array();
  for (const RowWrite& write : transaction.writes) {
    json entry = KeyToJson(write.key);
    entry["value"] = write.value ? json(*write.value) : json();
    writes.push_back(std::move(entry));
  }
  return Dump(
      {{"conditions", std::move(conditions)}, {"writes", std::move(writes)}});
}

std::optional<Transaction> DecodeTransaction(std::string_view body) {
  return Decode(body, [](const json& parsed) {
    Transaction transaction;
    for (const json& entry : parsed.at("conditions")) {
      transaction.conditions.push_back(
          {KeyFromJson(entry), entry.at("version").get<std::uint64_t>()});
    }
    for (const json& entry : parsed.at("writes")) {
      RowWrite write{KeyFromJson(entry), std::nullopt};
      const json& text = entry.at("value");
      if (!text.is_null()) write.value = text.get<std::string>();
      transaction.writes.push_back(std::move(write));
    }
    return transaction;
  });
}

std::string EncodeOutcome(CommitOutcome outcome) {
  const char* name = "unknown";
  if (outcome == CommitOutcome::kCommitted) name = "committed";
  if (outcome == CommitOutcome::kConflict) name = "conflict";
  if (outcome == CommitOutcome::kRejected) name = "rejected";
  return json{{"outcome", name}}.dump();
}

std::optional<CommitOutcome> DecodeOutcome(std::string_view body) {
  const auto name = Decode(body, [](const json& parsed) {
    return parsed.at("outcome").get<std::string>();
  });
  if (!name) return std::nullopt;
  if (*name == "committed") return CommitOutcome::kCommitted;
  if (*name == "conflict") return CommitOutcome::kConflict;
  if (*name == "rejected") return CommitOutcome::kRejected;
  return std::nullopt;
}

std::optional<std::string> EncodeKeys(const std::vector<RowKey>& keys) {
  json list = json::array();
  for (const RowKey& key : keys) list.push_back(KeyToJson(key));
  return Dump({{"keys", std::move(list)}});
}

std::optional<std::vector<RowKey>> DecodeKeys(std::string_view body) {
  return Decode(body, [](const json& parsed) {
    std::vector<RowKey> keys;
    for (const json& entry : parsed.at("keys")) {
      keys.push_back(KeyFromJson(entry));
    }
    return keys;
  });
}

std::optional<std::string> EncodeScan(const ScanCall& call) {
  return Dump(
      {{"table", call.table}, {"after", call.after}, {"limit", call.limit}});
}

std::optional<ScanCall> DecodeScan(std::string_view body) {
  return Decode(body, [](const json& parsed) {
    return ScanCall{parsed.at("table").get<std::string>(),
                    parsed.at("after").get<std::string>(),
                    parsed.at("limit").get<int>()};
  });
}

std::optional<std::string> EncodeRows(const std::vector<Row>& rows) {
  json list = json::array();
  for (const Row& row : rows) {
    json entry = KeyToJson(row.key);
    entry["value"] = row.value;
    entry["version"] = row.version;
    list.push_back(std::move(entry));
  }
  return Dump({{"rows", std::move(list)}});
}

std::optional<std::vector<Row>> DecodeRows(std::string_view body) {
  return Decode(body, [](const json& parsed) {
    std::vector<Row> rows;
    for (const json& entry : parsed.at("rows")) {
      rows.push_back({KeyFromJson(entry), entry.at("value").get<std::string>(),
                      entry.at("version").get<std::uint64_t>()});
    }
    return rows;
  });
}

std::string EncodeNames(const std::vector<std::string>& names) {
  return json{{"names", names}}.dump();
}

std::optional<std::vector<std::string>> DecodeNames(std::string_view body) {
  return Decode(body, [](const json& parsed) {
    return parsed.at("names").get<std::vector<std::string>>();
  });
}

std::string EncodeInstances(const std::vector<ListedInstance>& instances) {
  json list = json::array();
  for (const ListedInstance& instance : instances) {
    list.push_back({{"id", instance.id},
                    {"role", RoleName(instance.role)},
                    {"state", StateName(instance.state)},
                    {"region", instance.region.value()},
                    {"zone", instance.zone.value()},
                    {"host", instance.endpoint.host},
                    {"port", instance.endpoint.port}});
  }
  return json{{"instances", std::move(list)}}.dump();
}

std::optional<std::vector<ListedInstance>> DecodeInstances(
    std::string_view body) {
  return Decode(body, [](const json& parsed) {
    std::vector<ListedInstance> instances;
    for (const json& entry : parsed.at("instances")) {
      ListedInstance instance;
      instance.id = entry.at("id").get<std::string>();
      const auto role = entry.at("role").get<std::string>();
      instance.role = role == RoleName(InstanceRole::kTarget)
                          ? InstanceRole::kTarget
                          : InstanceRole::kEntry;
      const auto state = entry.at("state").get<std::string>();
      // An instance in an unknown state gets no work, as if it were leaving.
      instance.state = state == StateName(InstanceState::kLive)
                           ? InstanceState::kLive
                           : InstanceState::kLeaving;
      instance.region = RegionId(entry.at("region").get<std::string>());
      instance.zone = ZoneId(entry.at("zone").get<std::string>());
      instance.endpoint.host = entry.at("host").get<std::string>();
      instance.endpoint.port = entry.at("port").get<std::uint16_t>();
      instances.push_back(std::move(instance));
    }
    return instances;
  });
}

}  // namespace wisteriareel
