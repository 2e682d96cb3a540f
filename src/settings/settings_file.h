#ifndef WISTERIAREEL_SRC_SETTINGS_SETTINGS_FILE_H_
#define WISTERIAREEL_SRC_SETTINGS_SETTINGS_FILE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"
#include "src/settings/settings_problem.h"

namespace wisteriareel::settings {

// Returns the content of the file at `path`. If it can't be read, returns
// nullopt and adds a problem.
std::optional<std::string> ReadSettingsFile(
    const std::string& path, std::vector<SettingsProblem>* problems);

// Parses JSON with comments. Adds a problem for each key that occurs twice in
// one object. Text that isn't valid JSON yields a problem and nullopt.
std::optional<nlohmann::json> ParseSettingsJson(
    std::string_view text, std::vector<SettingsProblem>* problems);

}  // namespace wisteriareel::settings

#endif  // WISTERIAREEL_SRC_SETTINGS_SETTINGS_FILE_H_
