#include "standin/plain_service.h"

#include "absl/strings/str_cat.h"
#include "src/http/http_target_client.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

constexpr absl::Duration kDisconnectPollInterval = absl::Milliseconds(20);

json DefaultFaults() {
  return {
      // Counted faults: the value is the number of calls affected.
      // Executes, then closes the connection without a response.
      {"lose_replies", 0},
      // Closes the connection without executing.
      {"lose_requests", 0},
      // Executes, then sends nothing until the peer closes the connection.
      {"silences", 0},
      // Executes, then sends all but the last byte of the response.
      {"cuts_before_end", 0},
      // Sends the response twice on the same connection; a client could take
      // the second one as the response to its next request.
      {"late_duplicates", 0},
      // Sends another request id in the response.
      {"mixups", 0},
      // Refuses before execution, with the not-run header.
      {"refusals", 0},
      // Delay of each call, in milliseconds.
      {"slow_ms", 0},
  };
}

}  // namespace

PlainService::PlainService() : StandinListener(DefaultFaults()) {}

PlainService::~PlainService() { StopListening(); }

std::uint64_t PlainService::Executions(const std::string& key) const {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = executions_by_key_.find(key);
  return it == executions_by_key_.end() ? 0 : it->second;
}

std::uint64_t PlainService::executions() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return execution_count_;
}

std::uint64_t PlainService::Execute(const std::string& key) {
  std::lock_guard<std::mutex> lock(mutex_);
  ++executions_by_key_[key];
  return ++execution_count_;
}

void PlainService::HandleRequest(const httplib::Request& request,
                                 HttpExchange* exchange,
                                 httplib::Response* response) {
  if (exchange->path == "/executions") {
    std::lock_guard<std::mutex> lock(mutex_);
    SetJsonResponse(
        200, {{"total", execution_count_}, {"by_key", executions_by_key_}},
        response);
    return;
  }
  if (ConsumeFault("refusals")) {
    response->set_header(kNotRunHeader, "true");
    SetJsonResponse(503, {{"error", "refused"}}, response);
    return;
  }
  if (ConsumeFault("lose_requests")) {
    CloseWithoutResponse(exchange);
    return;
  }
  Delay("slow_ms");
  std::string key = request.get_header_value(kIdempotencyKeyHeader);
  if (key.empty()) key = request.get_header_value(kRequestIdHeader);
  const std::uint64_t serial = Execute(key);
  if (ConsumeFault("lose_replies")) {
    CloseWithoutResponse(exchange);
    return;
  }
  if (ConsumeFault("silences")) {
    while (!exchange->stream->PeerClosed()) {
      SystemClock()->Sleep(kDisconnectPollInterval);
    }
    CloseWithoutResponse(exchange);
    return;
  }
  SetJsonResponse(200,
                  {{"serial", serial},
                   {"key", key},
                   {"path", exchange->target},
                   {"received_bytes", request.body.size()}},
                  response);
  if (ConsumeFault("mixups")) response->set_header(kRequestIdHeader, "another");
  const bool cut = ConsumeFault("cuts_before_end");
  const bool duplicated = !cut && ConsumeFault("late_duplicates");
  if (!cut && !duplicated) return;
  exchange->response_written = true;
  exchange->close = exchange->close || cut;
  httplib::Headers headers = response->headers;
  headers.emplace("Content-Length", absl::StrCat(response->body.size()));
  std::string bytes = absl::StrCat(SerializeHead(200, headers), response->body);
  if (cut) bytes.pop_back();
  exchange->stream->WriteAll(bytes.data(), bytes.size());
  if (!duplicated) return;
  exchange->stream->WriteAll(bytes.data(), bytes.size());
  ++duplicates_;
}

}  // namespace wisteriareel
