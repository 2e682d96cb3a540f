#include "standin/plain_service.h"

#include "absl/strings/str_cat.h"
#include "src/http/http_target_client.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

constexpr absl::Duration kGonePoll = absl::Milliseconds(20);

json FaultsWhenOff() {
  return {
      // Each of the following strikes the next so many calls.
      // Executes, then closes the connection without a reply.
      {"lose_replies", 0},
      // Closes the connection without executing.
      {"lose_requests", 0},
      // Executes, then stays silent on the connection.
      {"silences", 0},
      // Executes, then sends all but the last byte of the answer.
      {"cuts_before_end", 0},
      // Sends the answer a second time, where the next one is expected.
      {"late_duplicates", 0},
      // Answers under another request's id.
      {"mixups", 0},
      // Refuses before execution, saying so.
      {"refusals", 0},
      // Added to each call, in milliseconds.
      {"slow_ms", 0},
  };
}

}  // namespace

PlainService::PlainService() : StandinListener(FaultsWhenOff()) {}

PlainService::~PlainService() { StopListening(); }

std::uint64_t PlainService::Executions(const std::string& key) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? 0 : it->second;
}

std::uint64_t PlainService::executions() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return executed_;
}

std::uint64_t PlainService::Execute(const std::string& key) {
  std::lock_guard<std::mutex> lock(mutex_);
  ++by_key_[key];
  return ++executed_;
}

void PlainService::Answer(const httplib::Request& request,
                          HttpExchange* exchange, httplib::Response* response) {
  if (exchange->path == "/executions") {
    std::lock_guard<std::mutex> lock(mutex_);
    AnswerJson(200, {{"total", executed_}, {"by_key", by_key_}}, response);
    return;
  }
  if (Strikes("refusals")) {
    response->set_header(kNotRunHeader, "true");
    AnswerJson(503, {{"error", "refused"}}, response);
    return;
  }
  if (Strikes("lose_requests")) {
    DropReply(exchange);
    return;
  }
  Delay("slow_ms");
  std::string key = request.get_header_value(kIdempotencyKeyHeader);
  if (key.empty()) key = request.get_header_value(kRequestIdHeader);
  const std::uint64_t serial = Execute(key);
  if (Strikes("lose_replies")) {
    DropReply(exchange);
    return;
  }
  if (Strikes("silences")) {
    while (!exchange->stream->PeerClosed()) SystemClock()->Sleep(kGonePoll);
    DropReply(exchange);
    return;
  }
  AnswerJson(200,
             {{"serial", serial},
              {"key", key},
              {"path", exchange->target},
              {"received_bytes", request.body.size()}},
             response);
  if (Strikes("mixups")) response->set_header(kRequestIdHeader, "another");
  const bool cut = Strikes("cuts_before_end");
  const bool repeated = !cut && Strikes("late_duplicates");
  if (!cut && !repeated) return;
  exchange->response_written = true;
  exchange->close = exchange->close || cut;
  httplib::Headers headers = response->headers;
  headers.emplace("Content-Length", absl::StrCat(response->body.size()));
  std::string bytes = absl::StrCat(SerializeHead(200, headers), response->body);
  if (cut) bytes.pop_back();
  exchange->stream->WriteAll(bytes.data(), bytes.size());
  if (!repeated) return;
  exchange->stream->WriteAll(bytes.data(), bytes.size());
  ++duplicates_;
}

}  // namespace wisteriareel
