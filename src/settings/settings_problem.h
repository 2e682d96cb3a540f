#ifndef WISTERIAREEL_SRC_SETTINGS_SETTINGS_PROBLEM_H_
#define WISTERIAREEL_SRC_SETTINGS_SETTINGS_PROBLEM_H_

#include <string>
#include <vector>

namespace wisteriareel {

// One thing that is wrong with a settings file.
struct SettingsProblem {
  // Path of the value, such as "$.listen.callers.port".
  std::string path;
  // What was expected there.
  std::string expectation;
  // What was found instead. Never shows a secret.
  std::string found;

  friend bool operator==(const SettingsProblem&,
                         const SettingsProblem&) = default;
};

// Returns one line per problem.
std::string FormatProblems(const std::vector<SettingsProblem>& problems);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_SETTINGS_SETTINGS_PROBLEM_H_
