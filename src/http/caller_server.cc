#include "src/http/caller_server.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "src/http/chat_codec.h"
#include "src/http/http_response_writer.h"
#include "src/http/http_target_client.h"
#include "src/security/digest.h"

namespace wisteriareel {
namespace {

constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kHealthPath[] = "/healthz";
constexpr char kReadyPath[] = "/readyz";
constexpr char kMetricsPath[] = "/metrics";
constexpr char kBearer[] = "Bearer ";
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr std::size_t kMaxPathBytes = 2048;

// Headers that may occur only once, since servers differ in which copy they
// use.
constexpr const char* kUniqueHeaders[] = {
    "Authorization", kIdempotencyKeyHeader, kTimeoutHeader,
    kCallerPriorityHeader, "Content-Type"};

constexpr std::string_view kMethods[] = {"GET", "POST", "PUT", "PATCH",
                                         "DELETE"};

bool IsMonitoringPath(const std::string& path) {
  return path == kHealthPath || path == kReadyPath || path == kMetricsPath;
}

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

// Stores the API key of the request in `*found`, or returns the refusal.
std::optional<HttpRefusal> Authenticate(const ConfigSnapshot& config,
                                        const httplib::Request& request,
                                        ApiKey* found) {
  if (config.revision() == Revision()) {
    return HttpRefusal{503, Reason::kConfigNotLoaded,
                       "configuration not loaded yet"};
  }
  const HttpRefusal unauthenticated{
      401, Reason::kUnauthenticated,
      "expected Authorization: Bearer with a valid key"};
  const std::string header = request.get_header_value("Authorization");
  if (!absl::StartsWithIgnoreCase(header, kBearer)) return unauthenticated;
  const std::string secret = header.substr(sizeof(kBearer) - 1);
  if (secret.empty() || secret.size() > kMaxKeyBytes) return unauthenticated;
  const std::string hash = Sha256Hex(secret);
  const ApiKey* key = config.FindKeyByHash(hash);
  if (key == nullptr || !EqualInConstantTime(key->hash, hash)) {
    return unauthenticated;
  }
  if (key->revoked) return unauthenticated;
  const Customer* customer = config.FindCustomer(key->customer);
  if (customer == nullptr) return unauthenticated;
  if (customer->suspended) {
    return HttpRefusal{403, Reason::kCustomerSuspended, "customer suspended"};
  }
  *found = *key;
  return std::nullopt;
}

bool ReadPriority(const httplib::Request& request, Priority* priority) {
  if (!request.has_header(kCallerPriorityHeader)) return true;
  const std::string name = request.get_header_value(kCallerPriorityHeader);
  if (name == "interactive") {
    *priority = Priority::kInteractive;
  } else if (name == "normal") {
    *priority = Priority::kNormal;
  } else if (name == "batch") {
    *priority = Priority::kBatch;
  } else {
    return false;
  }
  return true;
}

bool ReadTimeout(const httplib::Request& request, absl::Duration* timeout) {
  if (!request.has_header(kTimeoutHeader)) return true;
  std::uint32_t ms = 0;
  if (!absl::SimpleAtoi(request.get_header_value(kTimeoutHeader), &ms)) {
    return false;
  }
  *timeout = absl::Milliseconds(ms);
  return ms > 0;
}

// Validates the method, path and headers of any call.
std::optional<HttpRefusal> CheckHeaders(const httplib::Request& request,
                                        const HttpExchange& exchange) {
  if (std::find(std::begin(kMethods), std::end(kMethods), request.method) ==
      std::end(kMethods)) {
    return HttpRefusal{405, Reason::kMalformed, "unsupported method"};
  }
  for (const char* name : kUniqueHeaders) {
    if (request.get_header_value_count(name) < 2) continue;
    return HttpRefusal{400, Reason::kMalformed,
                       absl::StrCat("duplicate header: ", name)};
  }
  if (exchange.path.size() > kMaxPathBytes) {
    return HttpRefusal{414, Reason::kHeaderTooLarge, "path too long"};
  }
  if (!IsPrintable(exchange.target) || exchange.target.front() != '/' ||
      absl::StrContains(exchange.path, "..")) {
    return HttpRefusal{400, Reason::kMalformed, "invalid path"};
  }
  const std::string key = request.get_header_value(kIdempotencyKeyHeader);
  if (key.size() > kMaxIdempotencyKeyBytes || !IsPrintable(key)) {
    return HttpRefusal{400, Reason::kMalformed, "invalid Idempotency-Key"};
  }
  Priority priority = Priority::kNormal;
  if (!ReadPriority(request, &priority)) {
    return HttpRefusal{400, Reason::kMalformed,
                       absl::StrCat(kCallerPriorityHeader,
                                    ": expected interactive, normal, batch")};
  }
  absl::Duration timeout;
  if (!ReadTimeout(request, &timeout)) {
    return HttpRefusal{400, Reason::kMalformed,
                       absl::StrCat(kTimeoutHeader, ": expected milliseconds")};
  }
  return std::nullopt;
}

}  // namespace

CallerServer::CallerServer(CallerServerOptions options,
                           CallerServerDependencies dependencies)
    : options_(std::move(options)),
      dependencies_(std::move(dependencies)),
      listener_(std::make_unique<HttpListener>(options_.listener, this)) {}

CallerServer::~CallerServer() { Stop(absl::ZeroDuration()); }

std::optional<HttpRefusal> CallerServer::CheckHead(
    const httplib::Request& request, const HttpExchange& exchange) {
  if (IsMonitoringPath(exchange.path)) return std::nullopt;
  std::optional<HttpRefusal> refusal = CheckHeaders(request, exchange);
  if (refusal) return refusal;
  ApiKey key;
  refusal = Authenticate(*dependencies_.config->Current(), request, &key);
  if (refusal) return refusal;
  if (exchange.path != kChatPath) return std::nullopt;
  if (request.method != "POST") {
    return HttpRefusal{405, Reason::kMalformed, "expected POST"};
  }
  const std::string& type = exchange.content_type;
  // Tools such as curl send a form content type by default. The body is parsed
  // as JSON in any case.
  const bool may_be_json =
      type.empty() || absl::StartsWithIgnoreCase(type, "application/json") ||
      absl::StartsWithIgnoreCase(type, "application/x-www-form-urlencoded");
  if (!may_be_json) {
    return HttpRefusal{415, Reason::kMalformed, "expected application/json"};
  }
  return std::nullopt;
}

bool CallerServer::ServeMonitoringPath(const HttpExchange& exchange,
                                       httplib::Response* response) {
  if (exchange.path == kHealthPath) {
    response->set_content("ok\n", "text/plain");
    return true;
  }
  if (exchange.path == kReadyPath) {
    const bool ready = !dependencies_.ready || dependencies_.ready();
    response->status = ready ? 200 : 503;
    response->set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    return true;
  }
  if (exchange.path != kMetricsPath || !dependencies_.metrics) return false;
  response->set_content(dependencies_.metrics(), "text/plain; version=0.0.4");
  return true;
}

std::optional<CallerRequest> CallerServer::MakeRequest(
    const httplib::Request& request, const HttpExchange& exchange,
    HttpRefusal* refusal) {
  // The key may have been revoked while the body was received.
  ApiKey key;
  const std::optional<HttpRefusal> key_refusal =
      Authenticate(*dependencies_.config->Current(), request, &key);
  if (key_refusal) {
    *refusal = *key_refusal;
    return std::nullopt;
  }
  CallerRequest call;
  call.id = NextRequestId();
  call.customer = key.customer;
  call.budget = key.budget;
  call.method = request.method;
  call.path = exchange.target;
  call.content_type = exchange.content_type;
  call.body = request.body;
  call.idempotency_key =
      IdempotencyKey(request.get_header_value(kIdempotencyKeyHeader));
  ReadPriority(request, &call.priority);
  absl::Duration timeout = options_.default_timeout;
  ReadTimeout(request, &timeout);
  call.received = dependencies_.clock->Now();
  call.deadline = call.received + std::min(timeout, options_.max_timeout);
  if (exchange.path != kChatPath) {
    call.kind = CallKind::kService;
    return call;
  }
  LastReason reason;
  const std::optional<ChatCall> chat = ParseChatCall(request.body, &reason);
  if (!chat) {
    *refusal = {400, reason.reason(), reason.detail()};
    return std::nullopt;
  }
  call.model = chat->model;
  call.streamed = chat->streamed;
  call.max_prompt_tokens = chat->max_prompt_tokens;
  call.output_limit = chat->output_limit;
  call.prefix_hash = chat->prefix_hash;
  return call;
}

void CallerServer::Serve(const httplib::Request& request,
                         HttpExchange* exchange, httplib::Response* response) {
  if (IsMonitoringPath(exchange->path)) {
    if (ServeMonitoringPath(*exchange, response)) return;
    Refuse({404, Reason::kNotFound, "no such page"}, response);
    return;
  }
  HttpRefusal refusal;
  const std::optional<CallerRequest> call =
      MakeRequest(request, *exchange, &refusal);
  if (!call) {
    Refuse(refusal, response);
    return;
  }
  HttpResponseWriter writer(&call->id, exchange, response);
  const CallResult result = dependencies_.handler->Handle(*call, &writer);
  writer.Close(result);
  if (!writer.finished()) AddRetryAfter(result, response);
}

void CallerServer::AddRetryAfter(const CallResult& result,
                                 httplib::Response* response) {
  const bool temporary = response->status == 429 || response->status == 503;
  absl::Duration wait = result.retry_after;
  if (wait <= absl::ZeroDuration() && temporary) {
    wait = options_.default_retry_after;
  }
  if (wait <= absl::ZeroDuration()) return;
  // Retry-After takes whole seconds; rounds up.
  const std::int64_t seconds =
      absl::ToInt64Seconds(absl::Ceil(wait, absl::Seconds(1)));
  response->set_header("Retry-After", absl::StrCat(seconds));
}

RequestId CallerServer::NextRequestId() {
  if (dependencies_.next_request_id) return dependencies_.next_request_id();
  return RequestId(dependencies_.random->HexId());
}

void CallerServer::Refuse(const HttpRefusal& refusal,
                          httplib::Response* response) {
  dependencies_.counters->Add(Counter::kCallersRefused, 1);
  dependencies_.counters->Refused(refusal.reason);
  const RequestId id = NextRequestId();
  const CallResult result{.verdict = refusal.verdict,
                          .reason = refusal.reason,
                          .detail = refusal.detail};
  response->status = refusal.status;
  response->set_content(ErrorBody(id, result), "application/json");
  response->set_header(kRequestIdHeader, id.value());
  AddRetryAfter(result, response);
}

}  // namespace wisteriareel
