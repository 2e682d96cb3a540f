#ifndef WISTERIAREEL_SRC_SETTINGS_SETTINGS_FILE_H_
#define WISTERIAREEL_SRC_SETTINGS_SETTINGS_FILE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"
#include "src/settings/settings_problem.h"

namespace wisteriareel::settings {

// Returns the text of the file at `path`, or nullopt and a problem.
std::optional<std::string> ReadSettingsFile(
    const std::string& path, std::vector<SettingsProblem>* problems);

// Parses JSON with comments. Names that stand twice in one object are
// problems; text that is no JSON has that one problem and gives nullopt.
std::optional<nlohmann::json> ParseSettingsJson(
    std::string_view text, std::vector<SettingsProblem>* problems);

}  // namespace wisteriareel::settings

#endif  // WISTERIAREEL_SRC_SETTINGS_SETTINGS_FILE_H_
