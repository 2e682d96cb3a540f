#ifndef WISTERIAREEL_SRC_SETTINGS_SETTINGS_PROBLEM_H_
#define WISTERIAREEL_SRC_SETTINGS_SETTINGS_PROBLEM_H_

#include <string>
#include <vector>

namespace wisteriareel {

// One problem in a settings file.
struct SettingsProblem {
  // Path of the value, such as "$.listen.callers.port".
  std::string path;
  // Description of the accepted values.
  std::string expectation;
  // Description of the value found. Never contains a secret.
  std::string found;

  friend bool operator==(const SettingsProblem&,
                         const SettingsProblem&) = default;
};

// Formats the problems, one line each.
std::string FormatProblems(const std::vector<SettingsProblem>& problems);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_SETTINGS_SETTINGS_PROBLEM_H_
