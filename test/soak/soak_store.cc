#include "test/soak/soak_store.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace wisteriareel::soak {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 412;
constexpr int kStatusAway = 503;
constexpr absl::Duration kCommitTime = absl::Milliseconds(8);
constexpr absl::Duration kReadTime = absl::Milliseconds(4);
// Interval at which a waiting feed looks for the end of the run.
constexpr std::chrono::milliseconds kWaitStep{50};

std::string DecodePercent(const std::string& text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '%' || n + 2 >= text.size()) {
      out += text[n];
      continue;
    }
    out += absl::HexStringToBytes(text.substr(n + 1, 2));
    n += 2;
  }
  return out;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return query;
  for (const absl::string_view field :
       absl::StrSplit(target.substr(mark + 1), '&')) {
    const std::pair<std::string, std::string> pair =
        absl::StrSplit(field, absl::MaxSplits('=', 1));
    query[pair.first] = DecodePercent(pair.second);
  }
  return query;
}

std::string Get(const std::map<std::string, std::string>& query,
                const std::string& name) {
  const auto it = query.find(name);
  return it == query.end() ? "" : it->second;
}

std::uint64_t GetNumber(const std::map<std::string, std::string>& query,
                        const std::string& name) {
  std::uint64_t number = 0;
  return absl::SimpleAtoi(Get(query, name), &number) ? number : 0;
}

PartitionRowKey ParseKey(const json& object) {
  return {.table = object.value("table", ""),
          .partition = object.value("part", ""),
          .key = object.value("key", "")};
}

template <typename Row>
json EncodeRow(const PartitionRowKey& key, const Row& row) {
  json object = {{"table", key.table},
                 {"part", key.partition},
                 {"key", key.key},
                 {"ver", row.version}};
  if (row.deleted) {
    object["removed"] = true;
  } else {
    object["value"] = row.value;
  }
  return object;
}

}  // namespace

void SoakStore::Put(const std::string& table, const std::string& key,
                    const std::string& value) {
  const std::lock_guard lock(mutex_);
  rows_[{.table = table, .partition = "", .key = key}] = {
      .value = absl::Base64Escape(value), .version = ++version_};
  changed_.notify_all();
}

void SoakStore::AddClock(json* reply) const {
  (*reply)["ver"] = version_;
  (*reply)["now_ms"] = 1 + absl::ToInt64Milliseconds(absl::Now() - started_);
}

int SoakStore::Commit(const json& transaction, json* reply) {
  const std::lock_guard lock(mutex_);
  bool holds = true;
  json current = json::array();
  for (const json& condition :
       transaction.value("precondition", json::array())) {
    const PartitionRowKey key = ParseKey(condition);
    const auto it = rows_.find(key);
    const bool exists = it != rows_.end() && !it->second.deleted;
    if (exists) current.push_back(EncodeRow(key, it->second));
    const std::uint64_t version = exists ? it->second.version : 0;
    holds = holds && condition.value("ver", std::uint64_t{0}) == version;
  }
  if (!holds) {
    *reply = {{"rows", current}};
    AddClock(reply);
    return kStatusConflict;
  }
  ++version_;
  for (const json& write : transaction.value("set_keys", json::array())) {
    rows_[ParseKey(write)] = {.value = write.value("value", ""),
                              .version = version_};
  }
  for (const json& removal : transaction.value("remove", json::array())) {
    rows_[ParseKey(removal)] = {
        .value = "", .version = version_, .deleted = true};
  }
  changed_.notify_all();
  *reply = json::object();
  AddClock(reply);
  return kStatusOk;
}

void SoakStore::Read(const Query& query, json* reply) {
  const std::lock_guard lock(mutex_);
  json rows = json::array();
  for (const auto& [key, row] : rows_) {
    if (row.deleted || key.table != Get(query, "table") ||
        key.partition != Get(query, "part") || key.key < Get(query, "from")) {
      continue;
    }
    rows.push_back(EncodeRow(key, row));
  }
  *reply = {{"rows", rows}, {"more_pages", false}};
  AddClock(reply);
}

void SoakStore::AwaitChanges(const Query& query, json* reply) {
  const std::uint64_t after = GetNumber(query, "after");
  const absl::Time until =
      absl::Now() + absl::Milliseconds(GetNumber(query, "wait_ms"));
  json rows = json::array();
  std::unique_lock lock(mutex_);
  for (;;) {
    for (const auto& [key, row] : rows_) {
      if (key.table != Get(query, "table") || row.version <= after) continue;
      rows.push_back(EncodeRow(key, row));
    }
    if (!rows.empty() || stopping() || absl::Now() >= until) break;
    changed_.wait_for(lock, kWaitStep);
  }
  *reply = {{"rows", rows}, {"more_pages", false}};
  AddClock(reply);
}

int SoakStore::HandleCall(const HttpMessage& request, json* reply) {
  if (away_) return kStatusAway;
  const std::string target = request.Word(1);
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/rows-tx") {
    absl::SleepFor(kCommitTime);
    return Commit(json::parse(request.body), reply);
  }
  absl::SleepFor(kReadTime);
  if (path == "/rows-feed") {
    AwaitChanges(ParseQuery(target), reply);
  } else {
    Read(ParseQuery(target), reply);
  }
  return kStatusOk;
}

bool SoakStore::HandleRequest(const HttpMessage& request, int fd) {
  json reply = json::object();
  const int status = HandleCall(request, &reply);
  const std::string body = reply.dump();
  return SendAll(
      fd, absl::StrCat("HTTP/1.1 ", status, " Reply\r\n",
                       "Content-Type: application/json\r\n",
                       "Content-Length: ", body.size(), "\r\n\r\n", body));
}

}  // namespace wisteriareel::soak
