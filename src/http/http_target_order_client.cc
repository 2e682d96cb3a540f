#include "src/http/http_target_order_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;

const char* KindName(TargetOrderKind kind) {
  switch (kind) {
    case TargetOrderKind::kUnloadModel:
      return "unload_model";
    case TargetOrderKind::kUnloadAdapter:
      return "unload_adapter";
    case TargetOrderKind::kSetVersion:
      return "set_version";
    case TargetOrderKind::kLoadModel:
      return "load_model";
    case TargetOrderKind::kLoadAdapter:
      return "load_adapter";
    case TargetOrderKind::kSetRole:
      return "set_role";
  }
  return "";
}

std::optional<TargetEngineState> DecodeState(const std::string& body) {
  TargetEngineState state;
  try {
    const json parsed = json::parse(body);
    for (const json& model : parsed.at("models")) {
      state.models.emplace_back(model.get<std::string>());
    }
    state.adapters = parsed.at("adapters").get<std::vector<std::string>>();
    state.version = parsed.at("version").get<std::string>();
    state.role = parsed.at("role").get<std::string>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return state;
}

}  // namespace

HttpTargetOrderClient::HttpTargetOrderClient(
    HttpTargetOrderClientOptions options, RandomSource* random)
    : options_(std::move(options)),
      random_(random),
      connections_(options_.connections) {}

std::optional<int> HttpTargetOrderClient::Exchange(
    const Target& target, const std::string& method, const std::string& path,
    const std::string& body, absl::Duration timeout, std::string* response_body,
    LastReason* reason) {
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  if (!body.empty()) request.set_header("Content-Type", "application/json");
  httplib::Response response;
  // Uses a new connection: a reused one may be dead without notice, which would
  // delay the order until the timeout.
  const ClientOutcome outcome = connections_.Exchange(
      target.endpoint, /*fresh=*/true,
      {.connect_timeout = std::min(options_.connect_timeout, timeout),
       .idle_timeout = &timeout,
       .deadline = SystemClock()->Now() + timeout},
      &request, &response);
  if (!outcome.ok) {
    reason->Set(Reason::kTargetUnreachable, target.id.value());
    return std::nullopt;
  }
  *response_body = std::move(response.body);
  return response.status;
}

std::optional<TargetEngineState> HttpTargetOrderClient::ReadState(
    const Target& target, absl::Duration timeout, LastReason* reason) {
  std::string body;
  const std::optional<int> status =
      Exchange(target, "GET", "/v1/state", "", timeout, &body, reason);
  if (!status) return std::nullopt;
  std::optional<TargetEngineState> state;
  if (*status == kOk) state = DecodeState(body);
  if (!state) reason->Set(Reason::kTargetFailed, target.id.value());
  return state;
}

bool HttpTargetOrderClient::Send(const Target& target, const TargetOrder& order,
                                 absl::Duration timeout, LastReason* reason) {
  const json body = {{"order_id", random_->HexId()},
                     {"fencing_number", order.fencing.value()},
                     {"kind", KindName(order.kind)},
                     {"name", order.name}};
  std::string response_body;
  const std::optional<int> status =
      Exchange(target, "POST", "/v1/orders", body.dump(), timeout,
               &response_body, reason);
  if (!status) return false;
  if (*status == kOk) return true;
  Reason refused = Reason::kTargetFailed;
  if (*status == kConflict) refused = Reason::kFencingNumberOld;
  if (*status == kTooManyRequests) refused = Reason::kWeightStoreBusy;
  reason->Set(refused, response_body);
  return false;
}

}  // namespace wisteriareel
