#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "daemons/ctl/arguments.h"
#include "daemons/ctl/commands.h"
#include "daemons/ctl/usage.h"
#include "docopt/docopt.h"

// The operators' client: parses the command line, connects and runs a command.
namespace wisteriareel::ctl {
namespace {

constexpr char kDefaultServer[] = "127.0.0.1:8081";

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::string ServerOf(const Arguments& arguments) {
  std::string given = arguments.Text("--server");
  if (!given.empty()) return given;
  const std::string from_environment = Environment("WISTERIAREEL_SERVER");
  return from_environment.empty() ? kDefaultServer : from_environment;
}

std::string TokenOf(const Arguments& arguments) {
  const std::string path = arguments.Text("--token-file");
  if (path.empty()) return Environment("WISTERIAREEL_TOKEN");
  std::ifstream file(path);
  std::string token;
  if (!(file >> token)) throw UsageError("--token-file: can't read " + path);
  return token;
}

ExitCode MakeToken() {
  const std::string token = GenerateSecret("wro-");
  std::cout << "token: " << token << "\ntoken_sha256: " << Sha256Hex(token)
            << "\n";
  return ExitCode::kDone;
}

ExitCode Run(const Arguments& arguments) {
  if (arguments.Has("token")) return MakeToken();
  OperatorClient client(
      {.server = ServerOf(arguments),
       .token = TokenOf(arguments),
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

ExitCode Main(const std::vector<std::string>& words) {
  try {
    return Run(Arguments(docopt::docopt_parse(kUsage, words, /*help=*/true,
                                              /*version=*/true)));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return ExitCode::kDone;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "wisteriareelctl " << WISTERIAREEL_VERSION << "\n";
    return ExitCode::kDone;
  } catch (const docopt::DocoptArgumentError&) {
    std::cerr << "wrong command line; see wisteriareelctl --help\n";
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
