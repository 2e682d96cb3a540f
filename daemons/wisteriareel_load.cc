#include <docopt/docopt.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "daemons/command_line.h"
#include "standin/load_run.h"

namespace wisteriareel {
namespace {

constexpr char kUsage[] =
    R"(wisteriareel-load: sends chat calls through entry instances to stand-in
engines and checks that each response is complete and belongs to its prompt.

Usage:
  wisteriareel-load --servers=LIST --key=KEY [--model=NAME] [--rate=N]
                    [--concurrency=N] [--streamed=SHARE] [--duration=S]
                    [--requests=N] [--max-tokens=N] [--prompt-bytes=N]
                    [--timeout=S] [--seed=N] [--ca=FILE] [--report=FILE]
  wisteriareel-load (-h | --help)
  wisteriareel-load --version

Options:
  --servers=LIST      HOST:PORT of entry instances, comma-separated.
  --key=KEY           API key of the customer.
  --model=NAME        Model to call [default: small].
  --rate=N            Requests started per second; 0 starts one whenever a
                      request ends [default: 0].
  --concurrency=N     Maximum number of concurrent requests [default: 8].
  --streamed=SHARE    Share of streamed requests, from 0 to 1 [default: 1].
  --duration=S        Seconds in which requests are started [default: 10].
  --requests=N        Maximum number of requests; 0 for no limit
                      [default: 0].
  --max-tokens=N      Output limit of each request [default: 16].
  --prompt-bytes=N    Bytes added to each prompt [default: 64].
  --timeout=S         Timeout of each request, in seconds [default: 60].
  --seed=N            Seed of the prompts [default: 1].
  --ca=FILE           Use TLS and trust these CA certificates.
  --report=FILE       Also write the report to FILE, as JSON.
  -h --help           Show this text.
  --version           Show the version.

Exit codes: 0 no incorrect response, 1 a response ended as complete with
incorrect text, or the report can't be written, 2 invalid command line.
)";

constexpr int kExitFailure = 1;
// Bounds the memory and threads of a run; each request in progress has a
// thread.
constexpr int kMaxConcurrency = 4096;

using Arguments = CommandArguments;

// Parses arguments and records the first error.
class ArgumentReader {
 public:
  explicit ArgumentReader(const Arguments& arguments) : arguments_(arguments) {}

  double Number(const char* name, double min, double max) {
    const std::string text = arguments_.at(name).asString();
    double number = 0;
    if (absl::SimpleAtod(text, &number) && number >= min && number <= max) {
      return number;
    }
    Fail(absl::StrCat(name, ": expected a number from ", min, " to ", max));
    return min;
  }

  std::vector<Endpoint> Endpoints(const char* name) {
    std::vector<Endpoint> endpoints;
    const std::string list = arguments_.at(name).asString();
    for (const auto& entry : absl::StrSplit(list, ',')) {
      const std::vector<std::string> parts = absl::StrSplit(entry, ':');
      int port = 0;
      if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port) || port < 1 ||
          port > UINT16_MAX) {
        Fail(absl::StrCat(name, ": expected HOST:PORT, got ", entry));
        continue;
      }
      endpoints.push_back({parts[0], static_cast<std::uint16_t>(port)});
    }
    return endpoints;
  }

  std::string Text(const char* name) const {
    const docopt::value& argument = arguments_.at(name);
    return argument.isString() ? argument.asString() : "";
  }

  const std::string& error() const { return error_; }

 private:
  void Fail(std::string error) {
    if (error_.empty()) error_ = std::move(error);
  }

  const Arguments& arguments_;
  std::string error_;
};

LoadOptions ReadOptions(ArgumentReader* reader) {
  LoadOptions options;
  options.servers = reader->Endpoints("--servers");
  options.key = reader->Text("--key");
  options.model = reader->Text("--model");
  options.rate = reader->Number("--rate", 0, 1e6);
  options.concurrency =
      static_cast<int>(reader->Number("--concurrency", 1, kMaxConcurrency));
  options.streamed_share = reader->Number("--streamed", 0, 1);
  options.duration = absl::Seconds(reader->Number("--duration", 0, 86'400));
  options.max_requests =
      static_cast<std::uint64_t>(reader->Number("--requests", 0, 1e9));
  options.max_tokens = static_cast<int>(reader->Number("--max-tokens", 1, 1e6));
  options.prompt_bytes =
      static_cast<int>(reader->Number("--prompt-bytes", 0, 1e6));
  options.request_timeout =
      absl::Seconds(reader->Number("--timeout", 0.001, 86'400));
  options.seed = static_cast<std::uint64_t>(reader->Number("--seed", 0, 1e15));
  options.tls.ca_file = reader->Text("--ca");
  return options;
}

int Run(int argc, char** argv) {
  int exit_code = 0;
  const auto arguments =
      ParseCommandLine(kUsage, "wisteriareel-load " WISTERIAREEL_VERSION, argc,
                       argv, &exit_code);
  if (!arguments) return exit_code;
  ArgumentReader reader(*arguments);
  const LoadOptions options = ReadOptions(&reader);
  if (!reader.error().empty()) {
    std::fprintf(stderr, "%s\n", reader.error().c_str());
    return kExitUsage;
  }
  const LoadReport report = RunLoad(options);
  std::fputs(report.ToText().c_str(), stdout);
  const std::string file = reader.Text("--report");
  if (!file.empty()) {
    std::ofstream out(file);
    out << report.ToJson().dump(2) << "\n";
    out.close();
    if (!out) {
      std::fprintf(stderr, "can't write %s\n", file.c_str());
      return kExitFailure;
    }
  }
  return report.wrong == 0 ? 0 : kExitFailure;
}

}  // namespace
}  // namespace wisteriareel

int main(int argc, char** argv) { return wisteriareel::Run(argc, argv); }
