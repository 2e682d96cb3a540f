#include "daemons/ctl/arguments.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace wisteriareel::ctl {

Arguments::Arguments(std::map<std::string, docopt::value> values)
    : values_(std::move(values)) {}

bool Arguments::Has(const std::string& name) const {
  const auto it = values_.find(name);
  if (it == values_.end()) return false;
  if (it->second.isBool()) return it->second.asBool();
  if (it->second.isLong()) return it->second.asLong() > 0;
  return static_cast<bool>(it->second);
}

std::string Arguments::Text(const std::string& name) const {
  const auto it = values_.find(name);
  if (it == values_.end() || !it->second.isString()) return "";
  return it->second.asString();
}

std::vector<std::string> Arguments::Texts(const std::string& name) const {
  const auto it = values_.find(name);
  if (it == values_.end()) return {};
  if (it->second.isStringList()) return it->second.asStringList();
  if (it->second.isString()) return {it->second.asString()};
  return {};
}

std::optional<std::int64_t> Arguments::Number(const std::string& name,
                                              std::int64_t min,
                                              std::int64_t max) const {
  const std::string text = Text(name);
  if (text.empty()) return std::nullopt;
  std::int64_t n = 0;
  if (!absl::SimpleAtoi(text, &n) || n < min || n > max) {
    throw UsageError(absl::StrCat(name, ": expected a whole number from ", min,
                                  " to ", max, ", found ", text));
  }
  return n;
}

std::optional<absl::Duration> Arguments::Duration(
    const std::string& name) const {
  const std::string text = Text(name);
  if (text.empty()) return std::nullopt;
  absl::Duration duration;
  if (!absl::ParseDuration(text, &duration) ||
      duration < absl::ZeroDuration()) {
    throw UsageError(
        absl::StrCat(name, ": expected a duration such as 10s, found ", text));
  }
  return duration;
}

std::optional<absl::Time> Arguments::Time(const std::string& name,
                                          absl::Time now) const {
  const std::string text = Text(name);
  if (text.empty()) return std::nullopt;
  absl::Duration ago;
  if (absl::ParseDuration(text, &ago)) return now - ago;
  absl::Time time;
  std::string error;
  if (!absl::ParseTime(absl::RFC3339_full, text, &time, &error)) {
    throw UsageError(absl::StrCat(
        name,
        ": expected a time such as 2026-12-04T06:00:00Z or a duration "
        "such as 12h before now, found ",
        text));
  }
  return time;
}

}  // namespace wisteriareel::ctl
