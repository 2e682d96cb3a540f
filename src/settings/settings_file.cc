#include "src/settings/settings_file.h"

#include <fstream>
#include <sstream>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace wisteriareel::settings {
namespace {

// Reports duplicate keys in an object. The parser itself would silently keep
// the last value.
class DuplicateFinder {
 public:
  explicit DuplicateFinder(std::vector<SettingsProblem>* problems)
      : problems_(problems) {}

  bool operator()(int /*depth*/, nlohmann::json::parse_event_t event,
                  const nlohmann::json& value) {
    using Event = nlohmann::json::parse_event_t;
    if (event == Event::object_start) open_.emplace_back();
    if (event == Event::object_end) open_.pop_back();
    if (event == Event::key) {
      const auto& name = value.get_ref<const std::string&>();
      if (!open_.back().insert(name).second) {
        problems_->push_back({absl::StrCat("$..", name), "each key only once",
                              "a duplicate key in one object"});
      }
    }
    return true;
  }

 private:
  std::vector<SettingsProblem>* const problems_;
  std::vector<absl::flat_hash_set<std::string>> open_;
};

}  // namespace

std::optional<std::string> ReadSettingsFile(
    const std::string& path, std::vector<SettingsProblem>* problems) {
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) {
    problems->push_back({"$", "a readable file", path});
    return std::nullopt;
  }
  return text.str();
}

std::optional<nlohmann::json> ParseSettingsJson(
    std::string_view text, std::vector<SettingsProblem>* problems) {
  DuplicateFinder duplicates(problems);
  try {
    return nlohmann::json::parse(
        text,
        [&](int depth, nlohmann::json::parse_event_t event,
            nlohmann::json& value) { return duplicates(depth, event, value); },
        /*allow_exceptions=*/true, /*ignore_comments=*/true);
  } catch (const nlohmann::json::parse_error& error) {
    // The parser's message quotes the file, possibly a secret, so only the
    // position is reported.
    problems->push_back({"$", "JSON with comments",
                         absl::StrCat("an error at byte ", error.byte)});
    return std::nullopt;
  }
}

}  // namespace wisteriareel::settings
