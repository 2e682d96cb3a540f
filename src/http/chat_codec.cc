#include "src/http/chat_codec.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

// Upper bounds on the tokens that a chat template adds per call and per
// message.
constexpr std::int64_t kTemplateTokensPerCall = 64;
constexpr std::int64_t kTemplateTokensPerMessage = 16;
constexpr std::size_t kMaxHashedBytes = 4096;

constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;

// FNV-1a hash. Unlike std::hash, it is the same on every instance and in every
// version.
std::uint64_t HashBytes(std::uint64_t hash, std::string_view bytes) {
  for (const char c : bytes) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return hash;
}

std::nullopt_t Fail(std::string detail, LastReason* reason) {
  reason->Set(Reason::kMalformed, std::move(detail));
  return std::nullopt;
}

// Parses JSON with limited depth; rejects duplicate keys.
std::optional<json> ParseStrictJson(std::string_view body, LastReason* reason) {
  bool too_deep = false;
  std::string repeated;
  // Keys of the enclosing objects, outermost first.
  std::vector<std::set<std::string>> keys;
  const auto check = [&](int depth, json::parse_event_t event, json& parsed) {
    if (depth > kMaxJsonDepth) {
      too_deep = true;
      return false;
    }
    if (event == json::parse_event_t::object_start) keys.emplace_back();
    if (event == json::parse_event_t::object_end) keys.pop_back();
    if (event == json::parse_event_t::key && !keys.empty()) {
      const auto& key = parsed.get_ref<const std::string&>();
      if (!keys.back().insert(key).second) repeated = key;
    }
    return true;
  };
  json parsed = json::parse(body.begin(), body.end(), check,
                            /*allow_exceptions=*/false);
  if (too_deep) return Fail("JSON nested too deeply", reason);
  if (parsed.is_discarded()) return Fail("body is not valid JSON", reason);
  if (!repeated.empty()) return Fail("duplicate key: " + repeated, reason);
  if (!parsed.is_object()) return Fail("body is not a JSON object", reason);
  return parsed;
}

bool IsTextContent(const json& content) {
  if (content.is_string() || content.is_null()) return true;
  if (!content.is_array()) return false;
  for (const json& part : content) {
    if (!part.is_object()) return false;
    const auto type = part.find("type");
    if (type == part.end() || *type != "text") return false;
  }
  return true;
}

bool CheckMessages(const json& call, LastReason* reason) {
  const auto messages = call.find("messages");
  if (messages == call.end() || !messages->is_array() || messages->empty()) {
    Fail("messages: expected a list with at least one entry", reason);
    return false;
  }
  for (const json& message : *messages) {
    const auto role =
        message.is_object() ? message.find("role") : message.end();
    if (!message.is_object() || role == message.end() || !role->is_string()) {
      Fail("messages: expected objects with a role", reason);
      return false;
    }
    const auto content = message.find("content");
    if (content != message.end() && !IsTextContent(*content)) {
      Fail("messages: only text content is supported", reason);
      return false;
    }
  }
  return true;
}

bool ReadStreamed(const json& call, bool* streamed, LastReason* reason) {
  const auto it = call.find("stream");
  if (it == call.end() || it->is_null()) return true;
  if (!it->is_boolean()) {
    Fail("stream: expected true or false", reason);
    return false;
  }
  *streamed = it->get<bool>();
  return true;
}

bool ReadOutputLimit(const json& call, std::optional<std::uint32_t>* limit,
                     LastReason* reason) {
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto it = call.find(name);
    if (it == call.end() || it->is_null()) continue;
    if (limit->has_value()) {
      Fail("max_tokens and max_completion_tokens: expected only one", reason);
      return false;
    }
    const bool fits = it->is_number_unsigned() &&
                      it->get<std::uint64_t>() >= 1 &&
                      it->get<std::uint64_t>() <= kMaxOutputLimit;
    if (!fits) {
      Fail(absl::StrCat(name, ": expected a whole number from 1 to ",
                        kMaxOutputLimit),
           reason);
      return false;
    }
    *limit = it->get<std::uint32_t>();
  }
  return true;
}

