#include "src/settings/object_reader.h"

#include <utility>

namespace wisteriareel {

std::string FormatProblems(const std::vector<SettingsProblem>& problems) {
  std::string text;
  for (const SettingsProblem& problem : problems) {
    absl::StrAppend(&text, problem.path, ": expected ", problem.expectation,
                    ", found ", problem.found, "\n");
  }
  return text;
}

namespace settings {
namespace {

// Maximum length of an invalid value in a problem report.
constexpr std::size_t kMaxShownBytes = 64;

}  // namespace

ObjectReader::ObjectReader(const nlohmann::json& value, std::string path,
                           std::vector<SettingsProblem>* problems)
    : value_(value),
      path_(std::move(path)),
      problems_(problems),
      is_object_(value.is_object()) {
  if (!is_object_) Report(path_, "an object", Describe(value));
}

ObjectReader::~ObjectReader() {
  if (!is_object_) return;
  for (const auto& [name, field] : value_.items()) {
    if (known_.contains(name)) continue;
    Report(PathOf(name), "no such field", "an unknown field");
  }
}

void ObjectReader::Report(const std::string& path,
                          const std::string& expectation,
                          const std::string& found) {
  problems_->push_back({path, expectation, found});
}

std::string ObjectReader::Describe(const nlohmann::json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) {
    return absl::StrCat("a list of ", value.size(), " elements");
  }
  std::string text = value.dump(-1, ' ', /*ensure_ascii=*/true,
                                nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

std::string ObjectReader::DescribeSecret(const nlohmann::json& value) {
  if (!value.is_string()) return absl::StrCat("a ", value.type_name());
  return absl::StrCat("a string of ",
                      value.get_ref<const std::string&>().size(),
                      " characters");
}

const nlohmann::json* ObjectReader::Find(const std::string& name,
                                         const std::string& expectation,
                                         bool required) {
  known_.insert(name);
  // The constructor reported that the value isn't an object.
  if (!is_object_) return nullptr;
  const auto it = value_.find(name);
  if (it != value_.end()) return &*it;
  if (required) Report(PathOf(name), expectation, "nothing");
  return nullptr;
}

}  // namespace settings
}  // namespace wisteriareel
