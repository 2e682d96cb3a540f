#include "engine.h"

#include <cstdlib>
#include <thread>
#include <utility>

#include "nlohmann/json.hpp"

namespace review {
namespace {

using nlohmann::json;

constexpr int kSlots = 64;
constexpr std::int64_t kCacheTokens = 400'000;

std::string Chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace

Engine::Engine(EngineOptions options)
    : options_(std::move(options)),
      born_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
      server_([this](const HttpMessage& request, Connection* connection) {
        return Handle(request, connection);
      }) {}

std::string Engine::Entry(int sequence) const {
  return json{{"service", options_.service},
              {"address", "127.0.0.1:" + std::to_string(server_.port())},
              {"zone", options_.zone},
              {"version", "v1"},
              {"slots", kSlots},
              {"state", "ready"},
              {"cold_remaining_ms", 0},
              {"stage", "colocated"},
              {"born", born_ms_},
              {"sequence", sequence}}
      .dump();
}

std::vector<EngineRun> Engine::Runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

bool Engine::Handle(const HttpMessage& request, Connection* connection) {
  if (request.method == "GET" && request.target == "/report") {
    const std::lock_guard lock(mutex_);
    return connection->Write(
        MakeResponse(200,
                     json{{"stage", "colocated"},
                          {"born", born_ms_},
                          {"busy", false},
                          {"sequence", 1},
                          {"queued", 0},
                          {"running", running_},
                          {"kv_used", 0},
                          {"kv_total", kCacheTokens},
                          {"handles", 0}}
                         .dump(),
                     {{"Content-Type", "application/json"}}));
  }
  const std::string expected = request.Header("Wisteriareel-Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    return connection->Write(
        MakeResponse(421, "", {{"Wisteriareel-Instance-Id", options_.id}}));
  }
  const std::string id = request.Header("Wisteriareel-Request-Id");
  if (id.empty()) {
    return connection->Write(
        MakeResponse(400, "", {{"Wisteriareel-Not-Executed", "1"}}));
  }
  return Stream(request, connection);
}

bool Engine::Stream(const HttpMessage& request, Connection* connection) {
  const std::string counts = request.Header("Wisteriareel-Token-Counts");
  const std::size_t comma = counts.find(',');
  const std::int64_t prompt = std::atoll(counts.c_str());
  const std::int64_t output =
      comma == std::string::npos ? 0 : std::atoll(counts.c_str() + comma + 1);
  const std::string id = request.Header("Wisteriareel-Request-Id");
  const auto events =
      static_cast<int>((output + options_.stride - 1) / options_.stride);
  // A resumed stream goes on after the event that the caller names.
  const int first = std::atoi(request.Header("Last-Event-Id").c_str()) + 1;
  std::size_t index = 0;
  {
    const std::lock_guard lock(mutex_);
    index = runs_.size();
    runs_.push_back({.request_id = id,
                     .tenant = request.Header("Wisteriareel-Tenant"),
                     .engine = options_.id,
                     .prompt_tokens = prompt,
                     .at_ms = NowMs()});
    ++running_;
  }
  std::this_thread::sleep_for(options_.first_event);
  bool ok = connection->Write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Wisteriareel-Request-Id: " +
      id + "\r\nWisteriareel-Response-Seal: " + options_.id + "." + id +
      "\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int n = first; ok && n <= events; ++n) {
    if (n > first) std::this_thread::sleep_for(options_.event_interval);
    // A server drops a request when its connection closes.
    ok = !connection->IsClosedByPeer() &&
         connection->Write(Chunk("id: " + std::to_string(n) + "\ndata: x\n\n"));
    if (!ok) break;
    const std::lock_guard lock(mutex_);
    runs_[index].events = n;
  }
  if (ok) ok = connection->Write("0\r\n\r\n");
  const std::lock_guard lock(mutex_);
  --running_;
  return ok;
}

}  // namespace review
