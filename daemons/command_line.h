#ifndef WISTERIAREEL_DAEMONS_COMMAND_LINE_H_
#define WISTERIAREEL_DAEMONS_COMMAND_LINE_H_

#include <docopt/docopt.h>

#include <cstdio>
#include <exception>
#include <map>
#include <optional>
#include <string>

namespace wisteriareel {

using CommandArguments = std::map<std::string, docopt::value>;

inline constexpr int kExitUsage = 2;

// Parses the command line according to the docopt text `usage`. Returns nullopt
// after printing the help, the version or an error; the program must then exit
// with `*exit_code`.
inline std::optional<CommandArguments> ParseCommandLine(
    const char* usage, const char* program_and_version, int argc, char** argv,
    int* exit_code) {
  *exit_code = 0;
  try {
    return docopt::docopt_parse(usage, {argv + 1, argv + argc});
  } catch (const docopt::DocoptExitHelp&) {
    std::fputs(usage, stdout);
  } catch (const docopt::DocoptExitVersion&) {
    std::puts(program_and_version);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\nsee --help\n", error.what());
    *exit_code = kExitUsage;
  }
  return std::nullopt;
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_DAEMONS_COMMAND_LINE_H_
