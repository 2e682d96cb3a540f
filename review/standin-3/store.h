// A stand-in for the platform's store, as PROTOCOL.md and the news pages
// describe it: rows, transactions, feeds, and the drill that brings back an
// older copy.
#ifndef WISTERIAREEL_REVIEW_STANDIN_3_STORE_H_
#define WISTERIAREEL_REVIEW_STANDIN_3_STORE_H_

#include <condition_variable>
#include <deque>
#include <optional>
#include <tuple>

#include "nlohmann/json.hpp"
#include "util.h"

namespace review {

using nlohmann::json;

inline std::string Base64(const std::string& in) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t n = 0; n < in.size(); n += 3) {
    unsigned bits = static_cast<unsigned char>(in[n]) << 16;
    if (n + 1 < in.size()) bits |= static_cast<unsigned char>(in[n + 1]) << 8;
    if (n + 2 < in.size()) bits |= static_cast<unsigned char>(in[n + 2]);
    out += kDigits[bits >> 18 & 63];
    out += kDigits[bits >> 12 & 63];
    out += n + 1 < in.size() ? kDigits[bits >> 6 & 63] : '=';
    out += n + 2 < in.size() ? kDigits[bits & 63] : '=';
  }
  return out;
}

inline std::string FromBase64(const std::string& in) {
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const char c : in) {
    int digit = -1;
    if (c >= 'A' && c <= 'Z') digit = c - 'A';
    if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
    if (c >= '0' && c <= '9') digit = c - '0' + 52;
    if (c == '+') digit = 62;
    if (c == '/') digit = 63;
    if (digit < 0) break;
    bits = bits << 6 | static_cast<unsigned>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255);
    }
  }
  return out;
}

// How the store treats the calls of one machine.
enum class StoreMode { kServes, kBusy, kSilent, kReset, kLosesWrites };

class Store : public Server {
 public:
  explicit Store(Record* record) : record_(record) {}

  // Opens a port for one machine.
  int OpenFor(int machine) { return Open(machine); }
  void SetMode(int machine, StoreMode mode) {
    const std::lock_guard<std::mutex> lock(mutex_);
    modes_[machine] = mode;
  }

  // A write of the operator or of a server.
  void Put(const std::string& table, const std::string& key,
           const std::optional<std::string>& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++version_;
    Write({table, "", key},
          value.has_value() ? std::optional(Base64(*value)) : std::nullopt);
    changed_.notify_all();
  }

  std::optional<std::string> Get(const std::string& table,
                                 const std::string& part,
                                 const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = state_.find({table, part, key});
    if (it == state_.end() || it->second.removed) return std::nullopt;
    return FromBase64(it->second.value);
  }

  // Takes the copy that Restore brings back.
  void TakeCopy() {
    const std::lock_guard<std::mutex> lock(mutex_);
    copy_ = state_;
    copy_version_ = version_;
  }

