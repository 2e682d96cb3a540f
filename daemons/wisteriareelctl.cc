#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "daemons/ctl/arguments.h"
#include "daemons/ctl/commands.h"
#include "daemons/ctl/usage.h"
#include "docopt/docopt.h"

// Command-line client for operators.
namespace wisteriareel::ctl {
namespace {

constexpr char kDefaultServer[] = "127.0.0.1:8081";

std::string GetEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::string SelectServer(const Arguments& arguments) {
  std::string given = arguments.Text("--server");
  if (!given.empty()) return given;
  const std::string from_environment = GetEnvironment("WISTERIAREEL_SERVER");
  return from_environment.empty() ? kDefaultServer : from_environment;
}

std::string ReadToken(const Arguments& arguments) {
  const std::string path = arguments.Text("--token-file");
  if (path.empty()) return GetEnvironment("WISTERIAREEL_TOKEN");
  std::ifstream file(path);
  std::string token;
  if (!(file >> token)) throw UsageError("--token-file: can't read " + path);
  return token;
}

ExitCode PrintNewToken() {
  const std::string token = GenerateSecret("wro-");
  std::cout << "token: " << token << "\ntoken_sha256: " << Sha256Hex(token)
            << "\n";
  return ExitCode::kDone;
}

ExitCode Run(const Arguments& arguments) {
  if (arguments.Has("token")) return PrintNewToken();
  OperatorClient client(
      {.server = SelectServer(arguments),
       .token = ReadToken(arguments),
       .tls = {.certificate_file = arguments.Text("--certificate"),
               .key_file = arguments.Text("--certificate-key"),
               .ca_file = arguments.Text("--ca")},
       .timeout =
           arguments.Duration("--timeout").value_or(kDefaultCallTimeout)});
  LastReason reason;
  if (!client.Connect(&reason)) {
    std::cerr << reason.detail() << "\n";
    return ExitCode::kUsage;
  }
  Session session(&client, &arguments, &std::cout, &std::cerr);
  return RunCommand(&session);
}

ExitCode Main(const std::vector<std::string>& command_line) {
  try {
    return Run(
        Arguments(docopt::docopt_parse(kUsage, command_line, /*help=*/true,
                                       /*version=*/true)));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return ExitCode::kDone;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "wisteriareelctl " << WISTERIAREEL_VERSION << "\n";
    return ExitCode::kDone;
  } catch (const docopt::DocoptArgumentError&) {
    std::cerr << "invalid command line; see wisteriareelctl --help\n";
    return ExitCode::kUsage;
  } catch (const UsageError& error) {
    std::cerr << error.what() << "\n";
    return ExitCode::kUsage;
  }
}

}  // namespace
}  // namespace wisteriareel::ctl

int main(int argc, char** argv) {
  return static_cast<int>(wisteriareel::ctl::Main({argv + 1, argv + argc}));
}
