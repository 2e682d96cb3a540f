#ifndef WISTERIAREEL_STANDIN_LOAD_RUN_H_
#define WISTERIAREEL_STANDIN_LOAD_RUN_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/security/tls_files.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct LoadOptions {
  // Entry instances, used in turn.
  std::vector<Endpoint> servers;
  std::string key;
  std::string model = "small";
  // Requests started a second; zero starts each as soon as one has ended.
  double rate = 0;
  // Requests open at once.
  int concurrency = 8;
  // Share of requests that ask for a stream.
  double streamed_share = 1;
  // No request is started after this time.
  absl::Duration duration = absl::Seconds(10);
  // Nor after so many; zero is no limit.
  std::uint64_t max_requests = 0;
  int max_tokens = 16;
  // Bytes added to each prompt.
  int prompt_bytes = 64;
  // Longest time of one request.
  absl::Duration request_timeout = absl::Seconds(60);
  std::uint64_t seed = 1;
  TlsFiles tls;
};

// Durations of one kind.
class DurationSamples {
 public:
  void Add(absl::Duration duration) { samples_.push_back(duration); }
  void Add(const DurationSamples& other);

  // Returns the value below which `share` of the durations lie; zero without
  // any.
  absl::Duration Percentile(double share) const;

  // Returns count, 50th, 95th and 99th percentile and maximum, in ms.
  nlohmann::json ToJson() const;

 private:
  std::vector<absl::Duration> samples_;
};

// What a run saw.
struct LoadReport {
  std::uint64_t sent = 0;
  // Answered whole, with the text that belongs to the prompt.
  std::uint64_t ok = 0;
  // Looked whole, but the text was short or another's. Must be zero.
  std::uint64_t wrong = 0;
  // Ended without looking whole, and without a reason.
  std::uint64_t broken = 0;
  // Refused or failed with an error body, by reason.
  std::map<std::string, std::uint64_t> refused;
  // The same, by verdict.
  std::map<std::string, std::uint64_t> verdicts;
  DurationSamples first_token;
  DurationSamples inter_token;
  DurationSamples total;
  // What was added to the engine's own times, as far as it told them.
  DurationSamples added_first_token;
  DurationSamples added_total;
  // From an engine's sending of a token to its arrival, for engines that
  // stamp events. Engine and client must share a clock.
  DurationSamples token_transit;
  absl::Duration elapsed;

  void Add(const LoadReport& other);
  nlohmann::json ToJson() const;
  std::string ToText() const;
};

// Sends chat calls until the duration or the number of requests is reached,
// and checks each answer. Blocks; starts `concurrency` threads.
LoadReport RunLoad(const LoadOptions& options);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_LOAD_RUN_H_
