#include "store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>

#include "nlohmann/json.hpp"

namespace review {
namespace {

using nlohmann::json;

constexpr char kAlphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr auto kReadTime = std::chrono::milliseconds(4);
constexpr auto kCommitTime = std::chrono::milliseconds(8);
constexpr std::size_t kMaxRows = 500;

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      out += static_cast<char>(
          std::strtol(text.substr(n + 1, 2).c_str(), nullptr, 16));
      n += 2;
    } else {
      out += text[n];
    }
  }
  return out;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t begin = target.find('?');
  while (begin != std::string::npos && begin + 1 < target.size()) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string entry = target.substr(
        begin + 1, end == std::string::npos ? end : end - begin - 1);
    const std::size_t equals = entry.find('=');
    if (equals != std::string::npos) {
      query[entry.substr(0, equals)] = PercentDecode(entry.substr(equals + 1));
    }
    begin = end;
  }
  return query;
}

}  // namespace

std::string Base64Encode(const std::string& text) {
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const char c : text) {
    bits = (bits << 8) | static_cast<unsigned char>(c);
    count += 8;
    while (count >= 6) {
      count -= 6;
      out += kAlphabet[(bits >> count) & 63];
    }
  }
  if (count > 0) out += kAlphabet[(bits << (6 - count)) & 63];
  while (out.size() % 4 != 0) out += '=';
  return out;
}

std::string Base64Decode(const std::string& text) {
  const std::string alphabet(kAlphabet);
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const char c : text) {
    const std::size_t value = alphabet.find(c);
    if (value == std::string::npos) break;
    bits = (bits << 6) | static_cast<unsigned>(value);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    out += static_cast<char>((bits >> count) & 255);
  }
  return out;
}

Store::Store() {
  server_ = std::make_unique<HttpServer>(
      [this](const HttpMessage& request, Connection* connection) {
        return Handle(request, connection);
      });
}

Store::~Store() {
  SetMode(Mode::kReset);
  server_->Stop();
}

void Store::Apply(const Key& key, const std::optional<std::string>& value) {
  const auto it = rows_.find(key);
  Change change{.at_ms = NowMs(), .version = version_, .key = key};
  if (it != rows_.end()) change.before = it->second;
  changes_.push_back(std::move(change));
  if (value.has_value()) {
    rows_[key] = {.value = *value, .version = version_};
  } else {
    rows_.erase(key);
  }
}

void Store::WriteForeign(const std::string& table, const std::string& key,
                         const std::string& text) {
  const std::lock_guard lock(mutex_);
  ++version_;
  const Key row{table, "", key};
  foreign_[row] = Base64Encode(text);
  Apply(row, foreign_[row]);
  changed_.notify_all();
}

void Store::SetMode(Mode mode) {
  const std::lock_guard lock(mutex_);
  mode_ = mode;
  ++mode_changes_;
  changed_.notify_all();
  if (mode == Mode::kReset) server_->ResetConnections();
}

void Store::Restore(std::int64_t age_ms) {
  const std::lock_guard lock(mutex_);
  const std::int64_t since = NowMs() - age_ms;
  while (!changes_.empty() && changes_.back().at_ms >= since) {
    const Change& change = changes_.back();
    if (change.before.has_value()) {
      rows_[change.key] = *change.before;
    } else {
      rows_.erase(change.key);
    }
    version_ = change.version - 1;
    changes_.pop_back();
  }
  ++era_;
  for (const auto& [key, value] : foreign_) {
    ++version_;
    Apply(key, value);
  }
  changed_.notify_all();
}

std::optional<std::string> Store::Read(const std::string& table,
                                       const std::string& part,
                                       const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto it = rows_.find({table, part, key});
  if (it == rows_.end()) return std::nullopt;
  return Base64Decode(it->second.value);
}

std::string Store::Answer(int status, const std::string& body) const {
  return MakeResponse(status, body,
                      {{"Content-Type", "application/json"},
                       {"Store-Era", std::to_string(era_)}});
}

bool Store::Handle(const HttpMessage& request, Connection* connection) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const bool is_commit = request.method == "POST" && path == "/rows-tx";
  std::this_thread::sleep_for(is_commit ? kCommitTime : kReadTime);
  int mode_changes = 0;
  {
    std::unique_lock lock(mutex_);
    if (mode_ == Mode::kSilent) {
      // The caller gives up by closing the connection.
      while (mode_ == Mode::kSilent && !connection->IsClosedByPeer()) {
        changed_.wait_for(lock, std::chrono::milliseconds(50));
      }
      return false;
    }
    if (mode_ == Mode::kReset) {
      connection->ResetOnClose();
      return false;
    }
    mode_changes = mode_changes_;
  }
  const auto query = ParseQuery(request.target);
  std::string answer;
  if (is_commit) {
    answer = Commit(request.body);
  } else if (path == "/rows-get") {
    answer = List(query);
  } else if (path == "/rows-feed") {
    answer = Feed(query);
  } else {
    answer = MakeResponse(404, "{}");
  }
  {
    const std::lock_guard lock(mutex_);
    // An answer that is due while the store is away is lost.
    if (mode_changes_ != mode_changes || answer.empty()) {
      connection->ResetOnClose();
      return false;
    }
  }
  return connection->Write(answer);
}