// Limits the number of choices, since each may use the full output limit.
bool CheckChoices(const json& call, LastReason* reason) {
  for (const char* name : {"n", "best_of"}) {
    const auto it = call.find(name);
    if (it == call.end() || it->is_null()) continue;
    const bool fits = it->is_number_unsigned() &&
                      it->get<std::uint64_t>() >= 1 &&
                      it->get<std::uint64_t>() <= kMaxChoices;
    if (fits) continue;
    Fail(
        absl::StrCat(name, ": expected a whole number from 1 to ", kMaxChoices),
        reason);
    return false;
  }
  return true;
}

std::uint64_t PrefixHash(const ModelName& model, const json& first_message) {
  const std::string text = first_message.dump();
  const std::uint64_t seed = HashBytes(kFnvOffsetBasis, model.value());
  return HashBytes(seed, text.substr(0, kMaxHashedBytes));
}

}  // namespace

std::optional<ChatCall> ParseChatCall(std::string_view body,
                                      LastReason* reason) {
  const std::optional<json> call = ParseStrictJson(body, reason);
  if (!call) return std::nullopt;
  const auto model = call->find("model");
  if (model == call->end() || !model->is_string()) {
    return Fail("model: expected a name", reason);
  }
  const auto& name = model->get_ref<const std::string&>();
  if (name.empty() || name.size() > kMaxModelNameBytes) {
    return Fail("model: expected a name", reason);
  }
  ChatCall parsed{.model = ModelName(name)};
  if (!CheckMessages(*call, reason)) return std::nullopt;
  if (!ReadStreamed(*call, &parsed.streamed, reason)) return std::nullopt;
  if (!ReadOutputLimit(*call, &parsed.output_limit, reason)) {
    return std::nullopt;
  }
  if (!CheckChoices(*call, reason)) return std::nullopt;
  const json& messages = call->at("messages");
  const auto count = static_cast<std::int64_t>(messages.size());
  parsed.max_prompt_tokens =
      Tokens(static_cast<std::int64_t>(body.size()) + kTemplateTokensPerCall +
             kTemplateTokensPerMessage * count);
  parsed.prefix_hash = PrefixHash(parsed.model, messages.front());
  return parsed;
}

std::string ErrorBody(const RequestId& request, const CallResult& result) {
  const std::string reason(ReasonName(result.reason));
  const json body = {
      {"error",
       {{"request_id", request.value()},
        {"reason", reason},
        {"code", static_cast<int>(result.reason)},
        {"verdict", std::string(VerdictName(result.verdict))},
        {"message", result.detail.empty() ? reason : result.detail}}}};
  // The detail may quote input that isn't valid UTF-8.
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

int StatusFor(const CallResult& result) {
  switch (result.reason) {
    case Reason::kMalformed:
    case Reason::kIdempotencyKeyMissing:
      return 400;
    case Reason::kUnauthenticated:
      return 401;
    case Reason::kBudgetExhausted:
    case Reason::kBudgetUnknown:
      return 402;
    case Reason::kForbidden:
    case Reason::kCustomerSuspended:
      return 403;
    case Reason::kNotFound:
    case Reason::kNoSuchPool:
      return 404;
    case Reason::kConflict:
    case Reason::kClaimHeldElsewhere:
    case Reason::kClaimInDoubt:
    case Reason::kIdempotencyKeyReused:
    case Reason::kAnswerNotKept:
      return 409;
    case Reason::kTooLarge:
    case Reason::kBodyTooLarge:
      return 413;
    case Reason::kHeaderTooLarge:
      return 431;
    case Reason::kQueueFull:
    case Reason::kShedOverload:
    case Reason::kCustomerShareExceeded:
    case Reason::kPlatformRateLimited:
      return 429;
    case Reason::kCancelled:
    case Reason::kCallerGone:
      return 499;
    case Reason::kAnswerIncomplete:
    case Reason::kStreamStalled:
    case Reason::kTargetFailed:
    case Reason::kTargetUnreachable:
      return 502;
    case Reason::kDeadlineExceeded:
    case Reason::kQueueTimeout:
      return 504;
    default:
      return 503;
  }
}

}  // namespace wisteriareel
