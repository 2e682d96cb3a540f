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
  // Entry instances, used round-robin.
  std::vector<Endpoint> servers;
  std::string key;
  std::string model = "small";
  // Requests started per second; zero starts one whenever a request ends.
  double rate = 0;
  // Maximum number of concurrent requests.
  int concurrency = 8;
  // Share of requests with a streamed response, from 0 to 1.
  double streamed_share = 1;
  // No request is started after this time.
  absl::Duration duration = absl::Seconds(10);
  // Maximum number of requests; zero for no limit.
  std::uint64_t max_requests = 0;
  int max_tokens = 16;
  // Bytes added to each prompt.
  int prompt_bytes = 64;
  // Deadline of each request, relative to its start.
  absl::Duration request_timeout = absl::Seconds(60);
  std::uint64_t seed = 1;
  TlsFiles tls;
};

// Samples of one kind of duration.
class DurationSamples {
 public:
  void Add(absl::Duration duration) { samples_.push_back(duration); }
  void Add(const DurationSamples& other);

  // Returns the value below which `share` (0 to 1) of the samples lie; zero
  // without samples.
  absl::Duration Percentile(double share) const;

  // Returns count, 50th, 95th and 99th percentile and maximum, in ms.
  nlohmann::json ToJson() const;

 private:
  std::vector<absl::Duration> samples_;
};

// Results of a run.
struct LoadReport {
  std::uint64_t sent = 0;
  // Complete responses with the expected text.
  std::uint64_t ok = 0;
  // Responses that ended as complete, but whose text was truncated or belongs
  // to another prompt. Must be zero.
  std::uint64_t wrong = 0;
  // Incomplete responses without an error body.
  std::uint64_t broken = 0;
  // Responses with an error body, by reason.
  std::map<std::string, std::uint64_t> refused;
  // Responses with an error body, by verdict.
  std::map<std::string, std::uint64_t> verdicts;
  DurationSamples first_token;
  DurationSamples inter_token;
  DurationSamples total;
  // Time beyond the engine's own, for responses in which the engine reported
  // its times.
  DurationSamples added_first_token;
  DurationSamples added_total;
  // Time from the sending of a token by the engine to its arrival, for engines
  // with ModelEngineOptions::stamp_events. Engine and client must share a
  // clock.
  DurationSamples token_transit;
  absl::Duration elapsed;

  void Add(const LoadReport& other);
  nlohmann::json ToJson() const;
  std::string ToText() const;
};

// Sends chat calls until the duration or the number of requests is reached,
// and checks each response. Blocks; runs `concurrency` threads.
LoadReport RunLoad(const LoadOptions& options);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_LOAD_RUN_H_
