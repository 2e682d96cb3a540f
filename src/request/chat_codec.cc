#include "src/request/chat_codec.h"

#include <algorithm>

#include "absl/hash/hash.h"
#include "nlohmann/json.hpp"

namespace wisteriareel {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kWhitespace = " \r\n";
constexpr std::uint32_t kMaxChoices = 128;

std::string_view Trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kWhitespace);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kWhitespace) - begin + 1);
}

// Returns the value of the event's data field, or the trimmed bytes if there is
// no data field.
std::string_view DataOf(std::string_view event) {
  std::size_t begin = 0;
  while (begin < event.size()) {
    const std::size_t end = std::min(event.find('\n', begin), event.size());
    const std::string_view line = event.substr(begin, end - begin);
    if (line.starts_with(kDataField)) {
      return Trim(line.substr(kDataField.size()));
    }
    begin = end + 1;
  }
  return Trim(event);
}

Json ParseObject(std::string_view bytes) {
  Json json = Json::parse(bytes.begin(), bytes.end(), nullptr, false);
  return json.is_object() ? json : Json();
}

std::int64_t CountOf(const Json& usage, const char* name) {
  const auto it = usage.find(name);
  if (it == usage.end() || !it->is_number_integer()) return 0;
  return std::max<std::int64_t>(0, it->get<std::int64_t>());
}

bool MentionsUsage(std::string_view bytes) {
  return bytes.find("\"usage\"") != std::string_view::npos;
}

std::uint32_t ChoicesOf(const Json& json) {
  std::int64_t choices = 1;
  for (const char* name : {"n", "best_of"}) {
    choices = std::max(choices, CountOf(json, name));
  }
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(choices, kMaxChoices + 1));
}

bool IsDeterministic(const Json& json) {
  if (json.contains("seed") && json["seed"].is_number()) return true;
  const auto it = json.find("temperature");
  return it != json.end() && it->is_number() && it->get<double>() == 0.0;
}

}  // namespace

std::optional<ChatBody> PrepareChatBody(std::string_view body,
                                        std::uint32_t output_limit,
                                        bool streamed, LastReason* reason) {
  Json json = ParseObject(body);
  if (json.is_null()) {
    reason->Set(Reason::kMalformed, "the request body is not a JSON object");
    return std::nullopt;
  }
  ChatBody prepared{.choices = ChoicesOf(json),
                    .deterministic = IsDeterministic(json)};
  if (prepared.choices > kMaxChoices) {
    reason->Set(Reason::kMalformed, "the request asks for too many choices");
    return std::nullopt;
  }
  json.erase("max_completion_tokens");
  json["max_tokens"] = output_limit;
  json["stream"] = streamed;
  if (streamed) {
    Json& stream_options = json["stream_options"];
    if (!stream_options.is_object()) stream_options = Json::object();
    const auto it = stream_options.find("include_usage");
    prepared.wants_usage =
        it != stream_options.end() && it->is_boolean() && it->get<bool>();
    stream_options["include_usage"] = true;
  } else {
    json.erase("stream_options");
  }
  prepared.bytes = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return prepared;
}

std::optional<ChatUsage> FindChatUsage(std::string_view bytes) {
  if (!MentionsUsage(bytes)) return std::nullopt;
  const Json json = ParseObject(DataOf(bytes));
  const auto it = json.find("usage");
  if (it == json.end() || !it->is_object()) return std::nullopt;
  return ChatUsage{.prompt = Tokens(CountOf(*it, "prompt_tokens")),
                   .output = Tokens(CountOf(*it, "completion_tokens"))};
}

bool IsUsageOnlyEvent(std::string_view event) {
  if (!MentionsUsage(event)) return false;
  const Json json = ParseObject(DataOf(event));
  const auto usage = json.find("usage");
  if (usage == json.end() || !usage->is_object()) return false;
  const auto choices = json.find("choices");
  return choices == json.end() || choices->empty();
}

std::uint64_t ChatEventTextHash(std::string_view event) {
  const std::string_view data = DataOf(event);
  const Json json = ParseObject(data);
  const auto it = json.find("choices");
  const std::string text =
      it == json.end()
          ? std::string(data)
          : it->dump(-1, ' ', false, Json::error_handler_t::replace);
  return absl::HashOf(text);
}

}  // namespace wisteriareel