  // The store goes away. New connections are accepted and closed.
  void GoAway() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      away_ = true;
      changed_.notify_all();
    }
    DropConnections();
  }

  // It comes back from the copy, in the next era.
  void Restore() {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_ = copy_;
    version_ = copy_version_;
    oldest_ = version_;
    ++era_;
    away_ = false;
    changed_.notify_all();
  }
  // It comes back with all that it had.
  void ComeBack() {
    const std::lock_guard<std::mutex> lock(mutex_);
    away_ = false;
  }

  // Called after a read of `table` by `machine` was answered.
  std::function<void(int machine, const std::string& table, const json& rows)>
      on_read;

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };

  void Write(const Key& key, const std::optional<std::string>& value) {
    state_[key] = {.value = value.value_or(""),
                   .version = version_,
                   .removed = !value.has_value()};
  }

  static json Encode(const Key& key, const Row& row) {
    json object = {{"table", std::get<0>(key)},
                   {"part", std::get<1>(key)},
                   {"key", std::get<2>(key)},
                   {"ver", row.version}};
    if (row.removed) {
      object["removed"] = true;
    } else {
      object["value"] = row.value;
    }
    return object;
  }

  static Key KeyOf(const json& object) {
    return {object.value("table", ""), object.value("part", ""),
            object.value("key", "")};
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    std::size_t from = target.find('?');
    while (from != std::string::npos) {
      const std::size_t end = target.find('&', from + 1);
      const std::string field = target.substr(
          from + 1, end == std::string::npos ? end : end - from - 1);
      const std::size_t mark = field.find('=');
      std::string value;
      for (std::size_t n = mark + 1;
           mark != std::string::npos && n < field.size(); ++n) {
        if (field[n] == '%' && n + 2 < field.size()) {
          value += static_cast<char>(
              strtol(field.substr(n + 1, 2).c_str(), nullptr, 16));
          n += 2;
        } else {
          value += field[n];
        }
      }
      query[field.substr(0, mark)] = value;
      from = end;
    }
    return query;
  }

  int Commit(const json& call, json* reply) {
    const std::lock_guard<std::mutex> lock(mutex_);
    bool holds = true;
    json current = json::array();
    for (const json& condition : call.value("precondition", json::array())) {
      const auto it = state_.find(KeyOf(condition));
      const bool exists = it != state_.end() && !it->second.removed;
      if (exists) current.push_back(Encode(it->first, it->second));
      holds = holds && condition.value("ver", std::uint64_t{0}) ==
                           (exists ? it->second.version : 0);
    }
    if (!holds) {
      *reply = {{"rows", current}, {"ver", version_}, {"now_ms", NowMs() + 1}};
      return 412;
    }
    ++version_;
    for (const json& write : call.value("set_keys", json::array())) {
      Write(KeyOf(write), write.value("value", ""));
    }
    for (const json& removal : call.value("remove", json::array())) {
      Write(KeyOf(removal), std::nullopt);
    }
    changed_.notify_all();
    *reply = {{"ver", version_}, {"now_ms", NowMs() + 1}};
    return 200;
  }

  int ReadRows(const std::string& target, json* reply) {
    auto query = Query(target);
    const std::lock_guard<std::mutex> lock(mutex_);
    json rows = json::array();
    const std::size_t limit = query.contains("limit")
                                  ? strtoul(query["limit"].c_str(), nullptr, 10)
                                  : 500;
    bool more = false;
    for (auto it =
             state_.lower_bound({query["table"], query["part"], query["from"]});
         it != state_.end(); ++it) {
      const auto& [table, part, key] = it->first;
      if (table != query["table"] || part != query["part"]) break;
      if (query.contains("to") && key >= query["to"]) break;
      if (it->second.removed) continue;
      if (rows.size() == std::min<std::size_t>(limit, 500)) {
        more = true;
        break;
      }
      rows.push_back(Encode(it->first, it->second));
    }
    *reply = {{"rows", rows},
              {"more_pages", more},
              {"ver", version_},
              {"now_ms", NowMs() + 1}};
    return 200;
  }

  int Feed(const std::string& target, json* reply) {
    auto query = Query(target);
    const std::uint64_t after = strtoull(query["after"].c_str(), nullptr, 10);
    const std::int64_t until = NowMs() + atoll(query["wait_ms"].c_str());
    std::unique_lock<std::mutex> lock(mutex_);
    const std::uint64_t era = era_;
    for (;;) {
      if (away_ || era != era_) return 0;
      if (after > version_ || after < oldest_) {
        *reply = {{"error", "gone"}};
        return 410;
      }
      std::vector<std::pair<std::uint64_t, json>> found;
      for (const auto& [key, row] : state_) {
        if (std::get<0>(key) != query["table"] || row.version <= after)
          continue;
        found.emplace_back(row.version, Encode(key, row));
      }
      if (!found.empty() || NowMs() >= until) {
        std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
          return a.first < b.first;
        });
        json rows = json::array();
        for (auto& [version, row] : found) rows.push_back(std::move(row));
        *reply = {{"rows", rows},
                  {"more_pages", false},
                  {"ver", version_},
                  {"now_ms", NowMs() + 1}};
        return 200;
      }
      changed_.wait_for(lock, std::chrono::milliseconds(20));
    }
  }

  bool Handle(const Message& request, int fd, int machine) override {
    const std::string target = request.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    StoreMode mode = StoreMode::kServes;
    std::uint64_t era = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (away_) return false;
      mode = modes_[machine];
      era = era_;
    }
    if (mode == StoreMode::kReset) return false;
    if (mode == StoreMode::kSilent) {
      while (true) {
        SleepMs(20);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (modes_[machine] != StoreMode::kSilent || away_) return false;
      }
    }
    json reply = json::object();
    int status = 503;
    if (mode != StoreMode::kBusy) {
      if (path == "/rows-tx") {
        SleepMs(8);
        const json call = json::parse(request.body, nullptr, false);
        status = call.is_object() ? Commit(call, &reply) : 400;
        if (mode == StoreMode::kLosesWrites && status == 200) return false;
      } else if (path == "/rows-get") {
        SleepMs(4);
        status = ReadRows(target, &reply);
      } else if (path == "/rows-feed") {
        SleepMs(4);
        status = Feed(target, &reply);
        if (status == 0) return false;
      } else {
        status = 404;
      }
    }
    {
      // What was asked before the store went away isn't answered.
      const std::lock_guard<std::mutex> lock(mutex_);
      if (away_ || era != era_) return false;
    }
    const std::string body = reply.dump();
    const bool sent = SendAll(
        fd, "HTTP/1.1 " + std::to_string(status) +
                " Reply\r\nContent-Type: application/json\r\nStore-Era: " +
                std::to_string(era) + "\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    if (sent && on_read && path == "/rows-get") {
      on_read(machine, Query(target)["table"], reply["rows"]);
    }
    return sent;
  }

  Record* const record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> state_;
  std::map<Key, Row> copy_;
  std::uint64_t version_ = 100;
  std::uint64_t copy_version_ = 100;
  std::uint64_t oldest_ = 0;
  std::uint64_t era_ = 1;
  bool away_ = false;
  std::map<int, StoreMode> modes_;
};

}  // namespace review

#endif  // WISTERIAREEL_REVIEW_STANDIN_3_STORE_H_
