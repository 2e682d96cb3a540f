#include "src/settings/settings_checks.h"

#include <arpa/inet.h>

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

namespace wisteriareel::settings {
namespace {

constexpr std::size_t kMaxIdentifierBytes = 128;
constexpr std::size_t kSha256HexDigits = 64;

bool IsIdentifierCharacter(unsigned char c) {
  return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
}

bool IsDigestDigit(unsigned char c) {
  return absl::ascii_isdigit(c) || (c >= 'a' && c <= 'f');
}

// Stores `value` if it is a string for which `fits` returns true.
template <typename Fits>
bool ParseText(const nlohmann::json& value, std::string* out,
               const Fits& fits) {
  if (!value.is_string()) return false;
  const auto& text = value.get_ref<const std::string&>();
  if (!fits(text)) return false;
  *out = text;
  return true;
}

}  // namespace

bool Identifier::Parse(const nlohmann::json& value, std::string* out) const {
  return ParseText(value, out, [](const std::string& text) {
    return !text.empty() && text.size() <= kMaxIdentifierBytes &&
           std::all_of(text.begin(), text.end(), IsIdentifierCharacter);
  });
}

bool IpAddress::Parse(const nlohmann::json& value, std::string* out) const {
  return ParseText(value, out, [](const std::string& text) {
    in6_addr buf{};
    return inet_pton(AF_INET, text.c_str(), &buf) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &buf) == 1;
  });
}

bool HostAndPort::Parse(const nlohmann::json& value, Endpoint* out) const {
  std::string text;
  if (!ParseText(value, &text, [](const std::string&) { return true; })) {
    return false;
  }
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  in_addr buf{};
  std::uint32_t port = 0;
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &buf) != 1 ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 ||
      port > UINT16_MAX) {
    return false;
  }
  *out = {.host = text.substr(0, colon),
          .port = static_cast<std::uint16_t>(port)};
  return true;
}

bool Number::Parse(const nlohmann::json& value, double* out) const {
  if (!value.is_number()) return false;
  const auto number = value.get<double>();
  if (!(number >= min && number <= max)) return false;
  *out = number;
  return true;
}

bool Secret::Parse(const nlohmann::json& value, std::string* out) const {
  return ParseText(value, out, [this](const std::string& text) {
    return text.size() >= min;
  });
}

bool Sha256Digest::Parse(const nlohmann::json& value, std::string* out) const {
  return ParseText(value, out, [](const std::string& text) {
    return text.size() == kSha256HexDigits &&
           std::all_of(text.begin(), text.end(), IsDigestDigit);
  });
}

bool FilePath::Parse(const nlohmann::json& value, std::string* out) const {
  return ParseText(value, out,
                   [](const std::string& text) { return !text.empty(); });
}

}  // namespace wisteriareel::settings
