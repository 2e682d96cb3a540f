#include "review/standin/store.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

// The store's clock doesn't start at zero.
constexpr std::int64_t kFirstClockMs = 50'000;
constexpr std::chrono::milliseconds kTransactionTime(8);
constexpr std::chrono::milliseconds kReadTime(4);
constexpr char kAlphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); n += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group =
          group << 8 |
          (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += n + k > text.size() ? '=' : kAlphabet[group >> (18 - 6 * k) & 63U];
    }
  }
  return out;
}

std::string DecodeBase64(const std::string& text) {
  const std::string alphabet(kAlphabet);
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const std::size_t digit = alphabet.find(c);
    if (digit == std::string::npos) break;
    bits = bits << 6 | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    out += static_cast<char>(bits >> count & 255U);
  }
  return out;
}

std::string DecodePercent(const std::string& text) {
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
  while (begin != std::string::npos) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string field = target.substr(begin + 1, end - begin - 1);
    const std::size_t equals = field.find('=');
    if (equals != std::string::npos) {
      query[field.substr(0, equals)] = DecodePercent(field.substr(equals + 1));
    }
    begin = end;
  }
  return query;
}

}  // namespace

Store::Store() : port_(AddPort()) {}

std::uint16_t Store::AddPort() {
  std::uint16_t port = 0;
  const int listener = Listen(&port);
  std::thread([this, listener, port] {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) std::thread([this, fd, port] { Serve(fd, port); }).detach();
    }
  }).detach();
  return port;
}

void Store::SetFault(std::function<StoreFault(const StoreCall&)> fault) {
  const std::lock_guard lock(mutex_);
  fault_ = std::move(fault);
}

void Store::Put(const std::string& table, const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  rows_[{table, "", key}] = {.value = EncodeBase64(value),
                             .version = ++version_};
  changed_.notify_all();
}

std::string Store::Get(const std::string& table, const std::string& part,
                       const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto it = rows_.find({table, part, key});
  return it == rows_.end() || it->second.removed
             ? ""
             : DecodeBase64(it->second.value);
}

Store::Key Store::ParseKey(const json& object) {
  return {object.value("table", ""), object.value("part", ""),
          object.value("key", "")};
}

json Store::EncodeRow(const Key& key, const Row& row) {
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

void Store::Stamp(json* reply) const {
  (*reply)["ver"] = version_;
  (*reply)["now_ms"] =
      kFirstClockMs + std::chrono::duration_cast<std::chrono::milliseconds>(
                          SteadyClock::now() - started_)
                          .count();
}

int Store::Commit(const json& body, json* reply) {
  const std::lock_guard lock(mutex_);
  bool holds = true;
  json current = json::array();
  for (const json& condition : body.value("precondition", json::array())) {
    const Key key = ParseKey(condition);
    const auto it = rows_.find(key);
    const bool exists = it != rows_.end() && !it->second.removed;
    if (exists) current.push_back(EncodeRow(key, it->second));
    holds = holds &&
            condition.value("ver", 0UL) == (exists ? it->second.version : 0);
  }
  if (!holds) {
    *reply = {{"rows", current}};
    Stamp(reply);
    return 412;
  }
  ++version_;
  for (const json& write : body.value("set_keys", json::array())) {
    rows_[ParseKey(write)] = {.value = write.value("value", ""),
                              .version = version_};
  }
  for (const json& removal : body.value("remove", json::array())) {
    rows_[ParseKey(removal)] = {
        .value = "", .version = version_, .removed = true};
  }
  changed_.notify_all();
  *reply = json::object();
  Stamp(reply);
  return 200;
}

void Store::Range(const std::map<std::string, std::string>& query,
                  json* reply) {
  const auto get = [&query](const char* name) {
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
  };
  const std::lock_guard lock(mutex_);
  json rows = json::array();
  for (const auto& [key, row] : rows_) {
    const auto& [table, part, name] = key;
    if (row.removed || table != get("table") || part != get("part") ||
        name < get("from")) {
      continue;
    }
    rows.push_back(EncodeRow(key, row));
  }
  *reply = {{"rows", rows}, {"more_pages", false}};
  Stamp(reply);
}

void Store::Feed(const std::map<std::string, std::string>& query, json* reply) {
  const std::string table = query.at("table");
  const std::uint64_t after =
      std::strtoull(query.at("after").c_str(), nullptr, 10);
  const auto until =
      SteadyClock::now() + std::chrono::milliseconds(std::strtol(
                               query.at("wait_ms").c_str(), nullptr, 10));
  std::unique_lock lock(mutex_);
  json rows = json::array();
  for (;;) {
    for (const auto& [key, row] : rows_) {
      if (std::get<0>(key) == table && row.version > after) {
        rows.push_back(EncodeRow(key, row));
      }
    }
    if (!rows.empty() ||
        changed_.wait_until(lock, until) == std::cv_status::timeout) {
      break;
    }
  }
  *reply = {{"rows", rows}, {"more_pages", false}};
  Stamp(reply);
}

int Store::Handle(const StoreCall& call,
                  const std::map<std::string, std::string>& query,
                  json* reply) {
  if (call.path == "/rows-tx") {
    std::this_thread::sleep_for(kTransactionTime);
    return Commit(call.body, reply);
  }
  std::this_thread::sleep_for(kReadTime);
  if (call.path == "/rows-feed") {
    Feed(query, reply);
  } else {
    Range(query, reply);
  }
  return 200;
}

void Store::Serve(int fd, std::uint16_t port) {
  MessageReader reader(fd);
  Message request;
  while (reader.Read(&request)) {
    const std::string target = request.Word(1);
    const auto query = ParseQuery(target);
    StoreCall call;
    call.port = port;
    call.path = target.substr(0, target.find('?'));
    if (call.path == "/rows-tx") {
      call.body = json::parse(request.body);
      for (const char* list : {"precondition", "set_keys", "remove"}) {
        for (const json& row : call.body[list]) {
          call.part = row.value("part", "");
          call.table = row.value("table", "");
        }
      }
    } else {
      const auto table = query.find("table");
      const auto part = query.find("part");
      if (table != query.end()) call.table = table->second;
      if (part != query.end()) call.part = part->second;
    }
    std::function<StoreFault(const StoreCall&)> fault_of;
    {
      const std::lock_guard lock(mutex_);
      fault_of = fault_;
    }
    const StoreFault fault =
        fault_of == nullptr ? StoreFault::kNone : fault_of(call);
    json reply = json::object();
    const int status =
        fault == StoreFault::kUnavailable ? 503 : Handle(call, query, &reply);
    if (fault == StoreFault::kAnswerLost) break;
    const std::string body = status == 503 ? "" : reply.dump();
    if (!SendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
      break;
    }
  }
  close(fd);
}

}  // namespace review
