#include "standin/standin_listener.h"

#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxConnections = 8192;

}  // namespace

bool StandinListener::Start(const Endpoint& endpoint, LastReason* reason) {
  HttpListenerOptions options;
  options.endpoint = endpoint;
  options.limits.max_connections = kMaxConnections;
  options.limits.keep_alive = absl::Seconds(30);
  options.limits.max_requests_per_connection = 1'000'000;
  options.limits.max_body_bytes = 64 << 20;
  listener_ = std::make_unique<HttpListener>(options, this);
  return listener_->Start(reason);
}

void StandinListener::StopListening() { listener_.reset(); }

bool StandinListener::SetFaults(const json& faults) {
  if (!faults.is_object()) return false;
  json changed;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    changed = faults_;
    for (const auto& [name, setting] : faults.items()) {
      if (!changed.contains(name) || !setting.is_number_integer()) return false;
      changed[name] = setting;
    }
    faults_ = changed;
  }
  OnFaultsChanged(changed);
  return true;
}

std::int64_t StandinListener::FaultValue(const char* name) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return faults_.at(name).get<std::int64_t>();
}

bool StandinListener::ConsumeFault(const char* name) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto remaining = faults_.at(name).get<std::int64_t>();
  if (remaining <= 0) return false;
  faults_[name] = remaining - 1;
  return true;
}

void StandinListener::Delay(const char* name) const {
  const std::int64_t ms = FaultValue(name);
  if (ms > 0) SystemClock()->Sleep(absl::Milliseconds(ms));
}

void StandinListener::Serve(const httplib::Request& request,
                            HttpExchange* exchange,
                            httplib::Response* response) {
  if (exchange->path != "/faults") {
    HandleRequest(request, exchange, response);
    return;
  }
  if (request.method != "GET") {
    const json faults = json::parse(request.body, nullptr, false);
    if (!SetFaults(faults)) {
      SetJsonResponse(400, {{"error", "unknown fault or not a whole number"}},
                      response);
      return;
    }
  }
  std::lock_guard<std::mutex> lock(mutex_);
  SetJsonResponse(200, faults_, response);
}

void StandinListener::Refuse(const HttpRefusal& refusal,
                             httplib::Response* response) {
  SetJsonResponse(refusal.status, {{"error", refusal.detail}}, response);
}

void CloseWithoutResponse(HttpExchange* exchange) {
  exchange->response_written = true;
  exchange->close = true;
}

void SetJsonResponse(int status, const json& body,
                     httplib::Response* response) {
  response->status = status;
  response->set_content(body.dump(), "application/json");
}

}  // namespace wisteriareel