std::string Store::Commit(const std::string& body) {
  const json call = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!call.is_object()) return MakeResponse(400, "{}");
  const auto key_of = [](const json& entry) {
    return Key{entry.value("table", ""), entry.value("part", ""),
               entry.value("key", "")};
  };
  const std::lock_guard lock(mutex_);
  if (mode_ != Mode::kUp) return "";
  bool holds = true;
  json current = json::array();
  for (const json& entry : call["precondition"]) {
    const Key key = key_of(entry);
    const auto it = rows_.find(key);
    const std::uint64_t version = it == rows_.end() ? 0 : it->second.version;
    holds = holds && version == entry.value("ver", std::uint64_t{0});
    if (it == rows_.end()) continue;
    current.push_back({{"table", std::get<0>(key)},
                       {"part", std::get<1>(key)},
                       {"key", std::get<2>(key)},
                       {"value", it->second.value},
                       {"ver", version}});
  }
  if (!holds) {
    return Answer(
        412,
        json{{"rows", current}, {"ver", version_}, {"now_ms", NowMs()}}.dump());
  }
  ++version_;
  for (const json& entry : call["set_keys"]) {
    Apply(key_of(entry), entry.value("value", ""));
  }
  for (const json& entry : call["remove"]) {
    Apply(key_of(entry), std::nullopt);
  }
  changed_.notify_all();
  return Answer(200, json{{"ver", version_}, {"now_ms", NowMs()}}.dump());
}

std::string Store::List(const std::map<std::string, std::string>& query) {
  const auto get = [&query](const char* name) {
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
  };
  const std::lock_guard lock(mutex_);
  json rows = json::array();
  bool more = false;
  const std::string table = get("table");
  const std::string part = get("part");
  for (auto it = rows_.lower_bound({table, part, get("from")});
       it != rows_.end(); ++it) {
    if (std::get<0>(it->first) != table || std::get<1>(it->first) != part) {
      break;
    }
    if (rows.size() == kMaxRows) {
      more = true;
      break;
    }
    rows.push_back({{"table", table},
                    {"part", part},
                    {"key", std::get<2>(it->first)},
                    {"value", it->second.value},
                    {"ver", it->second.version}});
  }
  return Answer(200, json{{"rows", rows},
                          {"more_pages", more},
                          {"ver", version_},
                          {"now_ms", NowMs()}}
                         .dump());
}

std::string Store::Feed(const std::map<std::string, std::string>& query) {
  const std::string table =
      query.contains("table") ? query.at("table") : std::string();
  const std::uint64_t after = std::strtoull(
      query.contains("after") ? query.at("after").c_str() : "0", nullptr, 10);
  const int wait_ms =
      query.contains("wait_ms") ? std::atoi(query.at("wait_ms").c_str()) : 0;
  const SteadyTime deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  std::unique_lock lock(mutex_);
  const int mode_changes = mode_changes_;
  for (;;) {
    if (mode_changes != mode_changes_) return "";
    if (after > version_ || after < oldest_version_) return Answer(410, "{}");
    // The newest change of each row, in the order of the changes.
    std::vector<std::pair<std::uint64_t, Key>> newest;
    for (auto it = changes_.rbegin();
         it != changes_.rend() && it->version > after; ++it) {
      if (std::get<0>(it->key) != table) continue;
      const bool known =
          std::any_of(newest.begin(), newest.end(),
                      [&it](const auto& e) { return e.second == it->key; });
      if (!known) newest.emplace_back(it->version, it->key);
    }
    if (!newest.empty() || std::chrono::steady_clock::now() >= deadline) {
      std::reverse(newest.begin(), newest.end());
      json rows = json::array();
      for (const auto& [version, key] : newest) {
        json row = {{"table", std::get<0>(key)},
                    {"part", std::get<1>(key)},
                    {"key", std::get<2>(key)},
                    {"ver", version}};
        const auto it = rows_.find(key);
        if (it == rows_.end()) {
          row["removed"] = true;
        } else {
          row["value"] = it->second.value;
        }
        rows.push_back(std::move(row));
      }
      return Answer(
          200,
          json{{"rows", rows}, {"ver", version_}, {"now_ms", NowMs()}}.dump());
    }
    changed_.wait_until(lock, deadline);
  }
}

}  // namespace review
